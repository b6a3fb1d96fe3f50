#include "routing/routing.h"

namespace dragonflytray {

void Routing::stopAdmission(const RoutingCommand&, Instant, RoutingEffects&)
{
    this->isStopping = true;
}

} // namespace dragonflytray
