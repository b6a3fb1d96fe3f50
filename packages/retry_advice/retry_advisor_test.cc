// Callers that are refused must not return in one burst, before the store answers, or later than they can use.

#include "retry_advice/retry_advice.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    struct RetryAdvisorFixture {
        Instant now { std::chrono::hours(1) };
        RetryAdvisor advisor { { .longestRetryAfter = seconds(8), .slot = milliseconds(500), .returnsPerSecond = 20, .maxOutages = 3 } };

        Duration advise(int urgency = mostUrgent, AdviceReason reason = AdviceReason::StoreUnavailable) { return this->advisor.advise(reason, urgency, this->now); }

        void passOutage(Duration time)
        {
            this->advisor.storeLost(this->now);
            this->now += time;
            this->advisor.storeRegained(this->now);
            this->now += std::chrono::minutes(1);
        }
    };

} // namespace

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_firstOutage_givesOneSecondAndMoreAsItAges", "[retry_advice]")
{
    this->advisor.storeLost(this->now);
    CHECK(this->advise() == seconds(1));
    this->now += milliseconds(3500);
    CHECK(this->advise() == seconds(4));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_earlierOutagesAreKnown_givesTheTimeThatIsLeft", "[retry_advice]")
{
    for (const Duration outage : { seconds(3), seconds(5), seconds(4) })
        this->passOutage(outage);
    this->advisor.storeLost(this->now);
    CHECK(this->advise() == seconds(4));
    this->now += milliseconds(2500);
    CHECK(this->advise() == seconds(2)); // 1.5 s, rounded up
    this->now += milliseconds(1600); // longer than two of them
    CHECK(this->advise() == seconds(1));
    this->now += milliseconds(1900); // longer than all of them, by a second: another quarter of the age is expected
    CHECK(this->advise() == seconds(2));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_manyOutages_onlyTheLastAreRemembered", "[retry_advice]")
{
    this->passOutage(seconds(7));
    for (int outage = 0; outage < 3; ++outage)
        this->passOutage(seconds(3));
    this->advisor.storeLost(this->now);
    CHECK(this->advisor.expectedEnd(this->now) == this->now + seconds(3));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_manyCallers_noSlotGetsMoreThanTheHostServes", "[retry_advice]")
{
    this->advisor.storeLost(this->now);
    std::map<Duration, int> callers;
    for (int caller = 0; caller < 70; ++caller)
        ++callers[this->advise()];
    CHECK(callers.size() == 7);
    CHECK(std::all_of(callers.begin(), callers.end(), [](const auto& entry) { return entry.second == 10; }));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_allSlotsAreFull_staysWithinTheLimitAndSpreadsEvenly", "[retry_advice]")
{
    this->passOutage(seconds(3));
    this->advisor.storeLost(this->now);
    std::map<Duration, int> callers;
    for (int caller = 0; caller < 600; ++caller)
        ++callers[this->advise(caller % 4)];
    CHECK(callers.begin()->first == seconds(3));
    CHECK(callers.rbegin()->first == seconds(8));
    CHECK(std::all_of(callers.begin(), callers.end(), [](const auto& entry) { return entry.second == 100; }));
    CHECK(this->advisor.longestAdvice() == seconds(8));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_outageLongerThanTheLimit_givesTheLimit", "[retry_advice]")
{
    this->passOutage(seconds(60));
    this->advisor.storeLost(this->now);
    CHECK(this->advise() == seconds(8));
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_lessUrgentCallersCameFirst_urgentOnesStillReturnFirst", "[retry_advice]")
{
    this->advisor.storeLost(this->now);
    for (int caller = 0; caller < 12; ++caller)
        (void)this->advise(leastUrgent);
    CHECK(this->advise(leastUrgent) > seconds(1));
    CHECK(this->advise(mostUrgent) == seconds(1));
    CHECK(this->advise(1000) >= this->advise(mostUrgent)); // priorities have no upper bound
}

TEST_CASE_METHOD(RetryAdvisorFixture, "RetryAdvisor_otherReasons_waitForTheStoreOnlyIfItIsLost", "[retry_advice]")
{
    this->passOutage(seconds(4));
    CHECK(this->advise(mostUrgent, AdviceReason::TooManyCalls) == seconds(1));
    CHECK(this->advise(mostUrgent, AdviceReason::NotReady) == seconds(1));
    CHECK(this->advise(mostUrgent, AdviceReason::LimitReached) == seconds(8));
    this->advisor.storeLost(this->now);
    CHECK(this->advise(mostUrgent, AdviceReason::TooManyCalls) == seconds(4));
    CHECK(this->advisor.told()[AdviceReason::TooManyCalls] == 2);
    CHECK(this->advisor.told()[AdviceReason::StoreUnavailable] == 0);
}

} // namespace dragonflytray
