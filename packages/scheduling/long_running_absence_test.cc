// A long-running task that waits, or is moved, is absent for a bounded time while there is room for it, however many short tasks
// wait for the same room. Without such a bound each part of the room that is freed goes to the first short task that fits.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr const char* longRunningJob = "00000000000000a1";
    constexpr Duration acceptedAbsence = std::chrono::seconds(6);

    // LongRunningAbsenceFixture has host "a" as the leader of one worker, and short tasks that fill all room and go on arriving.
    struct LongRunningAbsenceFixture : SchedulerFixture {
        LongRunningAbsenceFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::milliseconds(700);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        static StepDefinition longRunningTasks(std::uint32_t count, std::int64_t cores)
        {
            StepDefinition step = stepOfTasks(count, cores);
            step.isLongRunning = true;
            return step;
        }

        // runUnderLoad() runs the host for `time`, or until `isOver`, while more short tasks arrive than the worker can run.
        bool runUnderLoad(
            Duration time, const std::function<bool()>& isOver = [] { return false; })
        {
            for (const Instant end = this->now + time; this->now < end && !isOver();) {
                if (this->now >= this->nextJobAt) {
                    (void)this->submit("a", std::to_string(++this->lastShortJob), { stepOfTasks(2, 4) });
                    this->nextJobAt = this->now + std::chrono::milliseconds(150);
                }
                this->run({ "a" }, std::chrono::milliseconds(50));
            }
            return isOver();
        }

        // longestAbsenceUnderLoad() is the longest time for which fewer than `count` tasks of the long-running job run.
        Duration longestAbsenceUnderLoad(std::size_t count, Duration time)
        {
            Duration longest(0);
            Instant completeAt = this->now;
            (void)this->runUnderLoad(time, [&] {
                if (this->runningOf(longRunningJob).size() == count)
                    completeAt = this->now;
                longest = std::max(longest, this->now - completeAt);
                return false;
            });
            return longest;
        }

        std::size_t stopsOf(const std::string& job) const
        {
            return static_cast<std::size_t>(std::count_if(this->log.begin(), this->log.end(), [&](const LogDecision& line) { return line.event == DecisionEvent::TaskStopped && line.subject.starts_with(job); }));
        }

        std::size_t runsOf(const std::string& job) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.start.call.run.task.job.value() == job; }));
        }

        std::uint64_t lastShortJob { 1000000000000000 };
        Instant nextJobAt;
    };

} // namespace

