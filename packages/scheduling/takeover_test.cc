// A new leader must not start a task while a run of it that a former leader started may be alive, nor after such a run has
// ended as done, whatever the list of workers says.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration formerLeaseTime = std::chrono::seconds(12); // after which no lease of a former leader is left

    // TakeoverFixture has one worker, "w1", that runs four tasks for host "a"; its leases are recent.
    struct TakeoverFixture : SchedulerFixture {
        TakeoverFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::seconds(6);
            this->addWorker("w1", 16);
            this->run({ "a" }, takeoverTime);
            REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(500));
            REQUIRE(this->runningOf(job).size() == 4);
        }

        // replaceInList() removes w1 from the list, although it goes on, and adds another worker.
        void replaceInList()
        {
            this->unlisted.insert(WorkerId("w1"));
            this->addWorker("w2", 16);
        }

        // hasStartAfterEnd() returns true if some task was begun after a run of it had ended as done.
        bool hasStartAfterEnd() const
        {
            return std::any_of(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& begun) {
                return std::any_of(this->doneAt.begin(), this->doneAt.end(), [&](const auto& done) {
                    return done.first.task == begun.start.call.run.task && done.second < begun.at;
                });
            });
        }

        // runWatched() runs the hosts and notes when runs end as done.
        void runWatched(const std::vector<std::string>& names, Duration time)
        {
            constexpr Duration interval = std::chrono::milliseconds(100);
            for (const Instant end = this->now + time; this->now < end;) {
                this->run(names, interval);
                for (const auto& [id, worker] : this->workers) {
                    for (const auto& [run, isAcknowledged] : worker.doneRuns())
                        this->doneAt.emplace(run, this->now);
                }
            }
        }

        std::map<TaskRunId, Instant> doneAt;
    };

} // namespace

