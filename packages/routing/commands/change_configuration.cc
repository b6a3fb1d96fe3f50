#include "routing/routing.h"

namespace dragonflytray {

void Routing::changeConfiguration(const RoutingCommand& command, Instant, RoutingEffects&)
{
    const auto& next = std::get<ChangeConfiguration>(command).inForce;
    if (next.version <= this->inForce.version)
        return;
    this->inForce = next;
    for (auto& [name, runner] : this->runners)
        runner.distance = this->distanceTo(runner.host.dataCentre);
    for (auto& [name, peer] : this->peers)
        peer.distance = this->distanceTo(peer.host.dataCentre);
    this->updateLinkBudget();
}

} // namespace dragonflytray
