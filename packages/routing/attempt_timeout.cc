#include "routing/attempt_timeout.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr int smoothing = 8; // answers that weigh about as much as all earlier ones
    constexpr int deviations = 8; // beyond the mean, so that an ordinary slow answer is not cut off
    constexpr Duration shortest = std::chrono::milliseconds(100);

} // namespace

void AttemptTimeouts::observe(const ServiceName& service, Duration answerTime)
{
    auto [entry, isFirst] = this->estimates.try_emplace(service, Estimate { answerTime, answerTime / 2 });
    if (isFirst)
        return;
    Estimate& estimate = entry->second;
    const Duration error = answerTime - estimate.mean;
    estimate.mean += error / smoothing;
    estimate.deviation += (std::chrono::abs(error) - estimate.deviation) / smoothing;
}

Duration AttemptTimeouts::limit(const Request& request, Duration remaining) const
{
    if (request.idempotency == Idempotency::NonIdempotent)
        return remaining;
    auto estimate = this->estimates.find(request.service);
    if (estimate == this->estimates.end())
        return remaining;
    const Duration ample = std::max(shortest, estimate->second.mean + deviations * estimate->second.deviation);
    return ample <= remaining / 2 ? ample : remaining;
}

} // namespace dragonflytray
