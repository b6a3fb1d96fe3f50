#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Retry-After when no answer has been measured yet.
    constexpr Duration unmeasuredRetryAfter = std::chrono::seconds(1);

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

std::optional<Outcome> Routing::refusalOf(const Request& request, Instant now)
{
    if (auto reason = this->reasonToRefuse(request.service, request.team))
        return notRun(*reason);
    if (request.deadline <= now)
        return notRun(RefusalReason::DeadlinePassed);
    if (auto reason = this->reasonUnreachable(request, now))
        return notRun(*reason);
    if (this->isOverTeamQuota(request))
        return notRun(RefusalReason::TeamQuota, {}, this->timeToServe(request));
    return this->deadlineRefusal(request, now);
}

std::optional<RefusalReason> Routing::reasonToRefuse(const ServiceName& service, const TeamName& team) const
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

std::optional<RefusalReason> Routing::reasonUnreachable(const Request& request, Instant now)
{
    const std::set<DataCentreName>& sites = this->serviceOf(request.service).sites;
    if (sites.contains(this->options.dataCentre))
        return std::nullopt;
    const double size = request.body ? static_cast<double>(request.body->size()) : 0;
    RefusalReason reason = RefusalReason::NoRunner;
    for (const auto& [name, peer] : this->peers) {
        if (request.source == RequestSource::Peer || !peer.isListed || !sites.contains(peer.host.dataCentre))
            continue;
        if (peer.distance < otherRegion || this->linkBudget.has(now, size))
            return std::nullopt;
        reason = RefusalReason::LinkBudget;
    }
    return reason;
}

bool Routing::isOverTeamQuota(const Request& request) const
{
    const std::size_t quota = this->inForce.declaration->findTeam(request.team)->requestsInFlight;
    // A forwarded request counts against the quota of the entry host that its caller spoke to.
    if (quota == 0 || request.source == RequestSource::Peer)
        return false;
    const auto live = std::count_if(this->entryHosts.begin(), this->entryHosts.end(), [](const Host& host) { return host.state == HostState::Live; });
    // Each entry host enforces its part of the quota by itself: a wrong split costs fairness, not safety.
    const std::size_t part = std::max<std::size_t>(1, quota / std::max<std::size_t>(1, static_cast<std::size_t>(live)));
    auto open = this->openByTeam.find(request.team);
    return open != this->openByTeam.end() && open->second >= part;
}

std::optional<Outcome> Routing::deadlineRefusal(const Request& request, Instant now)
{
    const ServiceState& service = this->serviceOf(request.service);
    if (service.queue->size() == 0)
        return std::nullopt;
    const Duration needed = this->timeToServe(request) + fromSeconds(service.holdSeconds);
    const Duration left = request.deadline - now;
    if (service.holdSeconds == 0 || service.slots == 0 || needed <= left)
        return std::nullopt;
    return notRun(RefusalReason::DeadlineTooShort, {}, needed - left);
}

Duration Routing::timeToServe(const Request& request)
{
    const ServiceState& service = this->serviceOf(request.service);
    if (service.holdSeconds == 0 || service.slots == 0)
        return unmeasuredRetryAfter;
    const double drainRate = service.slots / service.holdSeconds; // requests per second
    return fromSeconds(service.queue->requestsBefore(request, this->weightOf(request.team)) / drainRate);
}

double Routing::weightOf(const TeamName& team) const
{
    // A team may be gone from the declaration while its requests still wait.
    const TeamDeclaration* declared = this->inForce.declaration->findTeam(team);
    return declared && declared->weight > 0 ? declared->weight : 1;
}

bool Routing::makeRoom(const Request& request, Instant now, RoutingEffects& effects)
{
    ServiceState& service = this->serviceOf(request.service);
    const std::size_t limit = this->inForce.declaration->findService(request.service)->queueLimit;
    if (service.queue->size() + service.claiming < limit)
        return true;
    // One team's flood is paid by that team: the longest backlog loses its last request.
    std::optional<WaitingRequest> victim = service.queue->shed(request, this->weightOf(request.team));
    if (victim)
        this->refuse(*victim, RefusalReason::QueueFull, now, effects, this->timeToServe(victim->request));
    return victim.has_value();
}

void Routing::enqueue(WaitingRequest work, Instant now)
{
    work.queuedAt = now;
    const double weight = this->weightOf(work.request.team);
    RequestQueue& queue = *this->serviceOf(work.request.service).queue;
    queue.push(std::move(work), weight);
}

} // namespace dragonflytray
