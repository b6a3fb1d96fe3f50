// Whose a crash of a worker is, in histories in which several workers, jobs or leaders are lost: a task that crashes its workers must
// not be started six times, and what ends workers for another reason must not fail a job.

#include "scheduling/deadly_task_fixture.h"

namespace dragonflytray {

namespace {

    // CrashAttributionFixture ends workers that no task has crashed, and those of deadly jobs.
    struct CrashAttributionFixture : DeadlyTaskFixture {
        CrashAttributionFixture()
        {
            this->deadlyJobs.clear();
            this->outage = std::chrono::milliseconds(600);
            this->taskDuration = std::chrono::seconds(3);
        }

        void endAll()
        {
            for (const auto& [id, worker] : this->workers) {
                if (!this->crashed.contains(id) && !this->replaced.contains(id))
                    this->crashForOutage(id);
            }
        }

        std::size_t begunOf(const std::string& job) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.start.call.run.task.job.value() == job; }));
        }

        // endAllSoonAfterStarts() ends all workers `count` times, each time soon after a run of the job has begun.
        void endAllSoonAfterStarts(const std::string& job, int count)
        {
            for (int outages = 0; outages < count; ++outages) {
                this->runUntilBegun("a", job);
                this->runWatched({ "a" }, std::chrono::milliseconds(60));
                this->endAll();
                this->runWatched({ "a" }, this->outage);
            }
        }

        void runUntilBegun(const std::string& host, const std::string& job, Duration limit = std::chrono::seconds(20))
        {
            const std::size_t before = this->begunOf(job);
            const Instant end = this->now + limit;
            while (this->begunOf(job) == before && this->now < end && this->phaseOf(job) != JobPhase::Failed)
                this->runWatched({ host }, tickInterval);
        }
    };

    // TwoWorkersFixture has a cell of two workers.
    struct TwoWorkersFixture : CrashAttributionFixture {
        TwoWorkersFixture()
        {
            for (int number = 3; number <= 8; ++number) {
                this->unlisted.insert(WorkerId("w" + std::to_string(number)));
                this->crashed.insert(WorkerId("w" + std::to_string(number)));
            }
            this->run({ "a" }, std::chrono::seconds(10));
        }
    };

} // namespace

