// A task that crashes each worker that starts it must be given up after a few crashes. The tasks beside it, and those on workers
// that crash for another reason, must be done all the same.

#include "scheduling/deadly_task_fixture.h"

namespace dragonflytray {

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_twoWorkersHaveCrashed_jobFails", "[deadly]")
{
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    this->workerStartTime = GENERATE(0, 1);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(30));
    CHECK(this->crashesBy(deadlyJob) == 2);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_otherTasksBesideIt_onlyItsJobFails", "[deadly]")
{
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(24, 4) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(30));
    CHECK(this->crashesBy(deadlyJob) <= 3); // the first one may have several suspects
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTasks_severalBesideOtherJobs_onlyTheirJobsFail", "[deadly]")
{
    this->recovery = Recovery::OtherWorker;
    constexpr int jobs = 24;
    std::vector<std::string> innocentJobs;
    for (int number = 10; number < 10 + jobs; ++number) {
        const std::string id = "00000000000000" + std::to_string(number);
        const bool isDeadly = number % 6 == 0;
        if (isDeadly)
            this->deadlyJobs.insert(id);
        else
            innocentJobs.push_back(id);
        REQUIRE(this->submit("a", id, { stepOfTasks(3, 4) }) == ReplyStatus::Accepted);
        this->runWatched({ "a" }, std::chrono::milliseconds(200));
    }
    this->runWatched({ "a" }, std::chrono::seconds(40));
    for (const std::string& id : innocentJobs) {
        CAPTURE(id);
        CHECK(this->phaseOf(id) == JobPhase::Completed);
    }
    this->deadlyJobs.erase(deadlyJob);
    for (const std::string& id : this->deadlyJobs) {
        CAPTURE(id);
        CHECK(this->phaseOf(id) == JobPhase::Failed);
        std::map<TaskId, int> crashes;
        for (const TaskRunId& run : this->crashingRuns) {
            if (run.task.job.value() == id)
                ++crashes[run.task];
        }
        for (const auto& [task, count] : crashes)
            CHECK(count <= 4); // crashes of several tasks at the same time prove nothing
    }
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_leaderChangesAfterFirstCrash_jobFailsAfterThird", "[deadly]")
{
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    while (this->storedCrashesOf(deadlyJob) == 0 && this->crashingRuns.size() < 2)
        this->runWatched({ "a" }, tickInterval);
    REQUIRE(this->crashesBy(deadlyJob) == 1);
    this->runWatched({ "b" }, std::chrono::seconds(40));
    CHECK(this->crashesBy(deadlyJob) <= 3); // the verdict on the first one may be lost with its leader
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_leaderChangesDuringEachOutage_jobFailsWithinBudget", "[deadly]")
{
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    while (this->crashingRuns.empty())
        this->runWatched({ "a" }, tickInterval);
    while (this->crashingRuns.size() < 2)
        this->runWatched({ "b" }, tickInterval);
    this->runWatched({ "c" }, std::chrono::seconds(60));
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_workersAreBackAfterTheirLeases_jobFails", "[deadly]")
{
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    this->outage = std::chrono::seconds(9);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(80));
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_longRunning_isKeptAndStartsAtBoundedRate", "[deadly]")
{
    StepDefinition step = stepOfTasks(1, 4);
    step.isLongRunning = true;
    REQUIRE(this->submit("a", deadlyJob, { step }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(20));
    const std::size_t crashes = this->crashesBy(deadlyJob);
    this->runWatched({ "a" }, std::chrono::seconds(80));
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Running);
    CHECK(this->crashesBy(deadlyJob) > crashes);
    CHECK(this->crashesBy(deadlyJob) <= crashes + 15); // one in 5.5 s: an outage of 3 s, and a backoff of 2.5 s
    CHECK(this->storedCrashesOf(deadlyJob) <= 8);
    this->deadlyJobs.clear();
    this->runWatched({ "a" }, std::chrono::seconds(15));
    CHECK(this->runningOf(deadlyJob).size() == 1);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyGang_twoRunsHaveCrashedWorkers_jobFails", "[deadly]")
{
    StepDefinition step = stepOfTasks(3, 4);
    step.isGang = true;
    REQUIRE(this->submit("a", deadlyJob, { step }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(30));
    std::set<std::uint64_t> runs;
    for (const TaskRunId& run : this->crashingRuns)
        runs.insert(run.run);
    CHECK(runs.size() == 2);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "DeadlyTask_workersAreNeverIdle_otherJobsGoOnAndItsJobFails", "[deadly]")
{
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    std::vector<std::string> jobs;
    for (int number = 100; number < 160; ++number) {
        jobs.push_back("0000000000000" + std::to_string(number));
        REQUIRE(this->submit("a", jobs.back(), { stepOfTasks(6, 4) }) == ReplyStatus::Accepted);
        this->runWatched({ "a" }, std::chrono::milliseconds(250));
    }
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
    this->runWatched({ "a" }, std::chrono::seconds(20));
    for (const std::string& id : jobs) {
        CAPTURE(id);
        CHECK(this->phaseOf(id) == JobPhase::Completed);
    }
}

TEST_CASE_METHOD(DeadlyTaskFixture, "Workers_allCrashAgainAndAgain_noJobFails", "[deadly]")
{
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    this->taskDuration = std::chrono::seconds(3);
    StepDefinition longRunning = stepOfTasks(4, 2);
    longRunning.isLongRunning = true;
    StepDefinition gang = stepOfTasks(3, 2);
    gang.isGang = true;
    const std::string longRunningJob = "00000000000000b1";
    const std::string gangJob = "00000000000000b2";
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(16, 4) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", longRunningJob, { longRunning }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", gangJob, { gang }) == ReplyStatus::Accepted);
    for (int crash = 0; crash < 3; ++crash) {
        this->runWatched({ "a" }, std::chrono::milliseconds(2400));
        std::vector<WorkerId> running;
        for (const auto& [id, worker] : this->workers) {
            if (!this->crashed.contains(id) && !this->replaced.contains(id))
                running.push_back(id);
        }
        for (const WorkerId& id : running)
            this->crashForOutage(id);
        this->runWatched({ "a" }, std::chrono::seconds(8));
    }
    this->runWatched({ "a" }, std::chrono::seconds(20));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
    CHECK(this->phaseOf(gangJob) == JobPhase::Completed);
    CHECK(this->phaseOf(longRunningJob) == JobPhase::Running);
    CHECK(this->runningOf(longRunningJob).size() == 4);
}

TEST_CASE_METHOD(DeadlyTaskFixture, "Workers_silentAndBack_noCrashIsAttributed", "[deadly]")
{
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(8, 4) }) == ReplyStatus::Accepted);
    for (int cut = 0; cut < 3; ++cut) {
        for (const auto& [id, worker] : this->workers)
            this->cutLinks.insert({ "a", id });
        this->runWatched({ "a" }, std::chrono::seconds(7));
        this->cutLinks.clear();
        this->runWatched({ "a" }, std::chrono::milliseconds(500));
    }
    this->runWatched({ "a" }, std::chrono::seconds(20));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

} // namespace dragonflytray
