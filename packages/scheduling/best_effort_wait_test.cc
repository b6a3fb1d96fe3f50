// A best-effort job must not wait for ever while workers have idle cores: smaller tasks take what becomes free before a large one
// fits, and a task that would harm serving tasks at full speed finds no worker that admits it.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string servingJob = "00000000000000b1";
    constexpr Duration acceptedWait = std::chrono::seconds(8);
    constexpr Duration acceptedIdleTime = std::chrono::seconds(3); // of a job with nothing running, under one leader
    constexpr Duration waitUnderOneLeader = std::chrono::seconds(2); // less than acceptedIdleTime, which two of them exceed

    StepDefinition bestEffortStep(std::uint32_t count, std::int64_t cores)
    {
        StepDefinition step = stepOfTasks(count, cores);
        step.isBestEffort = true;
        step.image = ImageName("batch");
        return step;
    }

    // BestEffortWaitFixture has host "a" as the leader of one worker with 16 cores.
    struct BestEffortWaitFixture : SchedulerFixture {
        BestEffortWaitFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        void serveOnEveryWorker()
        {
            StepDefinition serving = stepOfTasks(1, 4);
            serving.isLongRunning = true;
            serving.latencyTarget = std::chrono::milliseconds(20);
            serving.image = ImageName("desk");
            REQUIRE(this->submit("a", servingJob, { serving }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::seconds(5));
            REQUIRE(this->runningOf(servingJob).size() == 1);
        }

        // addKnownWorker() adds a worker of which host "a" learns.
        void addKnownWorker(const std::string& id, std::int64_t cores)
        {
            this->send("a", WorkersListed { { this->addWorker(id, cores).entry() }, {}, false, 0 });
            this->run({ "a" }, std::chrono::seconds(1));
        }

        // serveAndSubmit() submits a best-effort job of tasks that would harm the serving task at full speed.
        void serveAndSubmit(const StepDefinition& step)
        {
            this->serveOnEveryWorker();
            REQUIRE(this->submit("a", job, { step }) == ReplyStatus::Accepted);
        }

        // runFirstTaskOnWorkerWithoutServingTask() runs one task of a best-effort job on "w2", while the other waits.
        void runFirstTaskOnWorkerWithoutServingTask()
        {
            this->taskDuration = std::chrono::minutes(1);
            this->serveOnEveryWorker();
            this->addKnownWorker("w2", 10);
            REQUIRE(this->submit("a", job, { bestEffortStep(2, 10) }) == ReplyStatus::Accepted);
            this->run({ "a" }, acceptedWait);
            REQUIRE(this->workers.at(WorkerId("w2")).running().size() == 1);
            REQUIRE(this->runningOf(job).size() == 1);
        }

        // changeLeader() lets another host take the lease, and runs it for `time` from then on.
        void changeLeader(const std::string& successor, Duration time)
        {
            constexpr Duration takeoverTimeout = std::chrono::seconds(5);
            for (const Instant end = this->now + takeoverTimeout; this->leader() != successor && this->now < end;)
                this->run({ successor }, std::chrono::milliseconds(100));
            REQUIRE(this->leader() == successor);
            this->run({ successor }, time);
        }

        // longestIdleTime() returns the longest time between submission, the runs of a job and now in which nothing of it ran. Runs
        // take `taskDuration`.
        Duration longestIdleTime(const std::string& id, Instant submittedAt) const
        {
            Duration longest(0);
            Instant busyUntil = submittedAt;
            for (const BegunRun& run : this->begunRuns) {
                if (run.start.call.run.task.job.value() != id)
                    continue;
                longest = std::max(longest, run.at - busyUntil);
                busyUntil = std::max(busyUntil, run.at + this->taskDuration);
            }
            return isFinal(this->phaseOf(id)) ? longest : std::max(longest, this->now - busyUntil);
        }

        // submitJobs() submits `count` jobs of one step, a while after each other.
        void submitJobs(int count, const StepDefinition& step)
        {
            for (int number = 0; number < count; ++number) {
                const std::string id = std::to_string(1000000000000000 + number);
                REQUIRE(this->submit("a", id, { step }) == ReplyStatus::Accepted);
                this->submittedAt[id] = this->now;
                this->run({ "a" }, std::chrono::milliseconds(100));
            }
        }

        void checkIdleTimes() const
        {
            for (const auto& [id, at] : this->submittedAt)
                CHECK(this->longestIdleTime(id, at) < acceptedIdleTime);
        }

        bool hasBegun(const std::string& id) const
        {
            return std::any_of(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.start.call.run.task.job.value() == id; });
        }

        std::map<std::string, Instant> submittedAt; // of the jobs of submitJobs()
    };

} // namespace

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_smallerTasksKeepArriving_largeOneIsStarted")
{
    constexpr int smallJobs = 60;
    for (int number = 0; number < smallJobs; ++number) {
        REQUIRE(this->submit("a", std::to_string(1000000000000000 + number), { bestEffortStep(1, 4) }) == ReplyStatus::Accepted);
        this->run({ "a" }, std::chrono::milliseconds(200));
        if (number == smallJobs / 6)
            REQUIRE(this->submit("a", job, { bestEffortStep(2, 14) }) == ReplyStatus::Accepted);
    }
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_everyWorkerServes_itIsStartedAtReducedSpeed")
{
    this->serveOnEveryWorker();
    REQUIRE(this->submit("a", job, { bestEffortStep(2, 10) }) == ReplyStatus::Accepted);
    this->run({ "a" }, acceptedIdleTime);
    CHECK(this->hasBegun(job));
    const bool isThrottled = std::any_of(this->log.begin(), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::TaskSpeedChanged && line.subject.rfind(job, 0) == 0 && line.outcome != "100"; });
    CHECK(isThrottled);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_everyWorkerServesAndItsJobRuns_itWaitsForFullSpeed")
{
    this->taskDuration = 3 * acceptedWait;
    this->serveOnEveryWorker();
    REQUIRE(this->submit("a", job, { bestEffortStep(2, 10) }) == ReplyStatus::Accepted);
    this->run({ "a" }, 2 * acceptedWait);
    CHECK(this->runningOf(job).size() == 1);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_leaderHasChangedBeforeSubmission_itIsStartedWithoutKnownHeadroom")
{
    this->serveOnEveryWorker();
    this->changeLeader("b", Duration(0));
    REQUIRE(this->submit("b", job, { bestEffortStep(2, 10) }) == ReplyStatus::Accepted);
    this->run({ "b" }, acceptedWait);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_leaderChangesDuringWait_itIsStartedWithinBoundOfNewLeader")
{
    this->serveAndSubmit(bestEffortStep(2, 10));
    this->run({ "a" }, acceptedWait / 2);
    this->changeLeader("b", acceptedWait);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_leaderChangesDuringWait_waitUnderFormerLeaderCounts")
{
    this->serveAndSubmit(bestEffortStep(2, 10));
    this->run({ "a" }, waitUnderOneLeader);
    this->changeLeader("b", waitUnderOneLeader);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_leaderChangesTwiceDuringWait_waitUnderFormerLeadersCounts")
{
    this->serveAndSubmit(bestEffortStep(2, 10));
    this->run({ "a" }, waitUnderOneLeader);
    this->changeLeader("b", waitUnderOneLeader);
    this->changeLeader("c", waitUnderOneLeader);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_nearLabelIsOnNoWorker_itIsStarted")
{
    StepDefinition step = bestEffortStep(2, 10);
    step.nearLabel = "r2";
    this->serveAndSubmit(step);
    this->run({ "a" }, acceptedWait);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_maxPerWorkerIsOne_itIsStarted")
{
    StepDefinition step = bestEffortStep(2, 10);
    step.maxPerWorker = 1;
    this->serveAndSubmit(step);
    this->run({ "a" }, acceptedWait);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_firstTaskOfStepHasFailed_jobRunsAgain")
{
    this->shouldTasksFail = true;
    this->serveAndSubmit(bestEffortStep(2, 10));
    const Instant submittedAt = this->now;
    while (!this->hasBegun(job) && this->now < submittedAt + acceptedWait)
        this->run({ "a" }, std::chrono::milliseconds(100));
    REQUIRE(this->hasBegun(job));
    this->shouldTasksFail = false;
    this->run({ "a" }, this->taskDuration);
    const std::size_t begunBefore = this->begunRuns.size();
    this->run({ "a" }, acceptedWait);
    CHECK(this->begunRuns.size() > begunBefore);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_startExpiresAfterLongWait_itIsStartedAgainWithinBound")
{
    this->serveAndSubmit(bestEffortStep(2, 10));
    this->startTransmission = std::chrono::milliseconds(1200); // longer than a start is valid
    const std::size_t startsBefore = this->starts.size();
    const Instant submittedAt = this->now;
    while (this->starts.size() == startsBefore && this->now < submittedAt + acceptedWait)
        this->run({ "a" }, std::chrono::milliseconds(20));
    this->startTransmission = Duration(0);
    this->run({ "a" }, waitUnderOneLeader); // the start expires after the first second of it
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_workerOfFirstTaskIsLost_taskThatHasWaitedIsStartedWithinBound")
{
    this->runFirstTaskOnWorkerWithoutServingTask();
    this->crashWorker(WorkerId("w2"));
    this->run({ "a" }, acceptedWait);
    CHECK(this->runningOf(job).size() == 1);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_workerOfFirstTaskRestartsAndIsUnlisted_taskThatHasWaitedIsStartedWithinBound")
{
    this->runFirstTaskOnWorkerWithoutServingTask();
    this->crashWorker(WorkerId("w2"));
    this->restoreWorker(WorkerId("w2"));
    this->workers.at(WorkerId("w2")).unlist(this->now);
    this->run({ "a" }, acceptedWait);
    CHECK(this->runningOf(job).size() == 1);
    CHECK(this->workers.at(WorkerId("w1")).running().size() == 2);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_hasFailedAndOtherJobsKeepFailingOnOnlyWorker_itIsStartedAgain")
{
    this->shouldTasksFail = true;
    REQUIRE(this->submit("a", job, { bestEffortStep(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, 2 * this->taskDuration);
    REQUIRE(this->hasBegun(job));
    constexpr Duration interval = std::chrono::milliseconds(200);
    for (int number = 0; number * interval < acceptedWait; ++number) {
        REQUIRE(this->submit("a", std::to_string(1000000000000000 + number), { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
        this->run({ "a" }, interval);
    }
    CHECK(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [](const BegunRun& run) { return run.start.call.run.task.job.value() == job; }) == 2);
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortGang_everyWorkerServes_itIsStarted")
{
    StepDefinition step = bestEffortStep(2, 4);
    step.isGang = true;
    this->serveAndSubmit(step);
    this->run({ "a" }, acceptedWait);
    CHECK(this->hasBegun(job));
}

TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortJobs_severalWaitForOneWorker_eachIsStarted")
{
    this->taskDuration = std::chrono::minutes(1);
    this->serveOnEveryWorker();
    std::vector<std::string> jobs;
    for (int number = 0; number < 6; ++number) {
        jobs.push_back(std::to_string(1000000000000000 + number));
        REQUIRE(this->submit("a", jobs.back(), { bestEffortStep(2, 10) }) == ReplyStatus::Accepted);
    }
    this->run({ "a" }, acceptedWait);
    for (const std::string& id : jobs)
        CHECK(this->hasBegun(id));
}

// Each run of a job that finds a place only by the bound on its wait ends a while before the leader knows, and begins a while after
// its start was decided.
TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortJobs_startsTakeTimeToArrive_noJobIsIdleForTooLong")
{
    this->serveOnEveryWorker();
    this->startTransmission = std::chrono::milliseconds(20);
    this->startPropagation = std::chrono::milliseconds(500);
    this->submitJobs(6, bestEffortStep(4, 10));
    this->run({ "a" }, 2 * acceptedWait);
    this->checkIdleTimes();
}

// Four tasks have room at a time. In the order of deadlines those of the same jobs take it again and again.
TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortJobs_manyWaitForLittleRoom_theyTakeTurns")
{
    this->serveOnEveryWorker();
    StepDefinition step = bestEffortStep(6, 10);
    step.need.megabytes = 60000;
    this->submitJobs(12, step);
    this->run({ "a" }, 2 * acceptedWait);
    this->checkIdleTimes();
}

// A pass ends before it reaches the job, as long as many earlier jobs find no worker.
TEST_CASE_METHOD(BestEffortWaitFixture, "BestEffortTask_manyEarlierJobsFindNoRoom_itIsStarted")
{
    this->taskDuration = std::chrono::seconds(20);
    this->serveOnEveryWorker();
    constexpr int earlierJobs = 50; // more than Dispatcher::Options::maxUnplacedTasksPerPass
    for (int number = 0; number < earlierJobs; ++number) {
        StepDefinition step = bestEffortStep(1, 10);
        step.need.megabytes = 255900 - number; // each less than the one before, and more than is free
        REQUIRE(this->submit("a", std::to_string(1000000000000000 + number), { step }) == ReplyStatus::Accepted);
        this->run({ "a" }, std::chrono::milliseconds(20));
    }
    StepDefinition second = bestEffortStep(1, 10);
    second.after = { 0 };
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 1), second }) == ReplyStatus::Accepted);
    this->run({ "a" }, acceptedWait);
    REQUIRE(this->hasBegun(job));
    this->run({ "a" }, this->taskDuration);
    const auto isOfSecondStep = [](const BegunRun& run) { return run.start.call.run.task.job.value() == job && run.start.call.run.task.step == 1; };
    this->run({ "a" }, acceptedWait);
    CHECK(std::any_of(this->begunRuns.begin(), this->begunRuns.end(), isOfSecondStep));
}

} // namespace dragonflytray
