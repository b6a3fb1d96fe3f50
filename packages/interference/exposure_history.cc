#include "interference/exposure_history.h"

#include <algorithm>

namespace dragonflytray {

ExposureHistory::ExposureHistory(Options options)
    : options(options)
{
    require(options.retention > Duration::zero(), "ExposureHistory: the retention must be positive");
    require(options.maxClosedIntervals > 0, "ExposureHistory: maxClosedIntervals must be positive");
}

void ExposureHistory::begin(const JobId& job, const BatchClassName& batchClass, double cpuShare, Instant now)
{
    this->end(job, now);
    this->openIntervals[job] = { .batchClass = batchClass, .cpuShare = cpuShare, .from = now, .to = now };
}

void ExposureHistory::end(const JobId& job, Instant now)
{
    auto found = this->openIntervals.find(job);
    if (found == this->openIntervals.end())
        return;
    found->second.to = now;
    this->closedIntervals.push_back(std::move(found->second));
    this->openIntervals.erase(found);
    this->prune(now);
}

void ExposureHistory::prune(Instant now)
{
    const Instant oldestEnd = now - this->options.retention;
    while (!this->closedIntervals.empty() && (this->closedIntervals.size() > this->options.maxClosedIntervals || this->closedIntervals.front().to < oldestEnd)) {
        this->completeSince = std::max(this->completeSince, this->closedIntervals.front().to);
        this->closedIntervals.pop_front();
    }
}

std::vector<Exposure> ExposureHistory::exposures(Instant from, Instant to) const
{
    std::map<BatchClassName, double> averageTasks;
    const double window = toSeconds(to - from);
    auto add = [&](const TaskInterval& interval, Instant intervalEnd) {
        const Duration overlap = std::min(to, intervalEnd) - std::max(from, interval.from);
        if (overlap > Duration::zero())
            averageTasks[interval.batchClass] += interval.cpuShare * toSeconds(overlap) / window;
    };
    for (const TaskInterval& interval : this->closedIntervals)
        add(interval, interval.to);
    for (const auto& [job, interval] : this->openIntervals)
        add(interval, to);
    std::vector<Exposure> result;
    result.reserve(averageTasks.size());
    for (const auto& [batchClass, average] : averageTasks)
        result.push_back({ batchClass, average });
    return result;
}

} // namespace dragonflytray
