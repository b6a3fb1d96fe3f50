#include "routing/routing.h"

namespace dragonflytray {

namespace {

    std::vector<DataCentreName> evacuatedIn(const DeclarationInForce& inForce)
    {
        return inForce.declaration ? inForce.declaration->evacuatedDataCentres : std::vector<DataCentreName> {};
    }

} // namespace

void Routing::changeConfiguration(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& next = std::get<ChangeConfiguration>(command).inForce;
    if (next.version <= this->inForce.version)
        return;
    const bool hasListChanged = evacuatedIn(next) != evacuatedIn(this->inForce);
    this->inForce = next;
    for (auto& [name, runner] : this->runners)
        runner.distance = this->distanceTo(runner.host.dataCentre);
    for (auto& [name, peer] : this->peers)
        peer.distance = this->distanceTo(peer.host.dataCentre);
    this->updateLinkBudget();
    if (!hasListChanged)
        return;
    this->applyShares();
    this->processQueues(now, effects);
}

} // namespace dragonflytray
