#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // The Retry-After while a service has no measured latency.
    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

std::optional<Outcome> Routing::checkAdmission(const Request& request, Instant now)
{
    if (auto reason = this->checkServiceAndTeam(request.service, request.team))
        return notRun(*reason);
    if (request.deadline <= now)
        return notRun(RefusalReason::DeadlinePassed);
    if (auto reason = this->checkReachability(request, now))
        return notRun(*reason);
    if (this->isOverTeamQuota(request))
        return notRun(RefusalReason::TeamQuota, {}, this->estimateQueueDelay(request));
    return this->checkDeadline(request, now);
}

std::optional<RefusalReason> Routing::checkServiceAndTeam(const ServiceName& service, const TeamName& team) const
{
    if (this->isStopping)
        return RefusalReason::ShuttingDown;
    if (!this->inForce.declaration)
        return RefusalReason::NoConfiguration;
    if (!this->inForce.declaration->findService(service))
        return RefusalReason::UnknownService;
    if (!this->inForce.declaration->findTeam(team))
        return RefusalReason::UnknownTeam;
    return std::nullopt;
}

std::optional<RefusalReason> Routing::checkReachability(const Request& request, Instant now)
{
    const std::set<DataCentreName>& liveDataCentres = this->serviceOf(request.service).liveDataCentres;
    if (liveDataCentres.contains(this->options.dataCentre))
        return std::nullopt;
    const double size = request.body ? static_cast<double>(request.body->size()) : 0;
    RefusalReason reason = RefusalReason::NoRunner;
    for (const auto& [name, peer] : this->peers) {
        if (!this->mayForward(request) || !peer.isListed || !liveDataCentres.contains(peer.host.dataCentre))
            continue;
        if (peer.distance < crossRegionDistance || this->linkBudget.hasTokens(now, size))
            return std::nullopt;
        reason = RefusalReason::LinkBudget;
    }
    return reason;
}

bool Routing::isOverTeamQuota(const Request& request) const
{
    const std::size_t quota = this->inForce.declaration->findTeam(request.team)->maxRequestsInFlight;
    // A forwarded request counts against the quota at the entry host that forwarded it.
    if (quota == 0 || request.source == RequestSource::Peer)
        return false;
    const auto liveEntryHosts = std::count_if(this->entryHosts.begin(), this->entryHosts.end(), [](const Host& host) { return host.state == HostState::Live; });
    // Each entry host enforces its part of the quota without coordination: a wrong split affects only fairness.
    const std::size_t localQuota = std::max<std::size_t>(1, quota / std::max<std::size_t>(1, static_cast<std::size_t>(liveEntryHosts)));
    auto open = this->openRequestsByTeam.find(request.team);
    return open != this->openRequestsByTeam.end() && open->second >= localQuota;
}

std::optional<Outcome> Routing::checkDeadline(const Request& request, Instant now)
{
    const ServiceState& service = this->serviceOf(request.service);
    if (service.queue->size() == 0)
        return std::nullopt;
    const Duration requiredTime = this->estimateQueueDelay(request) + fromSeconds(service.meanLatencySeconds);
    const Duration remainingTime = request.deadline - now;
    if (service.meanLatencySeconds == 0 || service.usableSlots == 0 || requiredTime <= remainingTime)
        return std::nullopt;
    return notRun(RefusalReason::DeadlineTooShort, {}, requiredTime - remainingTime);
}

Duration Routing::estimateQueueDelay(const Request& request)
{
    const ServiceState& service = this->serviceOf(request.service);
    if (service.meanLatencySeconds == 0 || service.usableSlots == 0)
        return defaultRetryAfter;
    const double serviceRate = service.usableSlots / service.meanLatencySeconds; // requests per second
    return fromSeconds(service.queue->estimatePosition(request, this->weightOf(request.team)) / serviceRate);
}

double Routing::weightOf(const TeamName& team) const
{
    // A team may be removed from the declaration while its requests still wait.
    const TeamDeclaration* declared = this->inForce.declaration->findTeam(team);
    return declared && declared->weight > 0 ? declared->weight : 1;
}

bool Routing::makeRoom(const Request& request, Instant now, RoutingEffects& effects)
{
    ServiceState& service = this->serviceOf(request.service);
    const std::size_t limit = this->inForce.declaration->findService(request.service)->queueLimit;
    if (service.queue->size() + service.claimsInProgress < limit)
        return true;
    // An overload is charged to the team that causes it: the longest backlog loses its last request.
    std::optional<PendingRequest> victim = service.queue->evictFor(request, this->weightOf(request.team));
    if (victim)
        this->refuse(*victim, RefusalReason::QueueFull, now, effects, this->estimateQueueDelay(victim->request));
    return victim.has_value();
}

void Routing::enqueue(PendingRequest pending, Instant now)
{
    pending.queuedAt = now;
    const double weight = this->weightOf(pending.request.team);
    RequestQueue& queue = *this->serviceOf(pending.request.service).queue;
    queue.push(std::move(pending), weight);
}

} // namespace dragonflytray
