// A leader that stops as planned knows where runs may be alive, and so does its successor: a worker that left before the
// change of the leader does not hold back the tasks that wait.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string waitingJob = "00000000000000a2";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration settlingTime = std::chrono::milliseconds(500);
    constexpr Duration formerLeaseTime = std::chrono::seconds(12); // after which no lease of a former leader is left
    constexpr Duration recordingTime = std::chrono::milliseconds(600); // within which a leader stores its next report

    // PlannedStopFixture has host "a" as the leader. Four tasks run on worker "w1", four on "w2", and four wait for room.
    struct PlannedStopFixture : SchedulerFixture {
        PlannedStopFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::seconds(6);
            this->addWorker("w1", 16);
            this->run({ "a" }, takeoverTime);
            this->submitTasks(job, 4);
            this->addWorker("w2", 16).list(this->now);
            this->run({ "a" }, settlingTime);
            this->taskDuration = std::chrono::seconds(30);
            this->submitTasks(waitingJob, 8);
            REQUIRE(this->runningOf(job).size() == 4);
            REQUIRE(this->runningOf(waitingJob).size() == 4);
        }

        void submitTasks(const std::string& id, std::uint32_t count)
        {
            REQUIRE(this->submit("a", id, { stepOfTasks(count, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, settlingTime);
        }

        // drainFirstWorker() lists w1 as draining until its runs have ended.
        void drainFirstWorker()
        {
            this->workers.at(this->first).drain(this->now);
            this->run({ "a" }, std::chrono::seconds(7));
            REQUIRE(this->runningOf(job).empty());
            REQUIRE(this->phaseOf(job) == JobPhase::Completed);
        }

        // leaveFirstWorker() ends the process of w1 and its entry in the list.
        void leaveFirstWorker()
        {
            this->crashWorker(this->first);
            this->workers.at(this->first).unlist(this->now);
        }

        // stopLeader() stops "a" as planned, and then its process.
        void stopLeader()
        {
            this->send("a", BeginHandover {});
            this->run({ "a" }, std::chrono::milliseconds(40));
            REQUIRE(this->host("a").isHandedOver());
        }

        const WorkerId first { "w1" };
    };

} // namespace

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop_drainedWorkerLeftBeforeTakeover_waitingTasksAreStarted", "[takeover]")
{
    this->drainFirstWorker();
    this->leaveFirstWorker();
    this->run({ "a" }, settlingTime);
    this->stopLeader();
    this->addWorker("w3", 16).list(this->now);
    this->run({ "b" }, takeoverTime);
    CHECK(this->runningOf(waitingJob).size() == 8);
}

TEST_CASE_METHOD(PlannedStopFixture, "LeaderKilled_drainedWorkerLeftBeforeTakeover_waitingTasksAreStarted", "[takeover]")
{
    this->drainFirstWorker();
    this->run({ "a" }, recordingTime);
    this->leaveFirstWorker();
    this->addWorker("w3", 16).list(this->now);
    this->run({ "b" }, std::chrono::seconds(5));
    CHECK(this->runningOf(waitingJob).size() == 8);
}

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop_workerLeavesWithRuns_onlyItsTasksWait", "[takeover]")
{
    this->leaveFirstWorker();
    this->run({ "a" }, std::chrono::milliseconds(100));
    this->stopLeader();
    this->addWorker("w3", 16).list(this->now);
    this->run({ "b" }, takeoverTime);
    CHECK(this->runningOf(waitingJob).size() == 8);
    CHECK(this->runningOf(job).empty());
    this->addWorker("w4", 16).list(this->now);
    this->run({ "b" }, formerLeaseTime);
    CHECK(this->phaseOf(job) == JobPhase::Running);
    CHECK(this->runningOf(job).size() == 4);
}

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop_successorCanNotReachWorker_itsTasksDoNotRunTwice", "[takeover]")
{
    this->stopLeader();
    this->cutLinks.insert({ "b", this->first });
    this->workers.at(this->first).unlist(this->now);
    this->addWorker("w3", 32).list(this->now);
    this->run({ "b" }, formerLeaseTime + this->taskDuration);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop_runEndsBetweenLeaders_taskIsNotStartedAgain", "[takeover]")
{
    this->run({ "a" }, this->workers.at(this->first).running().begin()->second.end - this->now - std::chrono::milliseconds(60));
    this->stopLeader();
    this->run({}, std::chrono::milliseconds(100));
    REQUIRE(this->runningOf(job).empty());
    const std::size_t before = this->begunRuns.size();
    this->run({ "b" }, takeoverTime);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
    for (std::size_t index = before; index < this->begunRuns.size(); ++index)
        CHECK(this->begunRuns[index].start.call.run.task.job.value() == waitingJob);
}

TEST_CASE_METHOD(PlannedStopFixture, "Takeover_lateJobWaitsBesideNewOne_newOneIsStartedFirst", "[takeover]")
{
    const std::string lateJob = "00000000000000a3";
    const std::string newJob = "00000000000000a4";
    this->run({ "a" }, std::chrono::seconds(7));
    REQUIRE(this->runningOf(waitingJob).size() == 8);
    this->submitTasks(lateJob, 4);
    this->run({ "a" }, std::chrono::seconds(5));
    this->stopLeader();
    while (this->leader() != "b")
        this->run({ "b" }, std::chrono::milliseconds(20));
    REQUIRE(this->submit("b", newJob, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(lateJob).empty());
    REQUIRE(this->runningOf(newJob).empty());
    this->addWorker("w3", 16).list(this->now);
    this->run({ "b" }, std::chrono::seconds(1));
    CHECK(this->runningOf(newJob).size() == 4);
}

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop_eachLeaderStopsSoon_waitingTasksAreStarted", "[takeover]")
{
    this->leaveFirstWorker();
    this->stopLeader();
    const std::size_t before = this->begunRuns.size();
    this->addWorker("w3", 16).list(this->now);
    for (const std::string name : { "b", "c", "d" }) {
        this->run({ name }, std::chrono::seconds(2));
        REQUIRE(this->leader() == name);
        this->send(name, BeginHandover {});
    }
    CHECK(this->begunRuns.size() == before + 4);
    CHECK(this->maxConcurrentRuns == 1);
}

} // namespace dragonflytray
