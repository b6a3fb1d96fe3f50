// A leader whose link is slower than its decisions: starts that wait behind each other expire, take the link for nothing, and are
// decided again.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";

    // SlowLinkFixture has host "a" as the leader, workers with room for every task, and a link that takes 200 starts a second.
    struct SlowLinkFixture : SchedulerFixture {
        SlowLinkFixture()
        {
            for (int number = 0; number < 20; ++number)
                this->addWorker("w" + std::to_string(number), 64);
            this->run({ "a" }, std::chrono::seconds(3));
            this->startTransmission = std::chrono::milliseconds(5);
        }

        std::uint64_t lastShortJob { 1000000000000000 };

        std::size_t lostStarts() const
        {
            return static_cast<std::size_t>(std::count_if(this->log.begin(), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::TaskLost; }));
        }
    };

} // namespace

TEST_CASE_METHOD(SlowLinkFixture, "Leader_moreStartsThanLinkTakes_noneExpires", "[start-window]")
{
    REQUIRE(this->submit("a", job, { stepOfTasks(400, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(6));
    CHECK(this->lostStarts() == 0);
    CHECK(this->starts.size() == 400);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(SlowLinkFixture, "Leader_answersTakeThirdOfValidity_startsUseTheLink", "[start-window]")
{
    this->startPropagation = std::chrono::milliseconds(150);
    REQUIRE(this->submit("a", job, { stepOfTasks(1000, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(7)); // the link takes them in 5 s
    CHECK(this->lostStarts() == 0);
    CHECK(this->starts.size() == 1000);
}

TEST_CASE_METHOD(SchedulerFixture, "Leader_smallHostOfLargeFleet_makesFewerPasses", "[start-window]")
{
    this->dispatcherOptions.processorShare = 0.001; // 20 workers at 1 us each: a pass takes 20 ms of it, of which a quarter is for passes
    for (int number = 0; number < 20; ++number)
        this->addWorker("w" + std::to_string(number), 64);
    this->run({ "a" }, std::chrono::seconds(3));
    std::size_t bursts = 0;
    for (int step = 0; step < 50; ++step) {
        const std::size_t before = this->starts.size();
        REQUIRE(this->submit("a", std::to_string(1000000000000000 + step), { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
        this->run({ "a" }, std::chrono::milliseconds(20));
        bursts += this->starts.size() > before ? 1 : 0;
    }
    CHECK(this->starts.size() >= 40);
    CHECK(bursts <= 13); // one in 80 ms
}

TEST_CASE_METHOD(SlowLinkFixture, "Leader_moreShortTasksThanLinkTakes_absentLongRunningTaskIsStartedInTime", "[start-window]")
{
    const std::string lasting = "00000000000000c1";
    StepDefinition step = stepOfTasks(1, 1);
    step.isLongRunning = true;
    const auto runWithShortJobs = [&](Duration time) {
        for (const Instant end = this->now + time; this->now < end;) {
            REQUIRE(this->submit("a", std::to_string(++this->lastShortJob), { stepOfTasks(100, 1) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(200));
        }
    };
    runWithShortJobs(std::chrono::seconds(3));
    REQUIRE(this->submit("a", lasting, { step }) == ReplyStatus::Accepted);
    runWithShortJobs(std::chrono::seconds(5));
    CHECK(this->runningOf(lasting).size() == 1);
}

TEST_CASE_METHOD(SlowLinkFixture, "Leader_urgentJobBehindLargeOne_isStartedBeforeItsRest", "[start-window]")
{
    const std::string urgent = "00000000000000b1";
    REQUIRE(this->submit("a", job, { stepOfTasks(600, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(2200)); // the objective of the large job has passed
    REQUIRE(this->submit("a", urgent, { stepOfTasks(4, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(1000));
    CHECK(this->runningOf(urgent).size() == 4);
}

} // namespace dragonflytray
