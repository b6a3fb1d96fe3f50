#include "batch/placement_strategy.h"

#include <algorithm>
#include <array>

namespace dragonflytray {

namespace {

    constexpr double rackWeight = 0.5;
    constexpr double penaltyWeight = 4;

    // leftOver() is the larger share of processors or memory that stays free.
    double leftOver(const PlacementCandidate& candidate, const Capacity& need)
    {
        const double processors = (candidate.free.processors - need.processors) / std::max(candidate.capacity.processors, 1.0);
        const double memory = (candidate.free.memoryGigabytes - need.memoryGigabytes) / std::max(candidate.capacity.memoryGigabytes, 1.0);
        return std::max(processors, memory);
    }

    class FirstFit : public PlacementStrategy {
        double cost(const PlacementCandidate&, const Capacity&) const override { return 0; }
    };

    class BestFit : public PlacementStrategy {
        double cost(const PlacementCandidate& candidate, const Capacity& need) const override { return leftOver(candidate, need); }
    };

    class Scored : public PlacementStrategy {
        double cost(const PlacementCandidate& candidate, const Capacity& need) const override
        {
            // An accelerator that the task does not need is kept for one that does.
            const double wasted = need.accelerators == 0 && candidate.free.accelerators > 0 ? 1 : 0;
            return leftOver(candidate, need) + rackWeight * candidate.rackShare + penaltyWeight * candidate.penalty + wasted;
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
