// The room that is freed by an eviction goes to the task for which the runs were stopped, also when these end one by one. If
// tasks of lower priority take each part of it, the runs are stopped again and again for a task that goes on waiting.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    constexpr const char* longRunningJob = "00000000000000a1";

    // EvictionFixture has host "a" as the leader of worker "w1", whose 16 cores are filled by tasks of lower priority. More of
    // these wait, and a run that is stopped ends 100, 200, 300 or 400 ms later.
    struct EvictionFixture : SchedulerFixture {
        EvictionFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::seconds(60);
            QueueRule batch = this->configuration.queues.front();
            batch.name = QueueName("batch");
            batch.pathPrefix = "/batch/";
            batch.priority = 2;
            this->configuration.queues.push_back(batch);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
            StepDefinition step = stepOfTasks(12, 4);
            step.isCheckpointing = true;
            this->submitBatchJob("00000000000000b1", step);
            this->run({ "a" }, std::chrono::milliseconds(500));
            REQUIRE(this->runningOf("00000000000000b1").size() == 4);
            this->chooseStopDelay = [this](const TaskRunId&) { return std::chrono::milliseconds(100) * (1 + this->stops++ % 4); };
        }

        void submitBatchJob(const std::string& id, const StepDefinition& step)
        {
            SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = this->configuration.queues.front().host, .path = "/batch/" + id, .job = {} };
            submit.job.spec = "spec of " + id;
            submit.job.steps = { step };
            this->send("a", submit);
            REQUIRE(this->replies.back().status == ReplyStatus::Accepted);
        }

        std::size_t stops { 0 };
    };

    StepDefinition longRunningTask(std::int64_t cores)
    {
        StepDefinition step = stepOfTasks(1, cores);
        step.isLongRunning = true;
        return step;
    }

} // namespace

TEST_CASE_METHOD(EvictionFixture, "Eviction_stoppedRunsEndOneByOne_taskGetsTheirRoom")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTask(16) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->runningOf(longRunningJob).size() == 1);
    CHECK(this->stops == 4);
}

TEST_CASE_METHOD(EvictionFixture, "Eviction_roomForOthersBesideTheTask_theyGetIt")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTask(8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->runningOf(longRunningJob).size() == 1);
    CHECK(this->runningOf("00000000000000b1").size() == 2);
}

} // namespace dragonflytray
