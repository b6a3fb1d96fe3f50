// A long-running task leaves room to short tasks for a limited time of its absence, however often its stage or its leader
// changes meanwhile.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const JobId id("00000000000000a1");
    const TaskId task { id, 0, 0, 0 };

    StepDefinition longRunningStep()
    {
        StepDefinition step = stepOfTasks(1, 4);
        step.isLongRunning = true;
        return step;
    }

    // AbsenceFixture has the execution of a job with one long-running task.
    struct AbsenceFixture {
        AbsenceFixture()
        {
            this->record.definition.id = id;
            this->record.definition.steps = { longRunningStep() };
        }

        TaskExecution& open(bool mayHaveFormerRuns)
        {
            this->execution.emplace(this->record, Epoch { 2 }, mayHaveFormerRuns, this->openedAt);
            (void)this->execution->openDueSteps(0, this->openedAt);
            return *this->execution->taskExecution(task);
        }

        void enter(TaskStage stage) { this->execution->setStage(task, stage, this->now += std::chrono::seconds(1)); }

        JobRecord record;
        const Instant openedAt { std::chrono::hours(1) };
        Instant now { openedAt };
        std::optional<JobExecution> execution;
    };

    // YieldFixture has host "a" as the leader of one worker without room, and short jobs that go on arriving.
    struct YieldFixture : SchedulerFixture {
        YieldFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::seconds(60);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
            REQUIRE(this->submit("a", "00000000000000a2", { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(500));
            this->taskDuration = std::chrono::milliseconds(400);
        }

        // runWithShortJobs() runs a host to which a short job is submitted every 200 ms.
        void runWithShortJobs(const std::string& name, Duration time)
        {
            for (const Instant end = this->now + time; this->now < end;) {
                (void)this->submit(name, std::to_string(++this->lastShortJob), { stepOfTasks(1, 4) });
                this->run({ name }, std::chrono::milliseconds(200));
            }
        }

        std::uint64_t lastShortJob { 1000000000000000 };
    };

} // namespace

TEST_CASE_METHOD(AbsenceFixture, "JobExecution_startOfTaskFails_absenceBeginsWhenStepOpened")
{
    const TaskExecution& execution = this->open(false);
    this->enter(TaskStage::Starting);
    this->enter(TaskStage::Waiting);
    CHECK(execution.absentSince == this->openedAt);
}

TEST_CASE_METHOD(AbsenceFixture, "JobExecution_runIsStopped_absenceBeginsWithTheStop")
{
    const TaskExecution& execution = this->open(false);
    this->enter(TaskStage::Running);
    this->enter(TaskStage::Stopping);
    const Instant stoppedAt = this->now;
    this->enter(TaskStage::Waiting);
    CHECK(execution.absentSince == stoppedAt);
}

TEST_CASE_METHOD(AbsenceFixture, "JobExecution_taskOfFormerLeader_beginOfAbsenceIsUnknown")
{
    const TaskExecution& execution = this->open(true);
    this->execution->reconcile({}, this->openedAt);
    REQUIRE(execution.stage == TaskStage::Waiting);
    CHECK(execution.absentSince == Instant());
}

TEST_CASE_METHOD(YieldFixture, "LongRunningTask_absentForLong_isStartedBeforeShortTasks")
{
    REQUIRE(this->submit("a", id.value(), { longRunningStep() }) == ReplyStatus::Accepted);
    this->addWorker("w2", 4).list(this->now);
    this->run({ "a" }, std::chrono::seconds(5));
    REQUIRE(this->runningOf(id.value()).size() == 1);
    this->crashWorker(WorkerId("w2"));
    this->workers.at(WorkerId("w2")).unlist(this->now);
    this->run({ "a" }, std::chrono::seconds(9)); // its lease expires after 5 s
    this->addWorker("w3", 4).list(this->now);
    for (int job = 0; job < 20; ++job)
        (void)this->submit("a", std::to_string(++this->lastShortJob), { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::seconds(2));
    CHECK(this->runningOf(id.value()).size() == 1);
}

TEST_CASE_METHOD(YieldFixture, "Takeover_longRunningTaskWaitsBesideShortTasks_doesNotYieldAnew", "[takeover]")
{
    REQUIRE(this->submit("a", id.value(), { longRunningStep() }) == ReplyStatus::Accepted);
    this->runWithShortJobs("a", std::chrono::seconds(1));
    this->send("a", BeginHandover {});
    this->addWorker("w2", 16);
    while (this->leader() != "b")
        this->run({ "b" }, std::chrono::milliseconds(20));
    this->runWithShortJobs("b", std::chrono::seconds(1));
    CHECK(this->runningOf(id.value()).size() == 1);
}

} // namespace dragonflytray
