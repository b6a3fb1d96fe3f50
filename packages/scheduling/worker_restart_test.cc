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

} // namespace dragonflytray
