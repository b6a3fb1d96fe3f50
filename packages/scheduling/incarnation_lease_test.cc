// A worker that restarts under its id measures leases on a clock that starts anew. A deadline on the clock of the former
// incarnation lets its successor hold a run for as long as the worker's own maximum, which is longer than a leader assumes.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration tick = std::chrono::milliseconds(20);
    constexpr Duration settlingTime = std::chrono::milliseconds(500);

    // IncarnationLeaseFixture has hosts "a", which leads, and "b". Worker "w1" has run for so long that a deadline on its clock
    // lies far ahead of the clock of its next incarnation. `listLag` lets polls find a restart before the list shows it.
    struct IncarnationLeaseFixture : SchedulerFixture {
        IncarnationLeaseFixture()
        {
            this->pollTimeout = std::chrono::milliseconds(2500);
            this->addWorker(this->first.value(), 16);
            this->listLag["a"] = std::chrono::milliseconds(GENERATE(0, 500));
            CAPTURE(toMilliseconds(this->listLag["a"]));
            this->run({ "a", "b" }, std::chrono::seconds(15));
            REQUIRE(this->leader() == "a");
        }

        void restartWorker()
        {
            this->crashWorker(this->first);
            this->run({ "a", "b" }, std::chrono::milliseconds(300));
            this->restoreWorker(this->first);
        }

        // startTasks() submits a job of four long-running tasks to the first of the hosts, and runs them until the tasks have started.
        void startTasks(const std::vector<std::string>& names = { "a", "b" })
        {
            StepDefinition step = stepOfTasks(4, 4);
            step.isLongRunning = true;
            REQUIRE(this->submit(names.front(), job, { step }) == ReplyStatus::Accepted);
            for (const Instant end = this->now + std::chrono::seconds(5); this->runningOf(job).size() < 4 && this->now < end;)
                this->run(names, tick);
            REQUIRE(this->runningOf(job).size() == 4);
        }

        // isolateWorker() cuts w1 off from the hosts, and adds a worker with room for its tasks.
        void isolateWorker()
        {
            this->cutLinks = { { "a", this->first }, { "b", this->first } };
            this->addWorker(this->second.value(), 16).list(this->now);
        }

        void checkTasksMoveWithoutOverlap(const std::vector<std::string>& names)
        {
            this->run(names, std::chrono::seconds(15));
            CHECK(this->maxConcurrentRuns == 1);
            CHECK(this->workers.at(this->second).running().size() == 4);
        }

        Epoch leaderEpoch() const { return std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).epoch; }

        // pollLate() carries out a poll that the leader sent to the first incarnation of w1, before it knew of another one.
        void pollLate(std::uint64_t acknowledged) { (void)this->pollLate(acknowledged, this->leaderEpoch()); }
        WorkerCallStatus pollLate(std::uint64_t acknowledged, Epoch epoch)
        {
            return this->workers.at(this->first).poll({ .to = { this->first, {}, { epoch } }, .deadline = 1000000, .acknowledged = acknowledged }, this->now).status;
        }

        const WorkerId first { "w1" };
        const WorkerId second { "w2" };
    };

} // namespace

TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_restartsUnderItsIdAndIsCutOff_longRunningTasksDoNotRunTwice")
{
    this->restartWorker();
    this->startTasks();
    this->isolateWorker();
    this->checkTasksMoveWithoutOverlap({ "a", "b" });
}

TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_restartsTwiceAndIsCutOff_longRunningTasksDoNotRunTwice")
{
    this->restartWorker();
    this->run({ "a", "b" }, std::chrono::milliseconds(GENERATE(20, 200, 1000)));
    this->restartWorker();
    this->startTasks();
    this->isolateWorker();
    this->checkTasksMoveWithoutOverlap({ "a", "b" });
}

TEST_CASE_METHOD(IncarnationLeaseFixture, "Takeover_workerIsCutOffAfterRestartUnderItsId_longRunningTasksDoNotRunTwice")
{
    this->restartWorker();
    this->startTasks();
    this->isolateWorker();
    this->restartHost("a");
    this->checkTasksMoveWithoutOverlap({ "b" });
}

