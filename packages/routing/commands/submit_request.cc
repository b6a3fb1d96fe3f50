#include "routing/routing.h"

namespace dragonflytray {

void Routing::submitRequest(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& submitted = std::get<SubmitRequest>(command);
    WaitingRequest work;
    work.token = submitted.token;
    work.request = submitted.request;
    work.arrivedAt = now;
    auto refusal = this->refusalOf(work.request, now);
    ++this->openCount;
    ++this->openByTeam[work.request.team];
    if (refusal)
        return this->refuse(work, refusal->reason, now, effects, refusal->retryAfter);
    if (!this->makeRoom(work.request, now, effects))
        return this->refuse(work, RefusalReason::QueueFull, now, effects, this->timeToServe(work.request));
    const ServiceName service = work.request.service;
    // A forwarded request was claimed by the entry host that its caller spoke to.
    const bool needsClaim = this->options.shouldClaim && work.request.idempotency == Idempotency::NonIdempotent && work.request.source == RequestSource::Caller;
    if (needsClaim)
        return this->claim(std::move(work), now, effects);
    this->enqueue(std::move(work), now);
    this->dispatch(service, now, effects);
}

} // namespace dragonflytray
