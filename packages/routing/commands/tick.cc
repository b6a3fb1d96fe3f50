#include "routing/routing.h"

namespace dragonflytray {

void Routing::tick(const RoutingCommand&, Instant now, RoutingEffects& effects)
{
    this->serveQueues(now, effects);
    if (this->options.shareSource == ShareSource::Assigned)
        this->reportDemand(now, effects);
}

void Routing::serveQueues(Instant now, RoutingEffects& effects)
{
    for (auto& [service, queue] : this->queues) {
        for (auto work = queue.begin(); work != queue.end();) {
            if (work->request.deadline > now) {
                ++work;
                continue;
            }
            this->refuse(*work, notRun(RefusalReason::DeadlinePassed), effects);
            work = queue.erase(work);
            --this->waitingCount;
        }
        this->dispatch(service, now, effects);
    }
}

} // namespace dragonflytray
