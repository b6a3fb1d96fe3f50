#include "interference/interference.h"

#include <cmath>

namespace dragonflytray {

InterferenceView Interference::slowdownEstimates(const InterferenceQuery&, Instant) const
{
    constexpr double halfLoad = 0.5;
    SlowdownEstimates estimates;
    for (const auto& [service, estimator] : this->estimators) {
        for (const BatchClassName& batchClass : estimator.classes()) {
            const EffectEstimate atHalfLoad = estimator.effect(batchClass, halfLoad);
            estimates.pairs.push_back({
                .service = service,
                .batchClass = batchClass,
                .slowdownAtZeroLoad = std::exp(estimator.effect(batchClass, 0).mean),
                .slowdownAtFullLoad = std::exp(estimator.effect(batchClass, 1).mean),
                .deviation = atHalfLoad.deviation,
                .effectiveWindows = atHalfLoad.effectiveWindows,
            });
        }
    }
    return estimates;
}

} // namespace dragonflytray
