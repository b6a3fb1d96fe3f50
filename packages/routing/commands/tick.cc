#include "routing/routing.h"

namespace dragonflytray {

void Routing::tick(const RoutingCommand&, Instant now, RoutingEffects& effects)
{
    this->forgetOldMeasurements(now);
    this->serveClaims(now, effects);
    this->serveQueues(now, effects);
    if (this->options.shareSource == ShareSource::Assigned)
        this->reportDemand(now, effects);
}

} // namespace dragonflytray
