#include "routing/attempt_timeout.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr int smoothingDivisor = 8; // each sample has a weight of 1/8 in the moving averages
    constexpr int deviationMultiplier = 8; // above the mean, so that an ordinary slow answer is not cut off
    constexpr Duration minTimeout = std::chrono::milliseconds(100);

} // namespace

void AttemptTimeoutEstimator::observe(const ServiceName& service, Duration answerTime)
{
    auto [entry, isFirst] = this->estimates.try_emplace(service, Estimate { answerTime, answerTime / 2 });
    if (isFirst)
        return;
    Estimate& estimate = entry->second;
    const Duration error = answerTime - estimate.mean;
    estimate.mean += error / smoothingDivisor;
    estimate.deviation += (std::chrono::abs(error) - estimate.deviation) / smoothingDivisor;
}

Duration AttemptTimeoutEstimator::timeoutFor(const Request& request, Duration remaining) const
{
    if (request.idempotency == Idempotency::NonIdempotent)
        return remaining;
    auto estimate = this->estimates.find(request.service);
    if (estimate == this->estimates.end())
        return remaining;
    const Duration timeout = std::max(minTimeout, estimate->second.mean + deviationMultiplier * estimate->second.deviation);
    return timeout <= remaining / 2 ? timeout : remaining;
}

} // namespace dragonflytray
