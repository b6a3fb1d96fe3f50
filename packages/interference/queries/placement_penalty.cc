#include "interference/interference.h"

namespace dragonflytray {

InterferenceView Interference::placementPenalty(const InterferenceQuery& query, Instant now) const
{
    const auto& asked = std::get<PlacementPenaltyQuery>(query);
    auto worker = this->workers.find(asked.worker);
    if (worker == this->workers.end() || worker->second.runners.empty())
        return this->policy->penalty({ .objective = this->objective, .services = {}, .tasks = {} }, asked.batchClass);
    PlacementCost penalty = this->policy->penalty(this->situationOf(worker->second, now), asked.batchClass);
    auto avoided = worker->second.avoidedUntil.find(asked.batchClass);
    if (avoided != worker->second.avoidedUntil.end() && now < avoided->second)
        penalty.isAvoided = true;
    return penalty;
}

} // namespace dragonflytray
