#include "interference/interference.h"

namespace dragonflytray {

InterferenceView Interference::placementPenalty(const InterferenceQuery& query, Instant now) const
{
    const auto& placement = std::get<PlacementPenaltyQuery>(query);
    auto worker = this->workers.find(placement.worker);
    if (worker == this->workers.end() || worker->second.runners.empty())
        return this->policy->penalty({ .objective = this->objective, .services = {}, .tasks = {} }, placement.batchClass);
    PlacementCost penalty = this->policy->penalty(this->snapshotOf(worker->second, now), placement.batchClass);
    auto cooldownUntil = worker->second.placementCooldownUntil.find(placement.batchClass);
    if (cooldownUntil != worker->second.placementCooldownUntil.end() && now < cooldownUntil->second)
        penalty.isAvoided = true;
    return penalty;
}

} // namespace dragonflytray
