// A leader whose change feed or list of workers is late must not go on starting tasks that it would not start if it knew the
// present state.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration lag = std::chrono::seconds(5);

    // StaleViewFixture has one worker and jobs whose tasks become due all the time. Host "a" is the first leader.
    struct StaleViewFixture : SchedulerFixture {
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

        void setStoreContact(const std::string& host, bool isConnected)
        {
            this->isDisconnectedFromStore[host] = !isConnected;
            this->send(host, StoreContact { isConnected });
        }

        std::size_t countBegun(Instant begin, Instant end) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.at >= begin && run.at < end; }));
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

} // namespace dragonflytray
