#include "routing/routing.h"

#include <cmath>

namespace dragonflytray {

namespace {

    constexpr double smoothingFactor = 0.2; // weight of the newest sample in a moving average
    constexpr double minFailureLatencySeconds = 0.1; // a failure counts at least as this latency
    constexpr double maxFailureLatencySeconds = 10; // limit of the doubling with each failure
    constexpr int maxForwardsPerPeer = 32; // concurrent attempts
    constexpr Duration peerCooldown = std::chrono::milliseconds(500); // after one failure
    constexpr int failuresBeforeEjection = 3; // consecutive
    constexpr Duration runnerCooldown = std::chrono::seconds(1); // time that a runner stays ejected
    // Forwarding pays off above these delays, which exceed the round trip within a region and between regions.
    constexpr Duration minQueueDelayForSameRegionForward = std::chrono::milliseconds(10);
    constexpr Duration minQueueDelayForCrossRegionForward = std::chrono::milliseconds(100);
    constexpr Duration healthRefreshInterval = std::chrono::milliseconds(200);
    constexpr double latencyDecay = 0.02; // fraction of the difference to the service's mean removed each interval

    double updateAverage(double average, double sample)
    {
        return average == 0 ? sample : average + smoothingFactor * (sample - average);
    }

    double bodySizeOf(const Request& request)
    {
        return request.body ? static_cast<double>(request.body->size()) : 0;
    }

} // namespace

void Routing::dispatch(const ServiceName& service, Instant now, RoutingEffects& effects)
{
    RequestQueue& queue = *this->serviceOf(service).queue;
    while (const PendingRequest* next = queue.front()) {
        if (RunnerState* runner = this->chooseRunner(*next, now))
            this->sendToRunner(*runner, queue.pop(), now, effects);
        else if (Peer* peer = this->choosePeer(*next, now))
            this->forwardToPeer(*peer, queue.pop(), now, effects);
        else
            break;
    }
}

RunnerState* Routing::chooseRunner(const PendingRequest& pending, Instant now)
{
    if (this->options.shareSource == ShareSource::Assigned && now >= this->sharesValidUntil)
        return nullptr;
    RunnerPool& pool = this->serviceOf(pending.request.service).pool;
    if (pool.isEmpty())
        return nullptr;
    auto excluded = this->runners.find(pending.lastTarget);
    return pool.choose(*this->runnerChoice, excluded == this->runners.end() ? nullptr : &excluded->second);
}

Routing::Peer* Routing::choosePeer(const PendingRequest& pending, Instant now)
{
    if (!this->mayForward(pending.request))
        return nullptr;
    const ServiceState& service = this->serviceOf(pending.request.service);
    const bool isServedHere = service.usableSlots > 0;
    const Duration localQueueDelay = isServedHere ? this->estimateQueueDelay(pending.request) : Duration::max();
    Peer* best = nullptr;
    for (auto& [name, peer] : this->peers) {
        if (!service.liveDataCentres.contains(peer.host.dataCentre) || !this->canForward(peer, pending, localQueueDelay, now))
            continue;
        const bool isBetter = !best || peer.distance < best->distance || (peer.distance == best->distance && peer.inFlight < best->inFlight);
        best = isBetter ? &peer : best;
    }
    return best;
}

bool Routing::mayForward(const Request& request)
{
    return request.source != RequestSource::Peer && (this->options.hasForwarding || !this->serviceOf(request.service).hasEvacuatedRunners);
}

bool Routing::canForward(const Peer& peer, const PendingRequest& pending, Duration localQueueDelay, Instant now)
{
    const bool isAvailable = peer.isListed && peer.host.state == HostState::Live && now >= peer.ejectedUntil && peer.inFlight < maxForwardsPerPeer;
    if (!isAvailable || peer.host.name == pending.lastTarget)
        return false;
    if (peer.distance < crossRegionDistance)
        return localQueueDelay > minQueueDelayForSameRegionForward;
    return localQueueDelay > minQueueDelayForCrossRegionForward && this->linkBudget.hasTokens(now, bodySizeOf(pending.request));
}

void Routing::sendToRunner(RunnerState& runner, PendingRequest pending, Instant now, RoutingEffects& effects)
{
    require(runner.inFlight < runner.share, "Routing: an attempt exceeds this entry host's share of the runner");
    ++runner.inFlight;
    this->updatePool(runner);
    this->recordStep(pending.request.id, "Sent to runner " + runner.host.name.value() + ".");
    Request request = pending.request;
    const Duration timeout = this->attemptTimeouts.timeoutFor(request, request.deadline - now);
    const AttemptId id = this->startAttempt(std::move(pending), runner.host.name, false, now);
    effects.push_back(SendToRunner { id, runner.host.name, runner.host.endpoint, std::move(request), timeout });
}

void Routing::forwardToPeer(Peer& peer, PendingRequest pending, Instant now, RoutingEffects& effects)
{
    ++peer.inFlight;
    ++this->forwardedCount;
    const bool isCrossRegion = peer.distance >= crossRegionDistance;
    if (isCrossRegion)
        this->linkBudget.spend(bodySizeOf(pending.request));
    this->recordStep(pending.request.id, "Forwarded to entry host " + peer.host.name.value() + ".");
    Request request = pending.request;
    const Duration timeout = this->attemptTimeouts.timeoutFor(request, request.deadline - now);
    const AttemptId id = this->startAttempt(std::move(pending), peer.host.name, true, now);
    this->attempts.at(id).isCrossRegion = isCrossRegion;
    effects.push_back(ForwardToPeer { id, peer.host.name, peer.host.peerEndpoint, std::move(request), timeout });
}

AttemptId Routing::startAttempt(PendingRequest pending, const HostName& target, bool isForward, Instant now)
{
    require(pending.request.idempotency == Idempotency::Idempotent || !pending.mayHaveRun, "Routing: a non-idempotent request that may have been run is sent again");
    this->classes[pending.request.priority].stages[RequestStage::Queue].record(now - pending.queuedAt);
    const AttemptId id { ++this->lastAttemptId };
    this->attempts.emplace(id, Attempt { std::move(pending), target, isForward, false, now });
    return id;
}

std::optional<Routing::Attempt> Routing::removeAttempt(AttemptId id)
{
    auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return std::nullopt;
    Attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    return attempt;
}

void Routing::releaseTarget(const Attempt& attempt)
{
    if (attempt.isForward)
        this->releasePeer(attempt.target);
    else
        this->releaseRunner(attempt.target);
}

void Routing::releaseRunner(const HostName& name)
{
    RunnerState& runner = this->runners.at(name);
    require(runner.inFlight > 0, "Routing: an attempt on a runner ended twice");
    --runner.inFlight;
    this->shouldReportShares = this->shouldReportShares || runner.inFlight >= runner.share;
    this->updatePool(runner);
    if (!runner.isListed && runner.inFlight == 0)
        this->runners.erase(name);
}

void Routing::releasePeer(const HostName& name)
{
    Peer& peer = this->peers.at(name);
    --peer.inFlight;
    if (!peer.isListed && peer.inFlight == 0)
        this->peers.erase(name);
}

void Routing::recordAnswer(const Attempt& attempt, Instant now)
{
    const double seconds = toSeconds(now - attempt.startedAt);
    this->attemptTimeouts.observe(attempt.pending.request.service, now - attempt.startedAt);
    this->classes[attempt.pending.request.priority].stages[RequestStage::Runner].record(now - attempt.startedAt);
    if (attempt.isForward)
        return;
    RunnerState& runner = this->runners.at(attempt.target);
    runner.latencySeconds = updateAverage(runner.latencySeconds, seconds);
    runner.consecutiveFailures = 0;
    ServiceState& service = this->serviceOf(attempt.pending.request.service);
    service.meanLatencySeconds = updateAverage(service.meanLatencySeconds, seconds);
}

void Routing::recordFailure(const Attempt& attempt, Instant now)
{
    if (attempt.isForward) {
        this->peers.at(attempt.target).ejectedUntil = now + peerCooldown;
        return;
    }
    // The penalty keeps a runner that fails immediately from looking like the fastest one.
    RunnerState& runner = this->runners.at(attempt.target);
    const double seconds = std::max(toSeconds(now - attempt.startedAt), minFailureLatencySeconds);
    runner.latencySeconds = std::min(maxFailureLatencySeconds, std::max(2 * runner.latencySeconds, seconds));
    this->ejectIfFailing(runner, now);
}

void Routing::ejectIfFailing(RunnerState& runner, Instant now)
{
    ++runner.consecutiveFailures;
    ServiceState& service = this->serviceOf(runner.host.service);
    // At least half of a service's runners stay in use: if most of them fail, the cause is unlikely to be the runners.
    const bool canEject = this->isUsable(runner) && runner.share > 0 && 2 * (service.ejectedRunners + 1) <= service.liveRunners;
    if (runner.isEjected || runner.consecutiveFailures < failuresBeforeEjection || !canEject)
        return;
    runner.isEjected = true;
    runner.ejectedUntil = now + runnerCooldown;
    ++service.ejectedRunners;
}

void Routing::readmitIfCooledDown(RunnerState& runner, Instant now)
{
    if (!runner.isEjected || now < runner.ejectedUntil)
        return;
    runner.isEjected = false;
    runner.consecutiveFailures = failuresBeforeEjection - 1; // one more failure ejects it again
    --this->serviceOf(runner.host.service).ejectedRunners;
    this->updatePool(runner);
}

void Routing::refreshRunnerHealth(Instant now)
{
    if (now < this->healthRefreshedAt + healthRefreshInterval)
        return;
    this->healthRefreshedAt = now;
    // Latencies decay towards the service's mean, so that a runner that was slow or failed is tried again.
    for (auto& [name, runner] : this->runners) {
        this->readmitIfCooledDown(runner, now);
        auto service = this->services.find(runner.host.service);
        if (service == this->services.end() || runner.latencySeconds == 0)
            continue;
        runner.latencySeconds += latencyDecay * (service->second.meanLatencySeconds - runner.latencySeconds);
        this->updatePool(runner);
    }
}

void Routing::processQueues(Instant now, RoutingEffects& effects)
{
    while (!this->delayedRetries.empty() && this->delayedRetries.begin()->first <= now) {
        PendingRequest pending = std::move(this->delayedRetries.begin()->second);
        this->delayedRetries.erase(this->delayedRetries.begin());
        this->enqueue(std::move(pending), now);
    }
    for (auto& [name, service] : this->services) {
        const auto expired = service.queue->removeIf([&](const PendingRequest& pending) { return pending.request.deadline <= now; });
        for (const PendingRequest& pending : expired)
            this->refuse(pending, RefusalReason::DeadlinePassed, now, effects);
        this->refuseUnreachable(service, now, effects);
        this->dispatch(name, now, effects);
    }
}

// Without this refusal, a request that another entry host forwarded before the evacuation would wait until its deadline
// instead of being sent elsewhere by that host. Requests of a service whose runners are only down keep waiting.
void Routing::refuseUnreachable(ServiceState& service, Instant now, RoutingEffects& effects)
{
    if (!service.hasEvacuatedRunners)
        return;
    const auto unreachable = service.queue->removeIf([&](const PendingRequest& pending) { return this->checkReachability(pending.request, now) == RefusalReason::NoRunner; });
    for (const PendingRequest& pending : unreachable)
        this->refuse(pending, RefusalReason::NoRunner, now, effects);
}

} // namespace dragonflytray
