#include "routing/routing.h"

namespace dragonflytray {

void Routing::submitRequest(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& submitted = std::get<SubmitRequest>(command);
    Waiting work { submitted.token, submitted.request, 0, {} };
    if (auto reason = this->reasonToRefuse(work.request, now))
        return this->refuse(work, notRun(*reason), effects);
    const ServiceName service = work.request.service;
    this->enqueue(std::move(work));
    this->dispatch(service, now, effects);
}

std::optional<RefusalReason> Routing::reasonToRefuse(const Request& request, Instant now) const
{
    if (this->isStopping)
        return RefusalReason::ShuttingDown;
    if (!this->inForce.declaration)
        return RefusalReason::NoConfiguration;
    const ServiceDeclaration* service = this->inForce.declaration->findService(request.service);
    if (!service)
        return RefusalReason::UnknownService;
    if (!this->inForce.declaration->findTeam(request.team))
        return RefusalReason::UnknownTeam;
    if (request.deadline <= now)
        return RefusalReason::DeadlinePassed;
    auto queue = this->queues.find(request.service);
    if (queue != this->queues.end() && queue->second.size() >= service->queueLimit)
        return RefusalReason::QueueFull;
    return std::nullopt;
}

} // namespace dragonflytray
