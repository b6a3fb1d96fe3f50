#include "routing/routing.h"

namespace dragonflytray {

void Routing::callerGone(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const ReplyToken token = std::get<CallerGone>(command).token;
    const auto isGone = [&](const WaitingRequest& work) { return work.token == token; };
    std::vector<WaitingRequest> gone;
    for (auto& [name, service] : this->services) {
        for (WaitingRequest& work : service.queue->takeIf(isGone))
            gone.push_back(std::move(work));
    }
    for (auto retry = this->delayed.begin(); retry != this->delayed.end();) {
        if (isGone(retry->second)) {
            gone.push_back(std::move(retry->second));
            retry = this->delayed.erase(retry);
        } else {
            ++retry;
        }
    }
    for (auto& [id, claim] : this->claims) {
        if (claim.isAbandoned || !isGone(claim.work))
            continue;
        this->abandonClaim(claim);
        gone.push_back(claim.work);
    }
    for (const WaitingRequest& work : gone)
        this->dropForCaller(work, now, effects);
}

void Routing::dropForCaller(const WaitingRequest& work, Instant now, RoutingEffects& effects)
{
    ++this->classes[work.request.priority].refusals[RefusalReason::CallerGone];
    this->explain(work.request.id, "Dropped before a send: its caller is gone.");
    if (work.claim != 0 && !work.mayHaveRun)
        this->releaseClaim(work.request, work.claim, now, effects);
    this->close(work);
}

} // namespace dragonflytray
