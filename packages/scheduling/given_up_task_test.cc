// A task is given up only for crashes of workers that are its own. What ends workers for another reason must not fail a job, and a
// change of the leader must not hide what a task has done.

#include "scheduling/deadly_task_fixture.h"

namespace dragonflytray {

namespace {

    // GivenUpTaskFixture ends workers that no task has crashed.
    struct GivenUpTaskFixture : DeadlyTaskFixture {
        GivenUpTaskFixture()
        {
            this->deadlyJobs.clear();
            this->outage = std::chrono::milliseconds(600);
            this->taskDuration = std::chrono::seconds(3);
        }

        // endWorkers() ends the first `count` workers at the same time. They are back under their ids after the outage.
        void endWorkers(std::size_t count)
        {
            for (std::size_t number = 1; number <= count; ++number)
                this->crashForOutage(WorkerId("w" + std::to_string(number)));
        }

        // runUntilStarted() runs until a start of the job was sent that is later than all before.
        void runUntilStarted(const std::string& host, const std::string& job)
        {
            const auto startsOf = [&] { return std::count_if(this->starts.begin(), this->starts.end(), [&](const StartTask& start) { return start.run.task.job.value() == job; }); };
            const auto before = startsOf();
            const Instant limit = this->now + std::chrono::seconds(20);
            while (startsOf() == before && this->now < limit)
                this->runWatched({ host }, tickInterval);
            REQUIRE(startsOf() > before);
        }

        std::size_t eventsOf(DecisionEvent event) const
        {
            return static_cast<std::size_t>(std::count_if(this->log.begin(), this->log.end(), [event](const LogDecision& line) { return line.event == event; }));
        }
    };

} // namespace

TEST_CASE_METHOD(GivenUpTaskFixture, "Workers_endTogetherSoonAfterEachStart_jobsComplete", "[deadly]")
{
    this->pollTimeout = std::chrono::milliseconds(GENERATE(20, 1250));
    const std::string secondJob = "00000000000000a2";
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(2, 16) }) == ReplyStatus::Accepted);
    REQUIRE(this->submit("a", secondJob, { stepOfTasks(2, 16) }) == ReplyStatus::Accepted);
    for (int outages = 0; outages < 6; ++outages) {
        if (outages > 0)
            this->runUntilStarted("a", otherJob);
        this->runWatched({ "a" }, std::chrono::milliseconds(60));
        this->endWorkers(8);
        this->runWatched({ "a" }, this->outage);
    }
    this->runWatched({ "a" }, std::chrono::seconds(40));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
    CHECK(this->phaseOf(secondJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(GivenUpTaskFixture, "Start_sentToWorkerThatHasEnded_isNoSuspect", "[deadly]")
{
    this->pollTimeout = std::chrono::milliseconds(1250);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    for (int outages = 0; outages < 4; ++outages) {
        for (const auto& [id, worker] : this->workers)
            this->crashForOutage(id);
        this->runUntilStarted("a", otherJob);
        this->runWatched({ "a" }, std::chrono::seconds(3));
    }
    CHECK(this->eventsOf(DecisionEvent::TaskSuspected) == 0);
    this->runWatched({ "a" }, std::chrono::seconds(20));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(GivenUpTaskFixture, "Worker_endsWhileSuspectHasRunForLong_suspectIsCleared", "[deadly]")
{
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    for (int outages = 0; outages < 5; ++outages) {
        this->runUntilStarted("a", otherJob);
        this->runWatched({ "a" }, std::chrono::milliseconds(outages % 2 == 0 ? 60 : 1500));
        const std::vector<TaskRunId> runs = this->runningOf(otherJob);
        REQUIRE(runs.size() == 1);
        for (const auto& [id, worker] : this->workers) {
            if (worker.running().contains(runs.front()))
                this->crashForOutage(id);
        }
        this->runWatched({ "a" }, tickInterval);
    }
    this->runWatched({ "a" }, std::chrono::seconds(20));
    CHECK(this->eventsOf(DecisionEvent::TaskCleared) == 3);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(GivenUpTaskFixture, "Suspect_runHasSettled_storedCrashesAreVoid", "[deadly]")
{
    StepDefinition step = stepOfTasks(1, 4);
    step.isGang = GENERATE(false, true);
    REQUIRE(this->submit("a", otherJob, { step }) == ReplyStatus::Accepted);
    this->runUntilStarted("a", otherJob);
    this->runWatched({ "a" }, std::chrono::milliseconds(60));
    for (const BegunRun& run : this->begunRuns)
        this->crashForOutage(run.start.call.to.worker);
    while (this->storedCrashesOf(otherJob) == 0)
        this->runWatched({ "a" }, tickInterval);
    this->taskDuration = std::chrono::seconds(30);
    this->runUntilStarted("a", otherJob);
    this->runWatched({ "a" }, std::chrono::seconds(2));
    CHECK(this->storedCrashesOf(otherJob) == 0);
}

TEST_CASE_METHOD(GivenUpTaskFixture, "DeadlyTask_leaderStopsDuringEachOutage_jobFailsWithinBudget", "[deadly]")
{
    this->deadlyJobs = { deadlyJob };
    this->outage = std::chrono::seconds(3);
    this->recovery = GENERATE(Recovery::SameWorker, Recovery::OtherWorker);
    REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    const std::string leader = this->loseLeaderAfterEachCrash(8, std::chrono::milliseconds(500), true);
    this->runWatched({ leader }, std::chrono::seconds(20));
    CHECK(this->crashesBy(deadlyJob) < 6);
    CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);
}

TEST_CASE_METHOD(GivenUpTaskFixture, "Takeover_workerWasOnlySilent_noCrashIsAttributed", "[deadly]")
{
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(8, 4) }) == ReplyStatus::Accepted);
    this->runUntilStarted("a", otherJob);
    for (const auto& [id, worker] : this->workers) {
        this->cutLinks.insert({ "a", id });
        this->cutLinks.insert({ "b", id });
    }
    this->runWatched({ "a" }, std::chrono::milliseconds(500));
    this->send("a", BeginHandover {});
    this->runWatched({ "a", "b" }, std::chrono::seconds(1));
    this->cutLinks.clear();
    this->runWatched({ "b" }, std::chrono::seconds(20));
    CHECK(this->eventsOf(DecisionEvent::TaskSuspected) == 0);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

} // namespace dragonflytray
