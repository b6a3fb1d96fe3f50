// A correction of callers' estimates must rest on enough runs, ignore the few that take far longer, follow changes, and neither grow
// without bound nor turn a task of another size into a usual one.

#include "run_times/run_times.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // RunTimesFixture has a kind of tasks of which 3 of 100 take seven times as long as the others.
    struct RunTimesFixture {
        Instant now { std::chrono::hours(1) };
        RunTimes runTimes { { .maxKeys = 4 } };
        RunTimeKey key { "urgent", 0, "render" };

        void record(const RunTimeKey& kind, int count, Duration duration)
        {
            for (int i = 0; i < count; ++i) {
                this->now += std::chrono::milliseconds(10);
                this->runTimes.record(kind, i % 100 < 3 ? 7 * duration : duration, this->now);
            }
        }

        // expectedMilliseconds() allows for the width of the buckets.
        Approx expectedMilliseconds(int milliseconds) const { return Approx(milliseconds).epsilon(0.1); }
        double expected(int estimateMilliseconds) const { return 1000 * toSeconds(this->runTimes.expected(this->key, std::chrono::milliseconds(estimateMilliseconds))); }
    };

} // namespace

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_fewObservations_estimatePrevails")
{
    this->record(this->key, 15, std::chrono::seconds(2));
    CHECK(this->expected(1000) == 1000);
    CHECK_FALSE(this->runTimes.quantile(this->key, 0.5));
    CHECK(this->expected(0) == 0);
}

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_estimateIsOutsideUsualRunTimes_isCorrectedByFactorTwoAtMost")
{
    this->record(this->key, 200, std::chrono::seconds(2));
    CHECK(this->expected(1200) == this->expectedMilliseconds(2000));
    CHECK(this->expected(3500) == this->expectedMilliseconds(2000));
    CHECK(this->expected(500) == this->expectedMilliseconds(1000));
    CHECK(this->expected(60000) == this->expectedMilliseconds(30000));
    CHECK(this->expected(0) == this->expectedMilliseconds(2000));
}

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_runTimesDiffer_estimateAmongThemIsKept")
{
    this->record(this->key, 100, std::chrono::seconds(1));
    this->record(this->key, 100, std::chrono::seconds(10));
    CHECK(this->expected(1300) == 1300);
    CHECK(this->expected(5000) == 5000);
    CHECK(this->expected(9000) == 9000);
}

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_kindOfTaskBecomesSlower_isFollowed")
{
    this->record(this->key, 2000, std::chrono::seconds(1));
    this->record(this->key, 1500, std::chrono::seconds(2));
    CHECK(this->expected(1000) == this->expectedMilliseconds(2000));
}

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_manyKeys_replaceTheLeastRecentOne")
{
    this->record(this->key, 20, std::chrono::seconds(1));
    for (std::uint32_t step = 1; step <= 9; ++step) {
        this->record({ "urgent", step, "render" }, 20, std::chrono::seconds(1));
        this->record(this->key, 1, std::chrono::seconds(1));
    }
    CHECK(this->runTimes.size() == 4);
    CHECK(this->runTimes.quantile(this->key, 0.5));
    CHECK_FALSE(this->runTimes.quantile({ "urgent", 1, "render" }, 0.5));
}

TEST_CASE_METHOD(RunTimesFixture, "RunTimes_extremeDurations_areHeldInOutermostBuckets")
{
    this->record(this->key, 20, Duration(0));
    CHECK(1000 * toSeconds(*this->runTimes.quantile(this->key, 0)) < 2);
    this->record(this->key, 2000, std::chrono::hours(24 * 365));
    CHECK(*this->runTimes.quantile(this->key, 1) > std::chrono::hours(24));
}

} // namespace dragonflytray
