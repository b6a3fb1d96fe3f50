// A leader must not take a run for lost, or an end for handled, on the ground of an answer that says less than it seems.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const JobId otherJob("00000000000000b1");
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration settlingTime = std::chrono::milliseconds(400);
    constexpr std::uint64_t reportedEnds = 500; // maximum of one report

    // LostRunFixture has host "a" as the leader and one worker, "w1".
    struct LostRunFixture : SchedulerFixture {
        LostRunFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::seconds(20);
            this->startedAt = this->now;
            this->addWorker("w1", 16);
            this->run({ "a" }, takeoverTime);
        }

        SimulatedWorker& w1() { return this->workers.at(WorkerId("w1")); }

        void startTasks(std::uint32_t count)
        {
            REQUIRE(this->submit("a", job, { stepOfTasks(count, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, settlingTime);
            REQUIRE(this->runningOf(job).size() == count);
        }

        void listWorker(const std::string& host, const std::string& id)
        {
            this->send(host, WorkersListed { { this->workers.at(WorkerId(id)).entry() }, {}, false, 0 });
        }

        // fullReport() returns a report that names as many ends as fit, and no run.
        PollEnded fullReport(Epoch epoch)
        {
            PollEnded report = this->w1().poll({ .to = { WorkerId("w1"), {}, { epoch } }, .deadline = {}, .acknowledged = 0, .wait = Duration(0) }, this->now);
            report.running.clear();
            report.hasMoreEnds = true;
            for (std::uint64_t number = 1; number <= reportedEnds; ++number)
                report.ended.push_back({ .number = number, .id = { { otherJob, 0, 0, static_cast<std::uint32_t>(number) }, 1 }, .outcome = RunOutcome::Done, .checkpoint = {} });
            return report;
        }

        // extendLease() lets a leader that the fixture does not run extend the lease of w1.
        void extendLease(Epoch epoch)
        {
            (void)this->w1().poll({ .to = { WorkerId("w1"), {}, { epoch } }, .deadline = toMilliseconds(this->now - this->startedAt) + 4500, .acknowledged = 0, .wait = Duration(0) }, this->now);
        }

        Epoch epoch() const
        {
            return std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).epoch;
        }

        Instant startedAt; // of w1
    };

    // UnrecordedEndFixture has host "a", which has read the end of the only task's run on "w1" and could not record it.
    struct UnrecordedEndFixture : SchedulerFixture {
        UnrecordedEndFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->dispatcherOptions.recorder.retryDelay = std::chrono::seconds(60);
            this->addWorker("w1", 16);
            this->run({ "a" }, takeoverTime);
            REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, settlingTime);
            REQUIRE(this->runningOf(job).size() == 1);
            this->isDisconnectedFromStore["a"] = true;
            this->run({ "a" }, std::chrono::seconds(1));
            REQUIRE(this->runningOf(job).empty());
            this->isDisconnectedFromStore["a"] = false;
        }
    };

} // namespace

