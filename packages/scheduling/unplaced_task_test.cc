// What a search for room has shown for one task holds for another one only where the search of the other would be no wider.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string otherJob = "00000000000000b1";
    const std::string gangJob = "00000000000000e1";

    // UnplacedTaskFixture has host "a" as the leader of workers that differ in service and rack.
    struct UnplacedTaskFixture : SchedulerFixture {
        UnplacedTaskFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->configuration.queues.front().targetLatency = std::chrono::seconds(10); // tasks that are late evict no runs
            QueueRule lab = this->configuration.queues.front();
            lab.name = QueueName("lab");
            lab.pathPrefix = "/lab/";
            lab.service = ServiceName("lab");
            this->configuration.queues.push_back(lab);
            lab.name = QueueName("lab-batch");
            lab.pathPrefix = "/lab-batch/";
            lab.priority = 2;
            this->configuration.queues.push_back(lab);
        }

        void lead() { this->run({ "a" }, std::chrono::seconds(3)); }

        void addWorkerOf(const std::string& id, std::int64_t cores, const std::string& service, const std::string& rack)
        {
            ListedWorker entry = this->addWorker(id, cores).entry();
            entry.service = ServiceName(service);
            entry.rack = rack;
            this->workers.erase(entry.id);
            this->workers.try_emplace(entry.id, entry, this->now);
        }

        void submitTo(const std::string& pathPrefix, const std::string& job, const StepDefinition& step)
        {
            SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = this->configuration.queues.front().host, .path = pathPrefix + job, .job = {} };
            submit.job.spec = "spec of " + job;
            submit.job.steps = { step };
            this->send("a", submit);
            REQUIRE(this->replies.back().status == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(100));
        }
    };

    StepDefinition longRunningTask(std::int64_t cores)
    {
        StepDefinition step = stepOfTasks(1, cores);
        step.isLongRunning = true;
        return step;
    }

} // namespace

TEST_CASE_METHOD(UnplacedTaskFixture, "UnplacedTasks_needLabelThatNoWorkerHas_taskOfOtherJobIsStarted")
{
    this->dispatcherOptions.maxUnplacedTasksPerPass = 2;
    this->addWorker("w1", 8);
    this->lead();
    StepDefinition constrained = stepOfTasks(1, 4);
    constrained.requiredLabel = "gpu";
    for (int number = 10; number < 40; ++number)
        REQUIRE(this->submit("a", "00000000000000" + std::to_string(number), { constrained }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(UnplacedTaskFixture, "UnplacedTask_findsNothingToEvictInItsService_taskOfOtherServiceEvicts")
{
    this->addWorkerOf("w1", 8, "desk", "r1");
    this->addWorkerOf("w2", 8, "lab", "r1");
    this->lead();
    this->taskDuration = std::chrono::seconds(60);
    this->submitTo("/q/", "00000000000000a1", stepOfTasks(1, 8));
    this->submitTo("/lab-batch/", "00000000000000a2", stepOfTasks(1, 8));
    REQUIRE(this->starts.size() == 2);
    this->submitTo("/q/", "00000000000000a3", stepOfTasks(1, 8));
    this->submitTo("/lab/", otherJob, stepOfTasks(1, 8));
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->runningOf(otherJob).size() == 1);
}

TEST_CASE_METHOD(UnplacedTaskFixture, "Gang_fullestRackHasNoRoomForAllMembers_isStartedInOtherRack")
{
    this->addWorkerOf("w1", 8, "desk", "r1");
    this->addWorkerOf("w2", 16, "desk", "r2");
    this->lead();
    StepDefinition gang = stepOfTasks(2, 8);
    gang.isGang = true;
    gang.isSameRack = true;
    this->submitTo("/q/", gangJob, gang);
    this->run({ "a" }, std::chrono::milliseconds(300));
    CHECK(this->runningOf(gangJob).size() == 2);
}

TEST_CASE_METHOD(UnplacedTaskFixture, "Gangs_fillPassWithoutWorkers_taskOfOtherJobIsStarted")
{
    this->dispatcherOptions.maxUnplacedTasksPerPass = 2;
    this->addWorker("w1", 8);
    this->lead();
    StepDefinition gang = stepOfTasks(2, 8);
    gang.isGang = true;
    for (int number = 10; number < 12; ++number)
        this->submitTo("/q/", "00000000000000" + std::to_string(number), gang);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(300));
    CHECK(this->runningOf(otherJob).size() == 1);
}

TEST_CASE_METHOD(UnplacedTaskFixture, "Stop_workerRejectsIt_isSentAgain")
{
    this->addWorker("w1", 8);
    this->lead();
    this->submitTo("/q/", otherJob, longRunningTask(8));
    const std::vector<TaskRunId> runs = this->runningOf(otherJob);
    REQUIRE(runs.size() == 1);
    this->stopsToLose = 1;
    this->send("a", RequestCancellation { ReplyToken { 2 }, this->configuration.queues.front().host, "/q/" + otherJob });
    REQUIRE(this->stopsToLose == 0);
    this->delayedCommands.clear(); // the stop is answered as follows
    this->send("a", TaskCallEnded { TaskCallKind::Stop, WorkerId("w1"), { 1 }, runs.front(), WorkerCallStatus::Rejected });
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->runningOf(otherJob).empty());
}

} // namespace dragonflytray
