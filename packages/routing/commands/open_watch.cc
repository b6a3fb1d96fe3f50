#include "routing/routing.h"

namespace dragonflytray {

void Routing::openWatch(const RoutingCommand& command, Instant, RoutingEffects& effects)
{
    const auto& watch = std::get<OpenWatch>(command);
    auto reason = this->checkServiceAndTeam(watch.service, watch.team);
    // A watch occupies a connection, not a slot: any usable runner of the service can serve it.
    const RunnerState* nearest = nullptr;
    for (const auto& [name, runner] : this->runners) {
        const bool isEligible = runner.host.service == watch.service && this->isUsable(runner);
        if (isEligible && (!nearest || runner.distance < nearest->distance))
            nearest = &runner;
    }
    if (!reason && !nearest)
        reason = RefusalReason::NoRunner;
    if (reason) {
        ++this->classes[Priority::Normal].refusals[*reason];
        effects.push_back(ReplyToCaller { watch.token, RequestSource::Caller, {}, notRun(*reason) });
        return;
    }
    effects.push_back(StartWatch { watch.token, nearest->host.endpoint, watch.service, watch.cursor });
}

} // namespace dragonflytray