TEST_CASE_METHOD(IncarnationLeaseFixture, "PlannedStop_workerIsCutOffAfterRestartUnderItsId_longRunningTasksDoNotRunTwice")
{
    this->restartWorker();
    this->startTasks();
    this->isolateWorker();
    this->run({ "a", "b" }, std::chrono::seconds(2));
    this->send("a", BeginHandover {});
    this->run({ "a", "b" }, std::chrono::milliseconds(200));
    this->restartHost("a");
    this->checkTasksMoveWithoutOverlap({ "b" });
}

// A poll may be carried out seconds after it was sent, and not be answered.
TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_pollOfFormerIncarnationIsLate_leaseIsNotExtended")
{
    this->restartWorker();
    this->run({ "a", "b" }, this->pollTimeout + settlingTime);
    this->startTasks();
    this->isolateWorker();
    this->run({ "a", "b" }, std::chrono::seconds(2));
    this->pollLate(0);
    this->checkTasksMoveWithoutOverlap({ "a", "b" });
}

TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_pollOfFormerIncarnationIsLate_endsAreNotAcknowledged")
{
    this->taskDuration = std::chrono::seconds(1);
    this->restartWorker();
    this->run({ "a", "b" }, this->pollTimeout + settlingTime);
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    for (const Instant end = this->now + std::chrono::seconds(5); this->runningOf(job).size() < 4 && this->now < end;)
        this->run({ "a", "b" }, tick);
    this->cutLinks = { { "a", this->first }, { "b", this->first } };
    this->run({ "a", "b" }, std::chrono::milliseconds(1200));
    this->pollLate(100);
    this->cutLinks.clear();
    this->run({ "a", "b" }, std::chrono::seconds(5));
    CHECK(this->begunRuns.size() == 4);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// The same before the leader has heard of the restart, so that the next incarnation has seen no token.
TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_pollIsLateBeforeNextIncarnationHasAnswered_longRunningTasksDoNotRunTwice")
{
    this->restartWorker();
    this->startTasks();
    this->isolateWorker();
    this->run({ "a", "b" }, std::chrono::seconds(2));
    this->pollLate(0);
    this->checkTasksMoveWithoutOverlap({ "a", "b" });
}

// A poll of the former leader reaches the next incarnation just before the first poll of its successor.
TEST_CASE_METHOD(IncarnationLeaseFixture, "Takeover_pollOfFormerLeaderReachesNextIncarnation_longRunningTasksDoNotRunTwice")
{
    const Epoch formerEpoch = this->leaderEpoch();
    this->crashWorker(this->first);
    this->restartHost("a");
    this->run({ "b" }, std::chrono::milliseconds(300));
    this->restoreWorker(this->first);
    for (const Instant end = this->now + std::chrono::seconds(20); this->leader() != "b" && this->now < end;)
        this->run({ "b" }, tick);
    REQUIRE(this->pollLate(0, formerEpoch) == WorkerCallStatus::Ok);
    this->startTasks({ "b" });
    this->isolateWorker();
    this->checkTasksMoveWithoutOverlap({ "b" });
}

// The leader has forgotten the worker meanwhile, and takes it for a new one.
TEST_CASE_METHOD(IncarnationLeaseFixture, "Worker_startArrivesAfterWorkerWasForgottenAndListedAgain_taskRunsOnce")
{
    this->taskDuration = std::chrono::seconds(30);
    this->startsToDelay = 1;
    this->startDelay = std::chrono::seconds(15);
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, settlingTime);
    REQUIRE(this->delayedStarts.size() == 1);
    this->crashWorker(this->first);
    this->workers.at(this->first).unlist(this->now);
    this->addWorker(this->second.value(), 16).list(this->now);
    this->run({ "a", "b" }, std::chrono::seconds(13));
    REQUIRE(this->workers.at(this->second).running().size() == 1);
    this->restoreWorker(this->first);
    this->run({ "a", "b" }, std::chrono::seconds(4));
    CHECK(this->delayedStarts.empty());
    CHECK(this->maxConcurrentRuns == 1);
}

} // namespace dragonflytray