TEST_CASE_METHOD(UnrecordedEndFixture, "Takeover_workerSilentAfterUnrecordedEnd_taskIsNotStartedAgain", "[lost-run]")
{
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(1));
    this->addWorker("w2", 16);
    this->run({ "b" }, std::chrono::seconds(3));
    REQUIRE(this->leader() == "b");
    this->unresponsive.clear();
    this->run({ "b" }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_reportWithAsManyEndsAsFit_missingRunIsNotStartedAgain", "[lost-run]")
{
    this->startTasks(1);
    this->send("a", this->fullReport(this->epoch()));
    this->run({ "a" }, settlingTime);
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Takeover_firstReportWithAsManyEndsAsFit_tasksAreNotStartedAgain", "[lost-run]")
{
    this->startTasks(1);
    this->addWorker("w2", 16);
    const auto isPolledByNext = [this] { return std::any_of(this->delayedReports.begin(), this->delayedReports.end(), [](const DelayedReport& report) { return report.host == "b" && report.end.worker == WorkerId("w1"); }); };
    while (!isPolledByNext())
        this->run({ "b" }, std::chrono::milliseconds(20));
    for (DelayedReport& report : this->delayedReports) {
        if (report.host == "b" && report.end.worker == WorkerId("w1"))
            report.end = this->fullReport(this->epoch());
    }
    this->unresponsive.insert(WorkerId("w1")); // after this report
    this->run({ "b" }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_listedWorkerIsSilentPastItsLease_taskThatIsDoneIsNotStartedAgain", "[lost-run]")
{
    this->taskDuration = std::chrono::seconds(2);
    this->startTasks(1);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(15));
    CHECK(this->starts.size() == 1);
    this->unresponsive.clear();
    this->run({ "a" }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_silentWorkerLeavesTheList_taskIsStartedAgain", "[lost-run]")
{
    this->startTasks(1);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(9));
    REQUIRE(this->starts.size() == 1);
    this->send("a", WorkersListed { {}, { WorkerId("w1") }, false, 0 });
    this->unlisted.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(1));
    CHECK(this->starts.size() == 2);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_drainingWorkerUnlistedAndCutOff_runsAreNotStartedAgainWithinLease", "[lost-run]")
{
    this->startTasks(4);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->w1().drain(this->now);
    this->run({ "a" }, settlingTime);
    this->unreachable.insert(WorkerId("w1")); // connections to it time out, while it runs on
    this->send("a", WorkersListed { {}, { WorkerId("w1") }, false, 0 });
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_workerAndStoreCutOff_tasksDoNotRunBesideThoseOfSuccessor", "[lost-run]")
{
    this->startTasks(4);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->run({ "a" }, settlingTime);
    const Epoch successor = this->epoch() + 1;
    this->isDisconnectedFromStore["a"] = true;
    this->send("a", StoreContact { false });
    this->unreachable.insert(WorkerId("w1")); // but not for the successor, which extends its lease
    for (const Instant end = this->now + std::chrono::seconds(7); this->now < end;) {
        this->run({ "a" }, std::chrono::milliseconds(500));
        if (this->now > end - std::chrono::seconds(5))
            this->extendLease(successor);
    }
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Takeover_storeCutOffBeforeFormerLeasesExpire_tasksDoNotRunBesideThoseOfSuccessor", "[lost-run]")
{
    constexpr Duration interval = std::chrono::milliseconds(500);
    this->startTasks(4);
    const Epoch former = this->epoch();
    this->addWorker("w2", 16);
    this->unreachable.insert(WorkerId("w1")); // but not for the leaders before and after b
    while (this->leader() != "b")
        this->run({ "b" }, std::chrono::milliseconds(20));
    for (const Instant end = this->now + std::chrono::seconds(4); this->now < end;) {
        this->extendLease(former);
        this->run({ "b" }, interval);
    }
    this->isDisconnectedFromStore["b"] = true;
    this->send("b", StoreContact { false });
    for (const Instant end = this->now + std::chrono::seconds(7); this->now < end;) {
        this->run({ "b" }, interval);
        if (this->now > end - std::chrono::seconds(5))
            this->extendLease(former + 2);
    }
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_answersReadAfterItsTimeHasExpired_leaseIsNotExtended", "[lost-run]")
{
    this->startTasks(1);
    this->isDisconnectedFromStore["a"] = true;
    this->send("a", StoreContact { false });
    this->run({ "a" }, std::chrono::seconds(6)); // it goes on without the store
    REQUIRE(this->runningOf(job).size() == 1);
    const std::vector<DelayedReport> reports = this->delayedReports;
    REQUIRE(!reports.empty());
    this->now += std::chrono::milliseconds(2500); // the host was frozen
    const SchedulerEffects effects = this->host("a").handle(reports.front().end, this->now);
    CHECK(std::none_of(effects.begin(), effects.end(), [](const SchedulerEffect& effect) {
        const auto* poll = std::get_if<PollWorker>(&effect);
        return poll && poll->deadline;
    }));
}

TEST_CASE_METHOD(LostRunFixture, "Leader_workerRestartsBetweenPolls_endOfNewIncarnationIsNotAcknowledgedUnread", "[lost-run]")
{
    this->taskDuration = std::chrono::milliseconds(200);
    REQUIRE(this->submit("a", otherJob.value(), { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->phaseOf(otherJob.value()) == JobPhase::Completed);
    this->w1().restart(this->now);
    this->taskDuration = std::chrono::milliseconds(10);
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    const auto startsOfJob = std::count_if(this->starts.begin(), this->starts.end(), [](const StartTask& start) { return start.run.task.job.value() == job; });
    CHECK(startsOfJob == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_startCarriedOutLateAfterRestartOfWorker_taskDoesNotRunTwice", "[lost-run]")
{
    this->startsToDelay = 1;
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(1200));
    REQUIRE(this->starts.size() == 1);
    this->w1().restart(this->now);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->maxConcurrentRuns == 1);
}

// A start that was never carried out holds its task for as long as its worker is silent, although a report proves that it is too late.
TEST_CASE_METHOD(LostRunFixture, "Leader_reportAfterDeadlineOfUnansweredStartLacksRun_taskIsStartedElsewhere", "[lost-run]")
{
    const std::pair<std::string, WorkerId> link("a", WorkerId("w1"));
    this->startsToDelay = 1;
    this->startDelay = std::chrono::minutes(1);
    this->stopsToLose = 100;
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(100));
    REQUIRE(this->delayedStarts.size() == 1);
    this->addWorker("w2", 16);
    this->listWorker("a", "w2");
    this->cutLinks.insert(link);
    this->run({ "a" }, this->dispatcherOptions.startValidity + this->dispatcherOptions.lateStartMargin + settlingTime);
    this->cutLinks.erase(link);
    this->run({ "a" }, settlingTime);
    this->cutLinks.insert(link);
    this->run({ "a" }, std::chrono::seconds(2));
    CHECK(this->runningOf(job).size() == 1);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_olderIncarnationAnswersAfterNewerOne_runsOfNewerOneAreNotStartedAgain", "[lost-run]")
{
    this->w1().restart(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    this->startTasks(1);
    PollEnded report = this->fullReport(this->epoch());
    report.status = WorkerCallStatus::Ok;
    report.ended.clear();
    report.hasMoreEnds = false;
    report.sentAt = this->startedAt; // before the restart
    --report.startedAt;
    this->send("a", report);
    this->run({ "a" }, settlingTime);
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Takeover_workerListedInUnknownDataCentre_tasksDoNotRunTwice", "[lost-run]")
{
    this->startTasks(4);
    this->addWorker("w2", 16);
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "b" }, std::chrono::milliseconds(1800));
    REQUIRE(this->leader() == "b");
    ListedWorker entry = this->w1().entry();
    entry.dataCentre = DataCentreName("elsewhere");
    this->send("b", WorkersListed { { entry }, {}, false, 0 });
    this->run({ "b" }, std::chrono::seconds(1));
    this->unresponsive.clear();
    this->run({ "b" }, std::chrono::seconds(12));
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(LostRunFixture, "Leader_workerListedAtAnotherEndpoint_taskIsNotStartedBeforeRosterNamesIt", "[lost-run]")
{
    ListedWorker entry = this->w1().entry();
    entry.endpoint.port = 2;
    this->isDisconnectedFromStore["a"] = true; // the roster with the new endpoint is not stored
    this->send("a", WorkersListed { { entry }, {}, false, 0 });
    REQUIRE(this->submit("b", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->send("a", this->store.changesAfter(this->followed["a"]));
    this->run({ "a" }, settlingTime);
    CHECK(this->starts.empty());
}

} // namespace dragonflytray
