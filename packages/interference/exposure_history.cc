#include "interference/exposure_history.h"

#include <algorithm>

namespace dragonflytray {

ExposureHistory::ExposureHistory(Options options)
    : options(options)
{
    require(options.horizon > Duration::zero(), "ExposureHistory: the horizon must be positive");
    require(options.limit > 0, "ExposureHistory: the limit must be positive");
}

void ExposureHistory::begin(const JobId& job, const BatchClassName& batchClass, double share, Instant now)
{
    this->end(job, now);
    this->open[job] = { .batchClass = batchClass, .share = share, .from = now, .to = now };
}

void ExposureHistory::end(const JobId& job, Instant now)
{
    auto found = this->open.find(job);
    if (found == this->open.end())
        return;
    found->second.to = now;
    this->closed.push_back(std::move(found->second));
    this->open.erase(found);
    this->prune(now);
}

void ExposureHistory::prune(Instant now)
{
    const Instant horizon = now - this->options.horizon;
    while (!this->closed.empty() && (this->closed.size() > this->options.limit || this->closed.front().to < horizon)) {
        this->knownFrom = std::max(this->knownFrom, this->closed.front().to);
        this->closed.pop_front();
    }
}

std::vector<Exposure> ExposureHistory::exposures(Instant from, Instant to) const
{
    std::map<BatchClassName, double> sums;
    const double window = toSeconds(to - from);
    auto add = [&](const Stay& stay, Instant stayEnd) {
        const Duration overlap = std::min(to, stayEnd) - std::max(from, stay.from);
        if (overlap > Duration::zero())
            sums[stay.batchClass] += stay.share * toSeconds(overlap) / window;
    };
    for (const Stay& stay : this->closed)
        add(stay, stay.to);
    for (const auto& [job, stay] : this->open)
        add(stay, to);
    std::vector<Exposure> result;
    result.reserve(sums.size());
    for (const auto& [batchClass, weight] : sums)
        result.push_back({ batchClass, weight });
    return result;
}

} // namespace dragonflytray
