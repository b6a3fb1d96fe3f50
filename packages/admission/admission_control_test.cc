// A job that could still succeed must not be refused, and one that is refused must learn when it would be accepted.

#include "admission/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceName service("desk");

    // AdmissionFixture has 10 cores, and a job of priority 1 that takes one second, or half of it in the best case.
    struct AdmissionFixture {
        Instant now { std::chrono::hours(1) };
        std::int64_t wallTime { 1780000000000 };
        Forecast forecast { .epoch = 4, .composedAt = wallTime };
        JobDemand demand { .service = service, .priority = 1, .criticalPath = seconds(1), .coreMilliseconds = 4000, .minMillicores = 1000, .minMegabytes = 500, .lateLimit = seconds(9) };
        AdmissionControl control { {} };

        AdmissionFixture() { this->forecast.addCapacity(service, 10000); }

        // addUrgentWork() adds more urgent work that takes all cores for `time` at least, in tasks of 100 ms.
        void addUrgentWork(Duration time, Duration untilObjective, int priority = 0)
        {
            constexpr Duration runTime = milliseconds(100);
            const auto count = static_cast<std::uint32_t>(20 * (time / runTime)); // of 1 core, and they may take half of the time
            this->forecast.addWork(service, { .priority = priority, .untilObjective = untilObjective, .count = count, .millicores = 1000, .megabytes = 500, .expectedRunTime = runTime });
        }

        AdmissionDecision decide(Duration forecastAge = Duration(0), Epoch highestEpoch = 4) const
        {
            const ForecastView view { .forecast = &this->forecast, .highestEpoch = highestEpoch, .receivedAt = this->now - forecastAge };
            return this->control.decide(this->demand, view, this->wallTime + toMilliseconds(forecastAge), this->now);
        }
    };

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "Admission_urgentWorkFillsCapacityBeyondLateLimit_isRefusedUntilItWouldSucceed")
{
    this->addUrgentWork(seconds(12), seconds(64));
    const AdmissionDecision decision = this->decide();
    CHECK(decision.outcome == AdmissionOutcome::Hopeless);
    CHECK(decision.earliestEnd == milliseconds(12000 - 100 + 500));
    CHECK(decision.retryAfter == seconds(4)); // 3.4 s
    this->demand.lateLimit += decision.retryAfter;
    CHECK(this->decide().outcome == AdmissionOutcome::InTime);
    this->demand.lateLimit -= seconds(1);
    CHECK(this->decide().outcome == AdmissionOutcome::Hopeless);
}

TEST_CASE_METHOD(AdmissionFixture, "Admission_workIsNotAheadForCertain_isAccepted")
{
    SECTION("its objective ends first") { this->addUrgentWork(seconds(60), seconds(8)); }
    SECTION("it has the same priority") { this->addUrgentWork(seconds(60), seconds(64), 1); }
    SECTION("it is less urgent") { this->addUrgentWork(seconds(60), seconds(64), 2); }
    SECTION("it ends in time") { this->addUrgentWork(seconds(8), seconds(64)); }
    SECTION("its tasks need more cores") { this->demand.minMillicores = 999, this->addUrgentWork(seconds(60), seconds(64)); }
    SECTION("its tasks need more memory") { this->demand.minMegabytes = 499, this->addUrgentWork(seconds(60), seconds(64)); }
    SECTION("it is of another service") { this->demand.service = ServiceName("other"), this->addUrgentWork(seconds(60), seconds(64)); }
    CHECK(this->decide().outcome != AdmissionOutcome::Hopeless);
}

TEST_CASE_METHOD(AdmissionFixture, "Admission_forecastIsNotThatOfPresentLeader_isAccepted")
{
    this->addUrgentWork(seconds(60), seconds(128));
    CHECK(this->decide(seconds(2)).outcome == AdmissionOutcome::Hopeless);
    CHECK(this->decide(milliseconds(2001)).outcome == AdmissionOutcome::OldForecast);
    CHECK(this->decide(Duration(0), 5).outcome == AdmissionOutcome::FormerEpoch);
    CHECK(this->control.decide(this->demand, {}, this->wallTime, this->now).outcome == AdmissionOutcome::NoForecast);
    this->wallTime += 2001; // it was on its way for long
    CHECK(this->decide().outcome == AdmissionOutcome::OldForecast);
    this->wallTime -= 5000; // or the clocks differ
    CHECK(this->decide().outcome == AdmissionOutcome::OldForecast);
}

TEST_CASE_METHOD(AdmissionFixture, "Admission_jobIsTooLargeForCapacity_isRefusedUnlessNoCapacityIsKnown")
{
    this->demand.coreMilliseconds = 10 * 19000;
    const AdmissionDecision decision = this->decide();
    CHECK(decision.outcome == AdmissionOutcome::Hopeless);
    CHECK(decision.retryAfter == this->demand.lateLimit);
    this->forecast.services.at(service).millicores = 0;
    CHECK(this->decide().outcome == AdmissionOutcome::NoCapacity);
}

TEST_CASE_METHOD(AdmissionFixture, "Forecast_manyJobs_isNoLargerThanPrioritiesAndTimes")
{
    for (int job = 0; job < 1000; ++job)
        this->forecast.addWork(service, { .priority = job % 2, .untilObjective = milliseconds(job * 300), .count = 1, .millicores = 1000, .expectedRunTime = seconds(1) });
    const std::vector<PrecedingWork>& preceding = this->forecast.services.at(service).preceding;
    CHECK(preceding.size() == 18);
    CHECK(std::is_sorted(preceding.begin(), preceding.end(), [](const PrecedingWork& left, const PrecedingWork& right) { return std::pair(left.priority, left.precedesMilliseconds) < std::pair(right.priority, right.precedesMilliseconds); }));
    CHECK(preceding.front().precedesMilliseconds == 600); // the least of its entry
}

} // namespace dragonflytray
