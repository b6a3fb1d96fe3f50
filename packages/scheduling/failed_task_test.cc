// A failed run says little about its worker, and nothing once no run has ended there for a while. Where a task that avoids the
// workers of failed runs finds no worker, others may still find one.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string failedJob = "00000000000000a1";
    const std::string otherFailedJob = "00000000000000a2";
    const std::string otherJob = "00000000000000b1";
    const std::string lastingJob = "00000000000000c1";
    const std::string batchJob = "00000000000000d1";
    constexpr Duration failureTime = std::chrono::milliseconds(300); // from the start of a run to its failure
    constexpr Duration acceptedWait = std::chrono::seconds(3); // for which a job may have no run although there is room

    // FailedGangFixture has the execution of a job with one gang of four tasks.
    class FailedGangFixture {
    protected:
        FailedGangFixture()
        {
            StepDefinition step = stepOfTasks(4, 1);
            step.isGang = true;
            this->record.definition.id = JobId(failedJob);
            this->record.definition.steps = { step };
            this->record.definitionVersion = 1;
        }

        TaskId member(std::uint32_t index) const { return { this->record.definition.id, 0, 0, index }; }

        JobRecord record;
        JobExecution execution { this->record, 1, false, Instant() };
    };

    // FailedTaskFixture has host "a" as the leader of "w1", and of "w2" where a test fills that with a short task that goes on.
    struct FailedTaskFixture : SchedulerFixture {
        FailedTaskFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            QueueRule batch = this->configuration.queues.front();
            batch.name = QueueName("batch");
            batch.pathPrefix = "/batch/";
            batch.priority = 2;
            this->configuration.queues.push_back(batch);
        }

        void lead(std::int64_t cores)
        {
            this->addWorker("w1", cores);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        void leadWithFullWorker(std::int64_t cores)
        {
            this->addWorker("w2", 32);
            this->lead(cores);
            this->submitLasting("a", lastingJob, stepOfTasks(1, 32));
        }

        void submitLasting(const std::string& name, const std::string& job, const StepDefinition& step)
        {
            this->taskDuration = std::chrono::seconds(60);
            REQUIRE(this->submit(name, job, { step }) == ReplyStatus::Accepted);
            this->run({ name }, std::chrono::milliseconds(100));
            REQUIRE(!this->runningOf(job).empty());
            this->taskDuration = std::chrono::milliseconds(500);
        }

        // submitFailing() submits a job and starts it; the runs that are started at once fail after `duration`.
        void submitFailing(const std::string& job, const StepDefinition& step, Duration duration = failureTime)
        {
            this->shouldTasksFail = true;
            this->taskDuration = duration;
            REQUIRE(this->submit("a", job, { step }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(100));
            REQUIRE(!this->runningOf(job).empty());
            this->shouldTasksFail = false;
            this->taskDuration = std::chrono::milliseconds(500);
        }

        void submitBatch(const std::string& job, const StepDefinition& step)
        {
            SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = this->configuration.queues.front().host, .path = "/batch/" + job, .job = {} };
            submit.job.spec = "spec of " + job;
            submit.job.steps = { step };
            this->send("a", submit);
            REQUIRE(this->replies.back().status == ReplyStatus::Accepted);
        }

        std::size_t startsOf(const std::string& job) const
        {
            return static_cast<std::size_t>(std::count_if(this->starts.begin(), this->starts.end(), [&](const StartTask& start) { return start.run.task.job.value() == job; }));
        }
    };

} // namespace

// A gang that can't be done can fail at another member each time. Counted for each member, it is started too often.
TEST_CASE_METHOD(FailedGangFixture, "JobExecution_membersOfGangFailInDifferentRuns_eachRunCounts")
{
    CHECK(this->execution.countFailure(this->member(0), 1001));
    CHECK(this->execution.countFailure(this->member(2), 1002));
    for (std::uint32_t index = 0; index < 4; ++index)
        CHECK(this->execution.failures(this->member(index)) == 2);
}

