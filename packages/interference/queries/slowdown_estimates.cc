#include "interference/interference.h"

#include <cmath>

namespace dragonflytray {

InterferenceView Interference::slowdownEstimates(const InterferenceQuery&, Instant) const
{
    constexpr double halfLoad = 0.5;
    SlowdownEstimates table;
    for (const auto& [service, estimator] : this->estimators) {
        for (const BatchClassName& batchClass : estimator.classes()) {
            const EffectEstimate middle = estimator.effect(batchClass, halfLoad);
            table.pairs.push_back({
                .service = service,
                .batchClass = batchClass,
                .slowdownIdle = std::exp(estimator.effect(batchClass, 0).mean),
                .slowdownBusy = std::exp(estimator.effect(batchClass, 1).mean),
                .deviation = middle.deviation,
                .weight = middle.weight,
            });
        }
    }
    return table;
}

} // namespace dragonflytray
