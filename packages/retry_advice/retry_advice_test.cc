// Callers that are refused must not return in one burst, before the store answers, or later than they can use. After an outage, the
// store must not spend its first writes on callers that wait less urgently, or no longer.

#include "retry_advice/retry_advice.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    struct RetryAdviceFixture {
        Instant now { std::chrono::hours(1) };
        RetryAdvisor advisor { { .longestRetryAfter = seconds(8), .slot = milliseconds(500), .returnsPerSecond = 20, .maxOutages = 3 } };
        HeldSubmissions held { { .shortestTry = milliseconds(100) } };

        Duration advise(int urgency = mostUrgent, AdviceReason reason = AdviceReason::StoreUnavailable) { return this->advisor.advise(reason, urgency, this->now); }

        void passOutage(Duration time)
        {
            this->advisor.storeLost(this->now);
            this->now += time;
            this->advisor.storeRegained(this->now);
        }

        void hold(const char* job, int urgency, int timeLeft, int pause = 0)
        {
            this->held.hold({ .job = JobId(job), .urgency = urgency, .answerBy = this->now + milliseconds(timeLeft), .notBefore = this->now + milliseconds(pause) });
        }

        static std::vector<JobId> jobs(std::vector<const char*> names) { return { names.begin(), names.end() }; }
    };

} // namespace

TEST_CASE_METHOD(RetryAdviceFixture, "RetryAdvisor_firstOutage_givesOneSecondAndMoreAsItAges")
{
    this->advisor.storeLost(this->now);
    CHECK(this->advise() == seconds(1));
    this->now += milliseconds(3500);
    CHECK(this->advise() == seconds(4));
}

TEST_CASE_METHOD(RetryAdviceFixture, "RetryAdvisor_earlierOutagesAreKnown_givesTheTimeThatIsLeft")
{
    for (const int outage : { 60, 3, 5, 4 }) // the first is forgotten
        this->passOutage(seconds(outage));
    this->advisor.storeLost(this->now);
    CHECK(this->advise() == seconds(4));
    this->now += milliseconds(2500);
    CHECK(this->advise() == seconds(2)); // 1.5 s, rounded up
    this->now += milliseconds(1600); // longer than two of them
    CHECK(this->advise() == seconds(1));
    this->now += milliseconds(1900); // longer than all of them, by a second: another quarter of the age is expected
    CHECK(this->advise() == seconds(2));
}

TEST_CASE_METHOD(RetryAdviceFixture, "RetryAdvisor_manyCallers_areSpreadWithinTheLimit")
{
    this->passOutage(seconds(3));
    this->advisor.storeLost(this->now);
    std::map<Duration, int> callers; // by advice
    while (callers[seconds(6)] < 10)
        ++callers[this->advise()];
    CHECK(callers == std::map<Duration, int> { { seconds(3), 10 }, { seconds(4), 10 }, { seconds(5), 10 }, { seconds(6), 10 } });
    for (int caller = 0; caller < 560; ++caller) // more than all slots have room for
        ++callers[this->advise()];
    CHECK((callers.begin()->first == seconds(3) && callers.rbegin()->first == seconds(8)));
    CHECK(std::all_of(callers.begin(), callers.end(), [](const auto& entry) { return entry.second == 100; }));
}

TEST_CASE_METHOD(RetryAdviceFixture, "RetryAdvisor_lessUrgentCallersCameFirst_urgentOnesStillReturnFirst")
{
    this->advisor.storeLost(this->now);
    for (int caller = 0; caller < 12; ++caller)
        (void)this->advise(leastUrgent);
    CHECK(this->advise(1000) > seconds(1)); // priorities have no upper bound
    CHECK(this->advise(mostUrgent) == seconds(1));
}

TEST_CASE_METHOD(RetryAdviceFixture, "RetryAdvisor_otherReasons_waitForTheStoreOnlyIfItIsLost")
{
    this->passOutage(seconds(4));
    CHECK(this->advise(mostUrgent, AdviceReason::TooManyCalls) == seconds(1));
    CHECK(this->advise(mostUrgent, AdviceReason::LimitReached) == seconds(8));
    this->advisor.storeLost(this->now);
    CHECK(this->advise(mostUrgent, AdviceReason::TooManyCalls) == seconds(4));
    CHECK(this->advisor.told()[AdviceReason::TooManyCalls] == 2);
}

TEST_CASE_METHOD(RetryAdviceFixture, "HeldSubmissions_storeAnswers_urgentThenSoonestDeadlineComeFirst")
{
    this->hold("a", 1, 300);
    this->hold("b", 0, 900);
    this->hold("c", 1, 200);
    this->hold("d", 0, 800);
    this->hold("e", 0, 500, 100); // its pause is not over
    CHECK(this->held.takeDue(this->now, 3) == jobs({ "d", "b", "c" }));
    CHECK(this->held.takeDue(this->now + milliseconds(100), 3) == jobs({ "e", "a" }));
}

TEST_CASE_METHOD(RetryAdviceFixture, "HeldSubmissions_tryWouldComeTooLate_isNotMade")
{
    this->hold("a", 0, 99);
    this->hold("b", 0, 100);
    this->hold("c", 0, 50);
    this->hold("c", 0, 2000); // replaces the former entry
    CHECK(this->held.takeHopeless(this->now) == jobs({ "a" }));
    CHECK(this->held.takeHopeless(this->now + milliseconds(1500)) == jobs({ "b" }));
    CHECK(this->held.takeDue(this->now, 5) == jobs({ "c" }));
}

} // namespace dragonflytray