TEST_CASE_METHOD(FailedGangFixture, "JobExecution_membersOfGangFailInOneRun_itCountsOnce")
{
    CHECK(this->execution.countFailure(this->member(0), 1001));
    CHECK(this->execution.countFailure(this->member(1), 1001));
    CHECK(this->execution.failures(this->member(0)) == 1);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTasks_lastRunOfEachWorkerFailed_areStartedAgain")
{
    this->addWorker("w2", 8);
    this->lead(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->submitFailing(otherFailedJob, stepOfTasks(1, 8));
    this->run({ "a" }, failureTime + acceptedWait);
    CHECK(this->startsOf(failedJob) == 2);
    CHECK(this->startsOf(otherFailedJob) == 2);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTask_onlyWorkerThereIs_isStartedAgain")
{
    this->lead(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->run({ "a" }, failureTime + acceptedWait);
    CHECK(this->startsOf(failedJob) == 2);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTask_otherWorkerIsFull_isStartedAgain")
{
    this->leadWithFullWorker(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->run({ "a" }, failureTime + acceptedWait);
    CHECK(this->startsOf(failedJob) == 2);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTask_lastRunsFailedLongAgo_prefersWorkerWithoutFailure")
{
    this->addWorker("w2", 8);
    this->addWorker("w3", 32);
    this->lead(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->submitFailing(otherFailedJob, stepOfTasks(1, 8));
    this->run({ "a" }, std::chrono::seconds(5));
    REQUIRE(this->starts.size() == 4);
    this->submitFailing(otherJob, stepOfTasks(1, 8));
    REQUIRE(this->starts.back().to.worker != WorkerId("w3"));
    this->run({ "a" }, failureTime);
    REQUIRE(this->startsOf(otherJob) == 2);
    CHECK(this->starts.back().to.worker == WorkerId("w3"));
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTask_avoidsWorkerWithRoom_otherTaskOfItsStepIsStartedThere")
{
    this->leadWithFullWorker(8);
    this->submitFailing(failedJob, stepOfTasks(2, 8));
    REQUIRE(this->runningOf(failedJob).size() == 1);
    this->run({ "a" }, failureTime + std::chrono::milliseconds(200));
    REQUIRE(this->startsOf(failedJob) == 2);
    CHECK(this->starts.back().run.task.index == 1);
}

TEST_CASE_METHOD(FailedTaskFixture, "Takeover_failedTaskAvoidsWorkerWithRoom_taskOfOtherJobIsStartedThere", "[takeover]")
{
    this->configuration.queues.front().targetLatency = std::chrono::seconds(30); // keeps the jobs in the order of their arrival
    this->leadWithFullWorker(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->run({ "a" }, failureTime);
    this->submitFailing(otherFailedJob, stepOfTasks(1, 8), std::chrono::seconds(8));
    while (this->leader() != "b")
        this->run({ "b" }, std::chrono::milliseconds(20));
    this->run({ "b" }, std::chrono::seconds(1));
    REQUIRE(this->submit("b", otherJob, { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    while (!this->runningOf(otherFailedJob).empty())
        this->run({ "b" }, std::chrono::milliseconds(20));
    this->run({ "b" }, std::chrono::milliseconds(200));
    CHECK(this->runningOf(otherJob).size() == 1);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTask_avoidsWorkerWithRunsToEvict_taskOfOtherJobEvictsThem")
{
    this->leadWithFullWorker(8);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    StepDefinition batch = stepOfTasks(1, 8);
    batch.isCheckpointing = true;
    this->taskDuration = std::chrono::seconds(60);
    this->submitBatch(batchJob, batch);
    this->run({ "a" }, failureTime);
    REQUIRE(this->runningOf(batchJob).size() == 1);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(700));
    CHECK(this->runningOf(otherJob).size() == 1);
}

TEST_CASE_METHOD(FailedTaskFixture, "FailedTasks_fillPassWithoutWorkers_taskOfOtherJobIsStarted")
{
    this->dispatcherOptions.maxUnplacedTasksPerPass = 2;
    this->leadWithFullWorker(16);
    this->submitFailing(failedJob, stepOfTasks(1, 8));
    this->submitFailing(otherFailedJob, stepOfTasks(1, 8));
    this->run({ "a" }, failureTime);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(300));
    CHECK(this->startsOf(otherJob) == 1);
}

TEST_CASE_METHOD(FailedTaskFixture, "Workers_tasksOfOneJobFailOnAllOfThem_taskOfOtherJobIsStarted")
{
    this->addWorker("w2", 24);
    this->lead(24);
    this->submitFailing(failedJob, stepOfTasks(6, 8));
    REQUIRE(this->runningOf(failedJob).size() == 6);
    this->run({ "a" }, failureTime);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, acceptedWait);
    CHECK(this->startsOf(otherJob) == 1);
}

} // namespace dragonflytray