TEST_CASE_METHOD(CrashAttributionFixture, "WideJob_allItsWorkersEndTogetherTwice_jobCompletes", "[deadly]")
{
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(8, 16) }) == ReplyStatus::Accepted);
    this->endAllSoonAfterStarts(otherJob, 2);
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "Gang_allItsWorkersEndTogetherTwice_jobCompletes", "[deadly]")
{
    StepDefinition step = stepOfTasks(8, 16);
    step.isGang = true;
    REQUIRE(this->submit("a", otherJob, { step }) == ReplyStatus::Accepted);
    this->endAllSoonAfterStarts(otherJob, 2);
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTasks_startTogether_eachJobFailsWithinBudget", "[deadly]")
{
    this->outage = std::chrono::seconds(3);
    std::vector<std::string> ids { "00000000000000d1", "00000000000000d2", "00000000000000d3" };
    for (const std::string& id : ids) {
        this->deadlyJobs.insert(id);
        REQUIRE(this->submit("a", id, { stepOfTasks(1, 16) }) == ReplyStatus::Accepted);
    }
    this->runWatched({ "a" }, std::chrono::seconds(80));
    for (const std::string& id : ids) {
        CHECK(this->crashesBy(id) < 6);
        CHECK(this->phaseOf(id) == JobPhase::Failed);
    }
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTask_leaderIsLostBeforeEachVerdict_jobFailsWithinBudget", "[deadly]")
{
    const bool isKilled = GENERATE(false, true);
    CAPTURE(isKilled);
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::milliseconds(300);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    std::string leader = "a";
    for (int number = 0; number < 10 && this->phaseOf(deadlyJob) != JobPhase::Failed; ++number) {
        const std::size_t stored = this->storedCrashesOf(deadlyJob);
        const Instant limit = this->now + std::chrono::seconds(20);
        while (this->storedCrashesOf(deadlyJob) == stored && this->now < limit && this->phaseOf(deadlyJob) != JobPhase::Failed)
            this->runWatched({ leader }, tickInterval);
        leader = this->changeLeader(leader, "h" + std::to_string(number), !isKilled);
    }
    this->runWatched({ leader }, std::chrono::seconds(20));
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTask_leaderIsKilledDuringEachOutage_jobFailsWithinBudget", "[deadly]")
{
    const int delay = GENERATE(100, 1000, 2500);
    CAPTURE(delay);
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::seconds(3);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    const std::string leader = this->loseLeaderAfterEachCrash(8, std::chrono::milliseconds(delay), false);
    this->runWatched({ leader }, std::chrono::seconds(20));
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "Workers_endTwiceBeforeVerdict_jobsComplete", "[deadly]")
{
    const std::string secondJob = "00000000000000a2";
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", secondJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    for (int outages = 0; outages < 2; ++outages) {
        this->runUntilBegun("a", otherJob);
        this->runWatched({ "a" }, std::chrono::milliseconds(60));
        this->endAll();
        this->runWatched({ "a" }, std::chrono::milliseconds(1200));
        this->endAll();
        this->runWatched({ "a" }, this->outage);
    }
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
    CHECK(this->phaseOf(secondJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(TwoWorkersFixture, "Workers_bothOfTwoEndTogether_jobsComplete", "[deadly]")
{
    const std::string secondJob = "00000000000000a2";
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 16) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", secondJob, { stepOfTasks(1, 16) }) == ReplyStatus::Accepted);
    this->endAllSoonAfterStarts(otherJob, 2);
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
    CHECK(this->phaseOf(secondJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "Workers_endTogetherBeforeEachHandover_jobsComplete", "[deadly]")
{
    const std::string secondJob = "00000000000000a2";
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", secondJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    std::string leader = "a";
    this->outage = std::chrono::seconds(2);
    for (int outages = 0; outages < 5; ++outages) {
        this->runUntilBegun(leader, otherJob);
        this->runWatched({ leader }, std::chrono::milliseconds(60));
        this->endAll();
        this->runWatched({ leader }, std::chrono::milliseconds(300));
        leader = this->changeLeader(leader, "h" + std::to_string(outages), true);
        this->runWatched({ leader }, std::chrono::seconds(2));
    }
    this->runWatched({ leader }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
    CHECK(this->phaseOf(secondJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTask_startsAreCarriedOutLate_crashesStayWithinBudget", "[deadly]")
{
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::seconds(1);
    this->startsToDelay = 1000;
    this->startDelay = std::chrono::milliseconds(GENERATE(700, 2000));
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->runWatched({ "a" }, std::chrono::seconds(90));
    CHECK(this->crashesBy(deadlyJob) < 6);
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTask_otherWorkersMissPolls_jobFailsWithinBudget", "[deadly]")
{
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::seconds(1);
    this->pollTimeout = std::chrono::milliseconds(1250);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    // Polls of six workers get no answer now and then. The worker that was started last is reached.
    const Instant end = this->now + std::chrono::seconds(90);
    for (int step = 0; this->now < end; ++step) {
        for (int number = 3; number <= 8; ++number) {
            const WorkerId id("w" + std::to_string(number));
            if ((step + 3 * number) % 12 < 8)
                this->cutLinks.insert({ "a", id });
            else
                this->cutLinks.erase({ "a", id });
        }
        this->runWatched({ "a" }, std::chrono::milliseconds(200));
    }
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "DeadlyTask_leaderHandsOverAfterEachLease_crashesStayWithinBudget", "[deadly]")
{
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::seconds(9);
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    const std::string leader = this->loseLeaderAfterEachCrash(9, std::chrono::milliseconds(7200), true);
    this->runWatched({ leader }, std::chrono::seconds(30));
    CHECK(this->crashesBy(deadlyJob) < 6);
}

TEST_CASE_METHOD(CrashAttributionFixture, "Workers_endTogetherAndAreBackAfterAMinute_jobCompletes", "[deadly]")
{
    const std::string secondJob = "00000000000000a2";
    this->outage = std::chrono::milliseconds(GENERATE(63000, 64500));
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", secondJob, { stepOfTasks(4, 16) }) == ReplyStatus::Accepted);
    this->endAllSoonAfterStarts(otherJob, 2);
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(CrashAttributionFixture, "Worker_connectionIsResetAndWorkerEndsLater_jobCompletes", "[deadly]")
{
    this->taskDuration = std::chrono::seconds(10);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 16) }) == ReplyStatus::Accepted);
    for (int outages = 0; outages < 2; ++outages) {
        const std::size_t before = this->begunOf(otherJob);
        this->runUntilBegun("a", otherJob);
        REQUIRE(this->begunOf(otherJob) > before);
        this->runWatched({ "a" }, std::chrono::milliseconds(60));
        const WorkerId worker = this->begunRuns.back().start.call.to.worker;
        this->cutLinks.insert({ "a", worker });
        this->runWatched({ "a" }, std::chrono::seconds(2));
        this->crashForOutage(worker);
        this->runWatched({ "a" }, this->outage);
        this->cutLinks.clear();
        this->runWatched({ "a" }, std::chrono::milliseconds(60));
    }
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

} // namespace dragonflytray