TEST_CASE_METHOD(LongRunningAbsenceFixture, "LongRunningTask_roomIsFreedInPartsAmongShortTasks_isStartedInBoundedTime")
{
    (void)this->runUnderLoad(std::chrono::seconds(2));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 12) }) == ReplyStatus::Accepted);
    CHECK(this->runUnderLoad(acceptedAbsence, [this] { return this->runningOf(longRunningJob).size() == 1; }));
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "LongRunningTasks_evictedForShortOnes_areAbsentForBoundedTime")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(3, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(longRunningJob).size() == 3);
    (void)this->runUnderLoad(std::chrono::seconds(8));
    std::map<TaskId, Instant> lastSeen;
    for (std::uint32_t index = 0; index < 3; ++index)
        lastSeen[{ JobId(longRunningJob), 0, 0, index }] = this->now;
    Duration longest(0);
    (void)this->runUnderLoad(std::chrono::seconds(30), [&] {
        for (const TaskRunId& run : this->runningOf(longRunningJob))
            lastSeen[run.task] = this->now;
        for (const auto& [task, seenAt] : lastSeen)
            longest = std::max(longest, this->now - seenAt);
        return false;
    });
    CHECK(longest <= acceptedAbsence);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "LongRunningTask_evictedForShortOnes_runsForAWhileBeforeItIsEvictedAgain")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 16) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    (void)this->runUnderLoad(std::chrono::seconds(36));
    CHECK(this->runsOf(longRunningJob) >= 3);
    CHECK(this->stopsOf(longRunningJob) <= 6);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "Relocation_shortTasksWaitForRoom_taskGetsTheRoomForWhichItWasStopped")
{
    this->dispatcherOptions.relocationGrace = std::chrono::seconds(60);
    this->dispatcherOptions.maxEvictionSearchesPerPass = 0;
    this->restartHost("a");
    this->run({ "a" }, std::chrono::seconds(15));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(longRunningJob).size() == 4);
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    this->chooseStopDelay = [](const TaskRunId&) { return std::chrono::milliseconds(300); };
    this->workers.at(WorkerId("w1")).drain(this->now);
    CHECK(this->longestAbsenceUnderLoad(4, std::chrono::seconds(4)) <= std::chrono::seconds(1));
    const auto moved = static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [](const BegunRun& run) { return run.start.call.run.task.job.value() == longRunningJob && run.start.call.to.worker == WorkerId("w2"); }));
    CHECK(moved >= 2);
    CHECK(this->stopsOf(longRunningJob) == moved);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "LongRunningTask_waitsForRoom_logSaysWhy")
{
    (void)this->runUnderLoad(std::chrono::seconds(2));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 32) }) == ReplyStatus::Accepted);
    (void)this->runUnderLoad(std::chrono::seconds(4));
    const auto line = std::find_if(this->log.begin(), this->log.end(), [](const LogDecision& decision) { return decision.event == DecisionEvent::TaskWaiting && decision.subject.starts_with(longRunningJob); });
    REQUIRE(line != this->log.end());
    CHECK(line->outcome == placementOutcomeNames.nameOf(PlacementOutcome::NoRoom));
    CHECK(line->ageMilliseconds >= 2000);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_queueMovesToOtherService_taskIsNotStartedOnItsWorker")
{
    (void)this->runUnderLoad(std::chrono::seconds(2));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 12) }) == ReplyStatus::Accepted);
    REQUIRE_FALSE(this->runUnderLoad(std::chrono::milliseconds(3200), [this] { return this->runningOf(longRunningJob).size() == 1; }));
    this->configuration.version = 2;
    this->configuration.queues[0].service = ServiceName("other");
    this->send("a", ConfigurationFollowed { this->configuration });
    const std::size_t startsBefore = this->starts.size();
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->starts.size() == startsBefore);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_memberOfGangIsMoved_membersStartTogether")
{
    this->dispatcherOptions.relocationGrace = std::chrono::seconds(60);
    this->restartHost("a");
    this->run({ "a" }, std::chrono::seconds(15));
    StepDefinition step = longRunningTasks(2, 10);
    step.isGang = true;
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    REQUIRE(this->submit("a", longRunningJob, { step }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->runningOf(longRunningJob).size() == 2);
    this->addWorker("w3", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    this->chooseStopDelay = [](const TaskRunId& run) { return std::chrono::milliseconds(run.task.index == 0 ? 50 : 350); };
    const std::size_t startsBefore = this->starts.size();
    this->workers.at(WorkerId("w1")).drain(this->now);
    this->run({ "a" }, std::chrono::seconds(10));
    CHECK(this->starts.size() == startsBefore + 2);
    CHECK(this->runningOf(longRunningJob).size() == 2);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_workerDrains_otherRoomIsClaimed")
{
    const std::string drained = GENERATE("w1", "w2");
    this->taskDuration = std::chrono::milliseconds(1500);
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    (void)this->runUnderLoad(std::chrono::seconds(4));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 16) }) == ReplyStatus::Accepted);
    const Instant submittedAt = this->now;
    const auto isRunning = [this] { return this->runningOf(longRunningJob).size() == 1; };
    (void)this->runUnderLoad(std::chrono::milliseconds(3200), isRunning);
    this->workers.at(WorkerId(drained)).drain(this->now);
    CHECK(this->runUnderLoad(std::chrono::seconds(20), isRunning));
    CHECK(this->now <= submittedAt + acceptedAbsence);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_workersLeaveOneAfterTheOther_otherRoomIsClaimedAtOnce")
{
    const bool isCrash = GENERATE(false, true);
    this->taskDuration = std::chrono::milliseconds(1500);
    this->addWorker("w2", 16).list(this->now);
    this->addWorker("w3", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    const auto isRunning = [this] { return this->runningOf(longRunningJob).size() == 1; };
    const auto runUnderHighLoad = [&](Duration time) {
        return this->runUnderLoad(time, [&] {
            (void)this->submit("a", std::to_string(++this->lastShortJob), { stepOfTasks(1, 4) });
            return isRunning();
        });
    };
    (void)runUnderHighLoad(std::chrono::seconds(4));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 16) }) == ReplyStatus::Accepted);
    const Instant submittedAt = this->now;
    for (const auto& [leaving, time] : { std::pair("w1", std::chrono::milliseconds(3200)), std::pair("w2", std::chrono::milliseconds(2000)) }) {
        if (runUnderHighLoad(time))
            break;
        if (isCrash) {
            this->crashWorker(WorkerId(leaving));
            this->workers.at(WorkerId(leaving)).unlist(this->now);
        } else
            this->workers.at(WorkerId(leaving)).drain(this->now);
    }
    CHECK(runUnderHighLoad(std::chrono::seconds(20)));
    CHECK(this->now <= submittedAt + acceptedAbsence);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_shortRunGoesOn_freeRoomIsLeftToOthers")
{
    this->taskDuration = std::chrono::seconds(120);
    REQUIRE(this->submit("a", "00000000000000b1", { stepOfTasks(1, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    this->taskDuration = std::chrono::milliseconds(700);
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 12) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(4));
    for (int number = 0; number < 20; ++number) {
        const std::string id = std::to_string(3000000000000000 + number);
        REQUIRE(this->submit("a", id, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
        this->run({ "a" }, std::chrono::milliseconds(1500));
        CHECK(this->phaseOf(id) == JobPhase::Completed);
    }
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "RoomClaim_shortRunGoesOn_otherWorkerIsCleared")
{
    this->taskDuration = std::chrono::seconds(120);
    REQUIRE(this->submit("a", "00000000000000b1", { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    this->taskDuration = std::chrono::milliseconds(700);
    this->addWorker("w2", 16).list(this->now);
    (void)this->runUnderLoad(std::chrono::seconds(4));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 16) }) == ReplyStatus::Accepted);
    CHECK(this->runUnderLoad(acceptedAbsence, [this] { return this->runningOf(longRunningJob).size() == 1; }));
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "ShortTask_longRunningTaskWasMoved_isStartedInItsPlace")
{
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 16) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(9));
    REQUIRE(this->runningOf(longRunningJob).size() == 1);
    this->workers.at(this->begunRuns.back().start.call.to.worker).drain(this->now);
    this->run({ "a" }, std::chrono::seconds(2));
    REQUIRE(this->runningOf(longRunningJob).size() == 1);
    const std::string shortJob = "00000000000000c1";
    REQUIRE(this->submit("a", shortJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->phaseOf(shortJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "ShortTasks_longRunningTasksTakeTurns_areServed")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(GENERATE(4U, 5U, 6U), 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(40));
    std::vector<std::string> ids;
    for (int number = 0; number < 20; ++number) {
        ids.push_back(std::to_string(3000000000000000 + number));
        REQUIRE(this->submit("a", ids.back(), { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
        this->run({ "a" }, std::chrono::seconds(2));
    }
    this->run({ "a" }, std::chrono::seconds(10));
    CHECK(std::all_of(ids.begin(), ids.end(), [this](const std::string& id) { return this->phaseOf(id) == JobPhase::Completed; }));
}

TEST_CASE_METHOD(LongRunningAbsenceFixture, "OverdueTask_jobHasShortTasksToo_theseKeepTheirRank")
{
    REQUIRE(this->submit("a", longRunningJob, { longRunningTasks(1, 64), stepOfTasks(200, 16) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(5));
    const std::string shortJob = "00000000000000c1";
    REQUIRE(this->submit("a", shortJob, { stepOfTasks(1, 16) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(6));
    CHECK(this->phaseOf(shortJob) == JobPhase::Completed);
}

} // namespace dragonflytray
