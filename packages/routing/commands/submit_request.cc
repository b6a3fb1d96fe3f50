#include "routing/routing.h"

namespace dragonflytray {

void Routing::submitRequest(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& submitted = std::get<SubmitRequest>(command);
    PendingRequest pending;
    pending.token = submitted.token;
    pending.request = submitted.request;
    pending.arrivedAt = now;
    auto refusal = this->checkAdmission(pending.request, now);
    ++this->openCount;
    ++this->openRequestsByTeam[pending.request.team];
    if (refusal)
        return this->refuse(pending, refusal->reason, now, effects, refusal->retryAfter);
    if (!this->makeRoom(pending.request, now, effects))
        return this->refuse(pending, RefusalReason::QueueFull, now, effects, this->estimateQueueDelay(pending.request));
    const ServiceName service = pending.request.service;
    // A forwarded request has been claimed by the entry host that forwarded it.
    const bool needsClaim = this->options.shouldClaim && pending.request.idempotency == Idempotency::NonIdempotent && pending.request.source == RequestSource::Caller;
    if (needsClaim)
        return this->startClaim(std::move(pending), now, effects);
    this->enqueue(std::move(pending), now);
    this->dispatch(service, now, effects);
}

} // namespace dragonflytray
