#include "routing/routing.h"

namespace dragonflytray {

void Routing::callerGone(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const ReplyToken token = std::get<CallerGone>(command).token;
    const auto isFromCaller = [&](const PendingRequest& pending) { return pending.token == token; };
    std::vector<PendingRequest> dropped;
    for (auto& [name, service] : this->services) {
        for (PendingRequest& pending : service.queue->removeIf(isFromCaller))
            dropped.push_back(std::move(pending));
    }
    for (auto retry = this->delayedRetries.begin(); retry != this->delayedRetries.end();) {
        if (isFromCaller(retry->second)) {
            dropped.push_back(std::move(retry->second));
            retry = this->delayedRetries.erase(retry);
        } else {
            ++retry;
        }
    }
    for (auto& [id, claim] : this->claims) {
        if (claim.isAbandoned || !isFromCaller(claim.pending))
            continue;
        this->abandonClaim(claim);
        dropped.push_back(claim.pending);
    }
    for (const PendingRequest& pending : dropped)
        this->dropForGoneCaller(pending, now, effects);
}

void Routing::dropForGoneCaller(const PendingRequest& pending, Instant now, RoutingEffects& effects)
{
    ++this->classes[pending.request.priority].refusals[RefusalReason::CallerGone];
    this->recordStep(pending.request.id, "Dropped while waiting: the caller has disconnected.");
    if (pending.claimVersion != 0 && !pending.mayHaveRun)
        this->releaseClaim(pending.request, pending.claimVersion, now, effects);
    this->removeFromOpenCounts(pending);
}

} // namespace dragonflytray
