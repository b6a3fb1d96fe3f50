// A draining worker leaves around a planned stop of the leader, so that the successor can't reach it. Only what the former leader
// has stored tells the successor that the long-running tasks of the worker may be started again.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";
    constexpr Duration settlingTime = std::chrono::milliseconds(500);
    constexpr Duration stopTime = std::chrono::milliseconds(300); // for which a run goes on after a stop
    constexpr Duration acceptedAbsence = std::chrono::seconds(6); // of a long-running task after its last run, with room for it

    StepDefinition longRunningTasks()
    {
        StepDefinition step = stepOfTasks(4, 4);
        step.isLongRunning = true;
        return step;
    }

    // WorkerDepartureFixture has host "a" as the leader. Four long-running tasks run on worker "w1".
    struct WorkerDepartureFixture : SchedulerFixture {
        WorkerDepartureFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
            REQUIRE(this->submit("a", job, { longRunningTasks() }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::seconds(5));
            REQUIRE(this->runningOf(job).size() == 4);
        }

        // leave() ends the process of a worker and its entry in the list.
        void leave(const WorkerId& worker)
        {
            this->crashWorker(worker);
            this->workers.at(worker).unlist(this->now);
        }

        // stopLeader() stops a host as planned, and its process once it is handed over.
        void stopLeader(const std::string& name)
        {
            this->send(name, BeginHandover {});
            for (const Instant end = this->now + std::chrono::seconds(2); !this->host(name).isHandedOver() && this->now < end;)
                this->run({ name }, std::chrono::milliseconds(20));
            REQUIRE(this->host(name).isHandedOver());
        }

        // runUntilRunning() runs a host until all four tasks run, for at most 20 s.
        void runUntilRunning(const std::string& name)
        {
            for (const Instant end = this->now + std::chrono::seconds(20); this->runningOf(job).size() < 4 && this->now < end;)
                this->run({ name }, std::chrono::milliseconds(20));
        }

        const WorkerId first { "w1" };
    };

} // namespace

TEST_CASE_METHOD(WorkerDepartureFixture, "PlannedStop_runsAreBeingStoppedAndWorkerLeaves_tasksRunWithinAcceptedAbsence", "[takeover]")
{
    this->chooseStopDelay = [](const TaskRunId&) { return stopTime; };
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, settlingTime);
    this->workers.at(this->first).drain(this->now);
    this->run({ "a" }, std::chrono::milliseconds(200));
    REQUIRE(this->runningOf(job).size() == 4);
    this->stopLeader("a");
    this->cutLinks.insert({ "b", this->first });
    this->run({}, stopTime);
    REQUIRE(this->runningOf(job).empty());
    this->leave(this->first);
    const Instant endedAt = this->now;
    this->runUntilRunning("b");
    const Duration absence = this->now - endedAt;
    CAPTURE(toMilliseconds(absence));
    CHECK(absence <= acceptedAbsence);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(WorkerDepartureFixture, "PlannedStop_drainingWorkerLeavesWithRuns_tasksRunWithinAcceptedAbsence", "[takeover]")
{
    this->workers.at(this->first).drain(this->now);
    this->run({ "a" }, settlingTime);
    REQUIRE(this->runningOf(job).size() == 4);
    this->stopLeader("a");
    this->leave(this->first);
    const Instant endedAt = this->now;
    this->addWorker("w2", 16).list(this->now);
    this->runUntilRunning("b");
    const Duration absence = this->now - endedAt;
    CAPTURE(toMilliseconds(absence));
    CHECK(absence <= acceptedAbsence);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(WorkerDepartureFixture, "PlannedStop_eachLeaderStopsAtOnceAfterWorkerLeft_tasksRunWithinAcceptedAbsence", "[takeover]")
{
    this->workers.at(this->first).drain(this->now);
    this->run({ "a" }, settlingTime);
    this->stopLeader("a");
    this->leave(this->first);
    const Instant endedAt = this->now;
    this->addWorker("w2", 16).list(this->now);
    for (const std::string name : { "b", "c" }) {
        while (this->leader() != name)
            this->run({ name }, std::chrono::milliseconds(20));
        this->stopLeader(name);
    }
    this->runUntilRunning("d");
    const Duration absence = this->now - endedAt;
    CAPTURE(toMilliseconds(absence));
    CHECK(absence <= acceptedAbsence);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(WorkerDepartureFixture, "PlannedStop_endsAsStoppedAreNotRecordedAndWorkerLeft_tasksRunSoon", "[takeover]")
{
    const WorkerId second { "w2" };
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, settlingTime);
    this->areProgressWritesRefused = true;
    REQUIRE(this->submit("a", otherJob, { longRunningTasks() }) == ReplyStatus::Accepted);
    this->run({ "a" }, settlingTime);
    REQUIRE(this->workers.at(second).running().size() == 4);
    this->workers.at(second).drain(this->now);
    this->run({ "a" }, std::chrono::milliseconds(2500));
    REQUIRE(this->runningOf(otherJob).empty());
    this->stopLeader("a");
    this->areProgressWritesRefused = false;
    this->leave(second);
    this->addWorker("w3", 16).list(this->now);
    this->run({ "b" }, std::chrono::seconds(2));
    CHECK(this->runningOf(otherJob).size() == 4);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(WorkerDepartureFixture, "PlannedStop_eachLeaderStopsWhileWorkerDrains_tasksAreStoppedBeforeItLeaves", "[takeover]")
{
    this->workers.at(this->first).drain(this->now);
    const Instant leavesAt = this->now + std::chrono::seconds(3);
    this->run({ "a" }, std::chrono::milliseconds(800));
    this->stopLeader("a");
    this->run({ "b" }, std::chrono::milliseconds(1200));
    REQUIRE(this->leader() == "b");
    this->stopLeader("b");
    this->run({ "c" }, leavesAt - this->now);
    REQUIRE(this->leader() == "c");
    CHECK(this->runningOf(job).empty());
    this->leave(this->first);
    this->addWorker("w2", 16).list(this->now);
    this->run({ "c" }, std::chrono::seconds(1));
    CHECK(this->runningOf(job).size() == 4);
}

} // namespace dragonflytray