TEST_CASE_METHOD(TakeoverFixture, "Takeover_livingWorkerMissingFromList_tasksDoNotRunTwice", "[takeover]")
{
    this->replaceInList();
    this->run({ "b" }, formerLeaseTime);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_workerRemovedFromListBeforeItAnswers_tasksDoNotRunTwice", "[takeover]")
{
    this->addWorker("w2", 16);
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "b" }, std::chrono::milliseconds(1800));
    REQUIRE(this->leader() == "b");
    this->send("b", WorkersListed { {}, { WorkerId("w1") }, false, 0 });
    this->run({ "b" }, std::chrono::milliseconds(300));
    this->unresponsive.clear();
    this->run({ "b" }, formerLeaseTime);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_secondTakeoverWhileWorkerIsMissingFromList_tasksDoNotRunTwice", "[takeover]")
{
    this->replaceInList();
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "b", "c" }, std::chrono::milliseconds(1700));
    REQUIRE(this->leader() != "a");
    this->run({ this->leader() == "b" ? "c" : "b" }, formerLeaseTime + this->taskDuration);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_runEndsOnWorkerMissingFromList_tasksAreNotStartedAgain", "[takeover]")
{
    this->runWatched({ "a" }, std::chrono::milliseconds(4000)); // the runs have 1.5 s left
    this->replaceInList();
    this->runWatched({ "b" }, formerLeaseTime);
    CHECK_FALSE(this->hasStartAfterEnd());
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_formerLeaderWithoutRoster_tasksDoNotRunTwice", "[takeover]")
{
    const StoredRowChange row = *this->store.find({ StoredRowKind::CellLease, "whole" });
    CellLease lease = std::get<CellLease>(*row.value);
    lease.isRosterComplete = false;
    WriteStoredRows write { .write = 1, .partition = leasePartition, .conditions = {}, .puts = { { row.key, lease } }, .removals = {} };
    for (std::uint32_t part = 0; part < rosterParts; ++part)
        write.puts.push_back({ rosterKey({ CellName("whole"), part }), WorkerRoster {} });
    this->store.apply(write);
    this->storeVersions.emplace_back(this->now, this->store.version());
    this->replaceInList();
    this->run({ "b" }, formerLeaseTime + this->taskDuration);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// A new leader that does not know the roster yet would take the tasks on workers that are not listed for free.
TEST_CASE_METHOD(TakeoverFixture, "Takeover_rosterIsReadLate_tasksDoNotRunTwice", "[takeover]")
{
    this->replaceInList();
    this->rosterLag["b"] = std::chrono::milliseconds(1000);
    this->run({ "b" }, formerLeaseTime + this->taskDuration);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// The rosters that an earlier term has asked for lack what leaders have written since.
TEST_CASE_METHOD(TakeoverFixture, "Takeover_rosterIsOlderThanTheLease_leaderWaitsForTheNextOne", "[takeover]")
{
    const auto begun = [this] { return std::count_if(this->log.begin(), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::LeadershipBegun; }); };
    const auto before = begun();
    const RostersRead former = this->store.rosters();
    this->rosterLag["b"] = std::chrono::hours(1);
    for (int step = 0; step < 500 && this->leader() != "b"; ++step)
        this->run({ "b" }, std::chrono::milliseconds(20));
    REQUIRE(this->leader() == "b");
    this->send("b", former);
    this->run({ "b" }, std::chrono::milliseconds(100));
    CHECK(begun() == before);
    this->send("b", this->store.rosters());
    this->run({ "b" }, std::chrono::milliseconds(100));
    CHECK(begun() == before + 1);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_workerReportedSilent_onlyItsTasksWait", "[takeover]")
{
    this->addWorker("w2", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false, 0 });
    this->run({ "a" }, std::chrono::milliseconds(300));
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(8, 4) }) == ReplyStatus::Accepted); // four run on w2, four wait
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::milliseconds(2200));
    this->unlisted.insert(WorkerId("w1"));
    this->addWorker("w3", 16);
    this->run({ "b" }, std::chrono::milliseconds(3500));
    CHECK(this->runningOf(otherJob).size() == 8);
    this->run({ "b" }, formerLeaseTime + this->taskDuration);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_silentWorkerHoldsEndThatIsNotRecorded_tasksAreNotStartedAgain", "[takeover]")
{
    this->run({ "a" }, std::chrono::milliseconds(4000)); // the runs have 1.5 s left
    this->areProgressWritesRefused = true;
    this->runWatched({ "a" }, std::chrono::milliseconds(1800));
    REQUIRE(this->doneAt.size() == 4);
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::milliseconds(1200));
    this->areProgressWritesRefused = false;
    this->addWorker("w2", 16);
    this->runWatched({ "b" }, takeoverTime);
    this->unresponsive.clear();
    this->runWatched({ "b" }, formerLeaseTime);
    CHECK_FALSE(this->hasStartAfterEnd());
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_unlistedWorkerRunsServingAndBestEffortTasks_reportsAreHandled", "[takeover]")
{
    StepDefinition serving = stepOfTasks(1, 2);
    serving.isLongRunning = true;
    serving.image = ImageName("server");
    serving.latencyTarget = std::chrono::milliseconds(50);
    StepDefinition bestEffort = stepOfTasks(2, 2);
    bestEffort.isBestEffort = true;
    bestEffort.image = ImageName("filler");
    this->run({ "a" }, this->taskDuration);
    REQUIRE(this->submit("a", otherJob, { serving, bestEffort }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    REQUIRE(this->runningOf(otherJob).size() == 3);
    this->replaceInList();
    this->run({ "b" }, takeoverTime);
    CHECK(this->runningOf(otherJob).size() == 3);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(TakeoverFixture, "Leader_newWorkerThatStoreDoesNotKnow_getsNoTask", "[takeover]")
{
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->isDisconnectedFromStore["a"] = true;
    this->addWorker("w2", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false, 0 });
    this->run({ "a" }, std::chrono::milliseconds(1000));
    CHECK(this->workers.at(WorkerId("w2")).running().empty());
    this->isDisconnectedFromStore["a"] = false;
    this->run({ "a" }, std::chrono::milliseconds(1000));
    CHECK(this->workers.at(WorkerId("w2")).running().size() == 4);
}

TEST_CASE_METHOD(TakeoverFixture, "Takeover_renewalSentBeforeFencingAndAnsweredAfter_laterProgressOfFormerLeaderIsFollowed", "[takeover]")
{
    const WorkerId worker("w1");
    const Instant end = this->workers.at(worker).running().begin()->second.end;
    const Instant answered = end + std::chrono::milliseconds(480);
    this->feedLag["a"] = std::chrono::hours(1); // it goes on as leader, although its lease is lost
    this->cutLinks.insert({ "b", worker });
    this->chooseWriteFault = [&](const std::string& host, const WriteStoredRows& write) -> WriteFault {
        if (write.partition != leasePartition)
            return {};
        if (host == "a")
            return { .effectDelay = std::chrono::hours(1) };
        return { .answerDelay = this->now >= end - std::chrono::milliseconds(500) ? std::max(answered - this->now, Duration(0)) : Duration(0) };
    };
    this->runWatched({ "a", "b" }, end - std::chrono::milliseconds(500) - this->now);
    REQUIRE(this->leader() == "b");
    this->feedLag["b"] = std::chrono::milliseconds(800);
    this->runWatched({ "a", "b" }, std::chrono::milliseconds(600));
    this->run({ "a", "b" }, std::chrono::milliseconds(50));
    REQUIRE(this->workers.at(worker).countedEnds().size() == 4);
    this->cutLinks.clear();
    this->runWatched({ "a", "b" }, std::chrono::seconds(3));
    CHECK_FALSE(this->hasStartAfterEnd());
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(SchedulerFixture, "Takeover_conflictShowsMissingEndRecordedByFormerLeader_jobIsCompleted", "[takeover]")
{
    const WorkerId first("w1");
    const WorkerId second("w2");
    this->addWorker("w1", 4);
    this->addWorker("w2", 4);
    this->taskDuration = std::chrono::seconds(6);
    this->run({ "a" }, takeoverTime);
    REQUIRE(this->submit("a", job, { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    REQUIRE(this->runningOf(job).size() == 2);
    const Instant end = this->workers.at(first).running().begin()->second.end;
    this->feedLag["a"] = std::chrono::hours(1); // it goes on as leader, although its lease is lost
    this->chooseWriteFault = [](const std::string& host, const WriteStoredRows& write) -> WriteFault {
        return { .effectDelay = host == "a" && write.partition == leasePartition ? std::chrono::hours(1) : Duration(0) };
    };
    this->cutLinks = { { "b", first }, { "a", second } };
    this->run({ "a", "b" }, end - std::chrono::milliseconds(100) - this->now);
    REQUIRE(this->leader() == "b");
    this->feedLag["b"] = std::chrono::milliseconds(800);
    this->cutLinks.insert({ "b", second });
    this->run({ "a", "b" }, std::chrono::milliseconds(300)); // host "a" records the end on the first worker
    REQUIRE(this->workers.at(first).countedEnds().size() == 1);
    this->cutLinks.erase({ "b", second });
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->workers.at(second).countedEnds().size() == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

} // namespace dragonflytray
