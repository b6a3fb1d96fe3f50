#include "interference/interference.h"

#include <cmath>

namespace dragonflytray {

void Interference::latencyMeasured(const InterferenceCommand& command, Instant now, InterferenceEffects&)
{
    const auto& measured = std::get<LatencyMeasured>(command);
    if (auto reason = this->reasonToReject(measured, now)) {
        ++this->rejections[*reason];
        return;
    }
    Worker& worker = this->workers.at(measured.worker);
    Runner& runner = worker.runners.at(measured.service);
    if (measured.windowEnd > runner.loadMeasuredAt) {
        runner.load = measured.load;
        runner.loadMeasuredAt = measured.windowEnd;
    }
    auto estimator = this->estimators.find(measured.service);
    if (estimator == this->estimators.end()) {
        if (this->estimators.size() >= this->options.maxServices)
            return;
        estimator = this->estimators.emplace(measured.service, SlowdownEstimator(this->options.estimator)).first;
    }
    ++this->samples;
    estimator->second.observe({
        .when = measured.windowEnd,
        .logLatency = std::log(toSeconds(measured.p99) * std::milli::den),
        .count = measured.count,
        .load = measured.load,
        .exposures = worker.history.exposures(measured.windowStart, measured.windowEnd),
    });
}

std::optional<SampleRejection> Interference::reasonToReject(const LatencyMeasured& measured, Instant now) const
{
    const bool isLoadValid = measured.load >= 0 && measured.load <= 1; // false if the load is NaN
    if (measured.windowStart >= measured.windowEnd || measured.count == 0 || measured.p99 <= Duration::zero() || !isLoadValid)
        return SampleRejection::Malformed;
    auto worker = this->workers.find(measured.worker);
    if (worker == this->workers.end())
        return SampleRejection::NoRunner;
    auto runner = worker->second.runners.find(measured.service);
    if (runner == worker->second.runners.end() || runner->second.placedAt > measured.windowStart)
        return SampleRejection::NoRunner;
    const bool hasEnded = measured.windowEnd <= now;
    const bool isCovered = measured.windowStart >= now - this->options.history.retention && worker->second.history.covers(measured.windowStart);
    return hasEnded && isCovered ? std::nullopt : std::optional(SampleRejection::OutsideHistory);
}

} // namespace dragonflytray
