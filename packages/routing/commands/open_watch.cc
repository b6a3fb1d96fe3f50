#include "routing/routing.h"

namespace dragonflytray {

void Routing::openWatch(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& watch = std::get<OpenWatch>(command);
    Waiting work { watch.token, {}, 0, {} };
    work.request.team = watch.team;
    work.request.service = watch.service;
    work.request.deadline = now + std::chrono::hours(1);
    if (auto reason = this->reasonToRefuse(work.request, now))
        return this->refuse(work, notRun(*reason), effects);
    // A watch holds a connection, not a slot: any live runner of the service will do.
    const Runner* nearest = nullptr;
    for (const auto& [name, runner] : this->runners) {
        const bool isFit = runner.isListed && runner.host.service == watch.service && runner.host.state == HostState::Live;
        if (isFit && (!nearest || runner.distance < nearest->distance))
            nearest = &runner;
    }
    if (!nearest)
        return this->refuse(work, notRun(RefusalReason::NoRunner), effects);
    effects.push_back(StartWatch { watch.token, nearest->host.endpoint, watch.service, watch.cursor });
}

} // namespace dragonflytray
