#include "admission/admission_control.h"

#include <algorithm>
#include <cstdlib>

namespace dragonflytray {

namespace {

    // timeOf() is the time that the capacity takes for work.
    Duration timeOf(double coreMilliseconds, std::int64_t millicores)
    {
        constexpr double millicoresPerCore = 1000;
        constexpr double longest = 1e10; // ms; sums of it fit into a Duration, and no objective is as long
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(std::min(coreMilliseconds * millicoresPerCore / static_cast<double>(millicores), longest)));
    }

} // namespace

Duration AdmissionControl::earliestStart(const JobDemand& demand, const ServiceForecast& service, Duration age) const
{
    std::map<Duration, double> endings; // work in core milliseconds, by the time from now from which it no longer precedes
    double ahead = 0;
    for (const PrecedingWork& work : service.preceding) {
        const Duration precedes = std::chrono::milliseconds(work.precedesMilliseconds) - age;
        const bool mayBePassed = work.maxMillicores > demand.minMillicores || work.maxMegabytes > demand.minMegabytes;
        if (work.priority >= demand.priority || mayBePassed || precedes <= Duration(0))
            continue;
        const double least = this->options.minRunTimeShare * static_cast<double>(work.coreMilliseconds);
        endings[precedes] += least;
        ahead += least;
    }
    // The last tasks of the preceding work need only have begun, and workers have gone on since the forecast.
    const Duration begun = age + std::chrono::milliseconds(service.longestTaskMilliseconds);
    Duration start(0);
    for (const auto& [time, work] : endings) {
        const Duration worked = std::max(start, timeOf(ahead, service.millicores) - begun);
        if (worked < time)
            return worked;
        start = time;
        ahead -= work;
    }
    return start;
}

AdmissionDecision AdmissionControl::decide(const JobDemand& demand, const ForecastView& view, std::int64_t wallTime, Instant now) const
{
    if (!view.forecast)
        return { .outcome = AdmissionOutcome::NoForecast };
    const Forecast& forecast = *view.forecast;
    if (forecast.epoch < view.highestEpoch)
        return { .outcome = AdmissionOutcome::FormerEpoch };
    const Duration age = std::max<Duration>(now - view.receivedAt, std::chrono::milliseconds(std::abs(wallTime - forecast.composedAt)));
    if (age > this->options.maxForecastAge)
        return { .outcome = AdmissionOutcome::OldForecast };
    const auto service = forecast.services.find(demand.service);
    if (service == forecast.services.end() || service->second.millicores <= 0)
        return { .outcome = AdmissionOutcome::NoCapacity };
    const Duration alone = std::max(demand.criticalPath, timeOf(demand.coreMilliseconds, service->second.millicores));
    const auto ownTime = std::chrono::duration_cast<Duration>(this->options.minRunTimeShare * alone);
    AdmissionDecision decision { .earliestEnd = this->earliestStart(demand, service->second, age) + ownTime };
    if (decision.earliestEnd <= demand.lateLimit)
        return decision;
    decision.outcome = AdmissionOutcome::Hopeless;
    const Duration excess = ownTime > demand.lateLimit ? demand.lateLimit : decision.earliestEnd - demand.lateLimit;
    decision.retryAfter = std::max(std::chrono::ceil<std::chrono::seconds>(excess), std::chrono::seconds(1));
    return decision;
}

} // namespace dragonflytray
