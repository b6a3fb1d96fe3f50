// A worker that restarts under its former id counts its ends from 1 again. A leader must notice that also if no answer of the
// worker says when it was started.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";

    // WorkerRestartFixture has one worker, "w1", on which four tasks of host "a" have ended and their ends are acknowledged.
    struct WorkerRestartFixture : SchedulerFixture {
        void runFirstJob()
        {
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
            REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::seconds(2));
            REQUIRE(this->workers.at(WorkerId("w1")).countedEnds().size() == 4);
        }

        // runJobOnNextIncarnation() restarts the worker, which has no runs, and submits another job.
        void runJobOnNextIncarnation()
        {
            const WorkerId worker("w1");
            this->crashWorker(worker);
            this->restoreWorker(worker);
            this->run({ "a" }, std::chrono::milliseconds(200));
            REQUIRE(this->submit("a", otherJob, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::seconds(10));
        }
    };

} // namespace

TEST_CASE_METHOD(WorkerRestartFixture, "Worker_restartsWithoutStartTime_endsAreCountedBeforeAcknowledgement")
{
    this->workerStartTime = 0;
    this->runFirstJob();
    this->runJobOnNextIncarnation();
    CHECK(this->begunRuns.size() == 8);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(WorkerRestartFixture, "Worker_restartsWithStartTime_endsAreCountedBeforeAcknowledgement")
{
    this->runFirstJob();
    this->runJobOnNextIncarnation();
    CHECK(this->begunRuns.size() == 8);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(WorkerRestartFixture, "Worker_restartIsReportedAfterStartOnNextIncarnation_runsAreKept")
{
    this->workerStartTime = GENERATE(0, 1);
    CAPTURE(this->workerStartTime);
    this->runFirstJob();
    this->listLag["a"] = std::chrono::milliseconds(500);
    this->crashWorker(WorkerId("w1"));
    this->restoreWorker(WorkerId("w1"));
    this->taskDuration = std::chrono::seconds(2);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(10));
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->begunRuns.size() == 6);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

// The gang was started on the next incarnation before a report told of the restart.
TEST_CASE_METHOD(WorkerRestartFixture, "Worker_restartIsReportedAfterGangStartedOnNextIncarnation_gangIsNotStopped")
{
    this->runFirstJob();
    this->listLag["a"] = std::chrono::milliseconds(500);
    this->pollTimeout = std::chrono::milliseconds(1200);
    this->taskDuration = std::chrono::seconds(4);
    const std::size_t begunBefore = this->begunRuns.size();
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::milliseconds(100));
    this->crashWorker(WorkerId("w1"));
    this->restoreWorker(WorkerId("w1"));
    StepDefinition gang = stepOfTasks(4, 4);
    gang.isGang = true;
    REQUIRE(this->submit("a", otherJob, { gang }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    REQUIRE(this->begunRuns.size() == begunBefore + 4);
    this->unresponsive.clear();
    this->run({ "a" }, std::chrono::seconds(10));
    CHECK(this->begunRuns.size() == begunBefore + 4);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

} // namespace dragonflytray
