#include "admission/forecast.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace dragonflytray {

namespace {

    // Times at which the entries of a priority begin; one entry holds the least time of its work. Objectives are seconds to minutes.
    constexpr std::array<std::int64_t, 9> entryBounds { 500, 1000, 2000, 4000, 8000, 16000, 32000, 64000, 128000 };

    // entryOf() is the number of the entry for work that precedes others for `milliseconds`; 0: it is left out.
    std::ptrdiff_t entryOf(std::int64_t milliseconds)
    {
        return std::distance(entryBounds.begin(), std::upper_bound(entryBounds.begin(), entryBounds.end(), milliseconds));
    }

} // namespace

void Forecast::addCapacity(const ServiceName& service, std::int64_t millicores, double share)
{
    this->services[service].millicores += static_cast<std::int64_t>(static_cast<double>(millicores) * share);
}

void Forecast::addWork(const ServiceName& service, const WaitingTasks& tasks)
{
    constexpr double millicoresPerCore = 1000;
    constexpr double maxCoreMilliseconds = 1e15; // less than the greatest number that a stored row may hold
    const std::int64_t time = toMilliseconds(tasks.untilObjective);
    const std::ptrdiff_t entry = entryOf(time);
    if (entry == 0 || tasks.count == 0)
        return;
    const std::int64_t runTime = toMilliseconds(tasks.expectedRunTime);
    ServiceForecast& forecast = this->services[service];
    const auto keyOf = [](const PrecedingWork& work) { return std::pair(work.priority, entryOf(work.precedesMilliseconds)); };
    const std::pair key(tasks.priority, entry);
    const auto place = std::lower_bound(forecast.preceding.begin(), forecast.preceding.end(), key, [&](const PrecedingWork& work, const auto& other) { return keyOf(work) < other; });
    const bool isThere = place != forecast.preceding.end() && keyOf(*place) == key;
    PrecedingWork& work = isThere ? *place : *forecast.preceding.insert(place, { .priority = tasks.priority, .precedesMilliseconds = time });
    work.precedesMilliseconds = std::min(work.precedesMilliseconds, time);
    const double added = static_cast<double>(tasks.count) * static_cast<double>(tasks.millicores) / millicoresPerCore * static_cast<double>(runTime);
    work.coreMilliseconds = static_cast<std::int64_t>(std::min(static_cast<double>(work.coreMilliseconds) + added, maxCoreMilliseconds));
    work.maxMillicores = std::max(work.maxMillicores, tasks.millicores);
    work.maxMegabytes = std::max(work.maxMegabytes, tasks.megabytes);
    forecast.longestTaskMilliseconds = std::max(forecast.longestTaskMilliseconds, runTime);
}

} // namespace dragonflytray
