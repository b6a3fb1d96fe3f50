// After an outage, the store must not spend its first writes on callers that wait less urgently, or no longer.

#include "retry_advice/retry_advice.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;

    struct HeldSubmissionsFixture {
        Instant now { std::chrono::hours(1) };
        HeldSubmissions held { { .shortestTry = milliseconds(100) } };

        void hold(const char* job, int urgency, int timeLeft, int pause = 0)
        {
            this->held.hold({ .job = JobId(job), .urgency = urgency, .answerBy = this->now + milliseconds(timeLeft), .notBefore = this->now + milliseconds(pause) });
        }

        std::string take(std::size_t limit) { return join(this->held.takeDue(this->now, limit)); }
        std::string takeHopeless(int wait) { return join(this->held.takeHopeless(this->now + milliseconds(wait))); }

        static std::string join(const std::vector<JobId>& jobs)
        {
            std::string names;
            for (const JobId& job : jobs)
                names += job.value();
            return names;
        }
    };

} // namespace

TEST_CASE_METHOD(HeldSubmissionsFixture, "HeldSubmissions_storeAnswers_urgentThenSoonestDeadlineComeFirst", "[retry_advice]")
{
    this->hold("a", 1, 300);
    this->hold("b", 0, 900);
    this->hold("c", 1, 200);
    this->hold("d", 0, 800);
    CHECK(this->take(3) == "dbc");
    CHECK(this->take(3) == "a");
    CHECK(this->held.size() == 0);
}

TEST_CASE_METHOD(HeldSubmissionsFixture, "HeldSubmissions_pauseIsNotOver_othersAreTried", "[retry_advice]")
{
    this->hold("a", 0, 900, 100);
    this->hold("b", 2, 900);
    CHECK(this->take(5) == "b");
    this->now += milliseconds(100);
    CHECK(this->take(5) == "a");
}

TEST_CASE_METHOD(HeldSubmissionsFixture, "HeldSubmissions_tryWouldComeTooLate_isNotMade", "[retry_advice]")
{
    this->hold("a", 0, 99);
    this->hold("b", 0, 100);
    this->hold("c", 0, 2000);
    CHECK(this->takeHopeless(0) == "a");
    CHECK(this->takeHopeless(1500) == "b");
    CHECK(this->take(5) == "c");
}

TEST_CASE_METHOD(HeldSubmissionsFixture, "HeldSubmissions_jobIsHeldAgain_replacesTheFormerEntry", "[retry_advice]")
{
    this->hold("a", 0, 150);
    this->hold("a", 3, 900);
    this->hold("b", 1, 900);
    CHECK(this->takeHopeless(100).empty());
    CHECK(this->take(5) == "ba");
}

} // namespace dragonflytray
