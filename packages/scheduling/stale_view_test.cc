// A leader whose change feed or list of workers is late must not go on starting tasks that it would not start if it knew the
// present state.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>
#include <limits>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration cancellationLimit = std::chrono::seconds(3); // from the answer to a cancellation to the last start, as callers are promised
    constexpr Duration drainLimit = std::chrono::seconds(3); // from the entry of a draining worker to the last start on it
    constexpr Duration lag = std::chrono::seconds(5);
    constexpr Duration tickInterval = std::chrono::milliseconds(20);

    // StaleViewFixture has one worker and jobs whose tasks become due all the time. Host "a" is the first leader.
    struct StaleViewFixture : SchedulerFixture {
        std::map<std::string, Instant> cancelledAt; // by id of the job, when the cancellation was answered

        StaleViewFixture()
        {
            this->addWorker("w1", 16);
            this->taskDuration = std::chrono::milliseconds(300);
            this->run({ "a" }, takeoverTime);
        }

        // submitManyTasks() submits a job of which four tasks run at once and the others wait for room.
        void submitManyTasks(const std::string& host, const std::string& id)
        {
            StepDefinition second = stepOfTasks(400, 4);
            second.after = { 0 };
            REQUIRE(this->submit(host, id, { stepOfTasks(8, 4), second }) == ReplyStatus::Accepted);
        }

        bool cancel(const std::string& host, const std::string& id)
        {
            this->replies.clear();
            this->send(host, RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + id });
            const bool isCancelled = !this->replies.empty() && this->replies.back().status == ReplyStatus::Cancelled;
            if (isCancelled)
                this->cancelledAt.emplace(id, this->now);
            return isCancelled;
        }

        void setStoreContact(const std::string& host, bool isConnected)
        {
            this->isDisconnectedFromStore[host] = !isConnected;
            this->send(host, StoreContact { isConnected });
        }

        std::size_t countBegun(Instant begin, Instant end) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.at >= begin && run.at < end; }));
        }

        // lastBegunAfter() returns the milliseconds from `time` to the last start that `isCounted`; 0 if there was none since.
        template <typename Predicate>
        std::int64_t lastBegunAfter(Instant time, Predicate isCounted) const
        {
            Instant last = time;
            for (const BegunRun& run : this->begunRuns) {
                if (isCounted(run))
                    last = std::max(last, run.at);
            }
            return toMilliseconds(last - time);
        }

        // lastStartOf() returns the milliseconds from the answer to a job's cancellation to the last start of a task of it.
        std::int64_t lastStartOf(const std::string& id) const
        {
            return this->lastBegunAfter(this->cancelledAt.at(id), [&](const BegunRun& run) { return run.start.call.run.task.job.value() == id; });
        }
    };

} // namespace

// Nobody can cancel a job or drain a worker while the store is unavailable to all hosts.
TEST_CASE_METHOD(StaleViewFixture, "Scheduler_storeUnavailableToAllHosts_goesOnStartingTasks")
{
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->setStoreContact("a", false);
    this->setStoreContact("b", false);
    for (int second = 0; second < 4; ++second) {
        CAPTURE(second);
        const Instant begin = this->now;
        this->run({ "a", "b" }, std::chrono::seconds(1));
        CHECK(this->countBegun(begin, this->now) >= 4);
    }
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_feedLagEnds_startsTasksAgainWithinOneSecond")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    this->run({ "a", "b" }, 2 * lag);
    this->feedLag["a"] = Duration(0);
    const Instant end = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->countBegun(end, this->now) >= 4);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_listLagEnds_startsTasksAgainWithinOneSecond")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->listLag["a"] = lag;
    this->run({ "a", "b" }, 2 * lag);
    this->listLag["a"] = Duration(0);
    const Instant end = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->countBegun(end, this->now) >= 4);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_cancellationBehindLaggingFeed_startsNoTaskAfterLimit")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

// The leader starts long-running tasks again after each end, so their end must not be taken for a reason to do so.
TEST_CASE_METHOD(StaleViewFixture, "Scheduler_longRunningTaskEndsBehindLaggingFeed_isNotStartedAfterLimit")
{
    StepDefinition longRunning = stepOfTasks(4, 4);
    longRunning.isLongRunning = true;
    REQUIRE(this->submit("a", job, { longRunning }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);
    this->feedLag["a"] = lag;
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, cancellationLimit + tickInterval);
    this->workers.at(WorkerId("w1")).restart(this->now);
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_drainingBehindLaggingList_startsNoTaskAfterLimit")
{
    this->addWorker("w2", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->listLag["a"] = lag;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    const WorkerId draining("w1");
    this->workers.at(draining).drain(this->now);
    const Instant drainedAt = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastBegunAfter(drainedAt, [&](const BegunRun& run) { return run.start.call.to.worker == draining; }) <= toMilliseconds(drainLimit));
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_startCarriedOutLateAfterCancellation_doesNotRun")
{
    this->startsToDelay = 1;
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::milliseconds(100));
    REQUIRE(this->starts.size() == 1);
    this->stopsToLose = 3; // a stop that arrives first would prevent the start
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, std::chrono::seconds(6));
    CHECK(this->begunRuns.empty());
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_startsCarriedOutLateBehindLaggingFeed_startNoTaskAfterLimit")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    REQUIRE(this->cancel("b", job));
    this->startsToDelay = std::numeric_limits<int>::max();
    this->stopsToLose = std::numeric_limits<int>::max(); // a stop that arrives first would prevent the start
    this->run({ "a", "b" }, std::chrono::seconds(8));
    this->startsToDelay = 0;
    this->stopsToLose = 0;
    this->run({ "a", "b" }, std::chrono::seconds(4));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->runningOf(job).empty());
}

} // namespace dragonflytray
