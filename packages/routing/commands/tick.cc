#include "routing/routing.h"

namespace dragonflytray {

void Routing::tick(const RoutingCommand&, Instant now, RoutingEffects& effects)
{
    this->refreshRunnerHealth(now);
    this->processClaims(now, effects);
    this->processQueues(now, effects);
    if (this->options.shareSource == ShareSource::Assigned)
        this->reportChangedDemand(now, effects);
}

} // namespace dragonflytray
