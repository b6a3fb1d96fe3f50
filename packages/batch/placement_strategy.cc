#include "batch/placement_strategy.h"

#include <algorithm>
#include <array>

namespace dragonflytray {

namespace {

    constexpr double rackWeight = 0.5;
    constexpr double penaltyWeight = 4;

    // freeShareAfterPlacement() is the larger of the fractions of processors and memory that would stay free.
    double freeShareAfterPlacement(const PlacementCandidate& candidate, const Capacity& need)
    {
        const double processors = (candidate.free.processors - need.processors) / std::max(candidate.capacity.processors, 1.0);
        const double memory = (candidate.free.memoryGigabytes - need.memoryGigabytes) / std::max(candidate.capacity.memoryGigabytes, 1.0);
        return std::max(processors, memory);
    }

    class FirstFit : public PlacementStrategy {
        double cost(const PlacementCandidate&, const Capacity&) const override { return 0; }
    };

    class BestFit : public PlacementStrategy {
        double cost(const PlacementCandidate& candidate, const Capacity& need) const override { return freeShareAfterPlacement(candidate, need); }
    };

    class Scored : public PlacementStrategy {
        double cost(const PlacementCandidate& candidate, const Capacity& need) const override
        {
            // Keeps workers with a free accelerator for tasks that need one.
            const double wastedAcceleratorCost = need.accelerators == 0 && candidate.free.accelerators > 0 ? 1 : 0;
            return freeShareAfterPlacement(candidate, need) + rackWeight * candidate.rackShare + penaltyWeight * candidate.penalty + wastedAcceleratorCost;
        }
    };

    const FirstFit firstFit;
    const BestFit bestFit;
    const Scored scored;
    constexpr std::array<const PlacementStrategy*, placementPolicyNames.size()> strategies { &firstFit, &bestFit, &scored };

} // namespace

const PlacementStrategy& placementStrategy(PlacementPolicy policy)
{
    return *strategies[indexOf(policy)];
}

} // namespace dragonflytray
