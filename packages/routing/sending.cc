#include "routing/routing.h"

#include <cmath>

namespace dragonflytray {

namespace {

    constexpr double smoothing = 0.2; // weight of the newest sample
    constexpr double failureSeconds = 0.1; // least answer time that a failure counts as
    constexpr double longestSeconds = 10; // most that failures add up to
    constexpr int forwardsPerPeer = 32; // attempts at a time
    constexpr Duration peerRest = std::chrono::milliseconds(500); // after a peer's failure
    constexpr int failuresBeforeRest = 3; // in a row
    constexpr Duration runnerRest = std::chrono::seconds(1);
    // Waits at home that are worth a forward: above the round trip within a region and between regions.
    constexpr Duration waitWorthNearForward = std::chrono::milliseconds(10);
    constexpr Duration waitWorthFarForward = std::chrono::milliseconds(100);
    constexpr Duration forgetInterval = std::chrono::milliseconds(200);
    constexpr double forgetShare = 0.02; // of the difference to the service's mean, each interval

    double smooth(double former, double sample)
    {
        return former == 0 ? sample : former + smoothing * (sample - former);
    }

    double sizeOf(const Request& request)
    {
        return request.body ? static_cast<double>(request.body->size()) : 0;
    }

} // namespace

void Routing::dispatch(const ServiceName& service, Instant now, RoutingEffects& effects)
{
    RequestQueue& queue = *this->serviceOf(service).queue;
    while (const WaitingRequest* next = queue.front()) {
        if (RunnerState* runner = this->chooseRunner(*next, now))
            this->sendTo(*runner, queue.take(), now, effects);
        else if (Peer* peer = this->choosePeer(*next, now))
            this->forwardTo(*peer, queue.take(), now, effects);
        else
            break;
    }
}

RunnerState* Routing::chooseRunner(const WaitingRequest& work, Instant now)
{
    if (this->options.shareSource == ShareSource::Assigned && now >= this->sharesValidUntil)
        return nullptr;
    RunnerPool& pool = this->serviceOf(work.request.service).pool;
    if (pool.isEmpty())
        return nullptr;
    auto avoided = this->runners.find(work.lastTarget);
    return pool.choose(*this->choice, avoided == this->runners.end() ? nullptr : &avoided->second);
}

Routing::Peer* Routing::choosePeer(const WaitingRequest& work, Instant now)
{
    if (work.request.source == RequestSource::Peer)
        return nullptr;
    const ServiceState& service = this->serviceOf(work.request.service);
    const bool isServedHere = service.slots > 0;
    const Duration localWait = isServedHere ? this->timeToServe(work.request) : Duration::max();
    Peer* best = nullptr;
    for (auto& [name, peer] : this->peers) {
        if (!service.sites.contains(peer.host.dataCentre) || !this->canForward(peer, work, localWait, now))
            continue;
        const bool isBetter = !best || peer.distance < best->distance || (peer.distance == best->distance && peer.outstanding < best->outstanding);
        best = isBetter ? &peer : best;
    }
    return best;
}

bool Routing::canForward(const Peer& peer, const WaitingRequest& work, Duration localWait, Instant now)
{
    const bool isOpen = peer.isListed && peer.host.state == HostState::Live && now >= peer.restsUntil && peer.outstanding < forwardsPerPeer;
    if (!isOpen || peer.host.name == work.lastTarget)
        return false;
    if (peer.distance < otherRegion)
        return localWait > waitWorthNearForward;
    return localWait > waitWorthFarForward && this->linkBudget.has(now, sizeOf(work.request));
}

void Routing::sendTo(RunnerState& runner, WaitingRequest work, Instant now, RoutingEffects& effects)
{
    require(runner.inFlight < runner.share, "Routing: an attempt would exceed this entry host's share");
    ++runner.inFlight;
    this->refresh(runner);
    this->explain(work.request.id, "Sent to runner " + runner.host.name.value() + ".");
    Request request = work.request;
    const Duration timeout = this->timeouts.limit(request, request.deadline - now);
    const AttemptId id = this->startAttempt(std::move(work), runner.host.name, false, now);
    effects.push_back(SendToRunner { id, runner.host.name, runner.host.endpoint, std::move(request), timeout });
}

void Routing::forwardTo(Peer& peer, WaitingRequest work, Instant now, RoutingEffects& effects)
{
    ++peer.outstanding;
    ++this->forwardedCount;
    const bool isOverLink = peer.distance >= otherRegion;
    if (isOverLink)
        this->linkBudget.spend(sizeOf(work.request));
    this->explain(work.request.id, "Forwarded to entry host " + peer.host.name.value() + ".");
    Request request = work.request;
    const Duration timeout = this->timeouts.limit(request, request.deadline - now);
    const AttemptId id = this->startAttempt(std::move(work), peer.host.name, true, now);
    this->attempts.at(id).isOverLink = isOverLink;
    effects.push_back(ForwardToPeer { id, peer.host.name, peer.host.peerEndpoint, std::move(request), timeout });
}

AttemptId Routing::startAttempt(WaitingRequest work, const HostName& target, bool isForward, Instant now)
{
    require(work.request.idempotency == Idempotency::Idempotent || !work.mayHaveRun, "Routing: a non-idempotent request would be sent after a send that may have been run");
    this->classes[work.request.priority].stages[RequestStage::Queue].record(now - work.queuedAt);
    const AttemptId id { ++this->lastAttempt };
    this->attempts.emplace(id, Attempt { std::move(work), target, isForward, false, now });
    return id;
}

std::optional<Routing::Attempt> Routing::takeAttempt(AttemptId id)
{
    auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return std::nullopt;
    Attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    return attempt;
}

void Routing::freeTarget(const Attempt& attempt)
{
    if (attempt.isForward)
        this->freePeer(attempt.target);
    else
        this->freeRunner(attempt.target);
}

void Routing::freeRunner(const HostName& name)
{
    RunnerState& runner = this->runners.at(name);
    require(runner.inFlight > 0, "Routing: a runner's attempt ended twice");
    --runner.inFlight;
    this->hasFreedShare = this->hasFreedShare || runner.inFlight >= runner.share;
    this->refresh(runner);
    if (!runner.isListed && runner.inFlight == 0)
        this->runners.erase(name);
}

void Routing::freePeer(const HostName& name)
{
    Peer& peer = this->peers.at(name);
    --peer.outstanding;
    if (!peer.isListed && peer.outstanding == 0)
        this->peers.erase(name);
}

void Routing::measureAnswer(const Attempt& attempt, Instant now)
{
    const double seconds = toSeconds(now - attempt.startedAt);
    this->timeouts.observe(attempt.work.request.service, now - attempt.startedAt);
    this->classes[attempt.work.request.priority].stages[RequestStage::Runner].record(now - attempt.startedAt);
    if (attempt.isForward)
        return;
    RunnerState& runner = this->runners.at(attempt.target);
    runner.answerSeconds = smooth(runner.answerSeconds, seconds);
    runner.failuresInRow = 0;
    ServiceState& service = this->serviceOf(attempt.work.request.service);
    service.holdSeconds = smooth(service.holdSeconds, seconds);
}

void Routing::measureFailure(const Attempt& attempt, Instant now)
{
    if (attempt.isForward) {
        this->peers.at(attempt.target).restsUntil = now + peerRest;
        return;
    }
    // A runner that fails at once must not look like the quickest one.
    RunnerState& runner = this->runners.at(attempt.target);
    const double seconds = std::max(toSeconds(now - attempt.startedAt), failureSeconds);
    runner.answerSeconds = std::min(longestSeconds, std::max(2 * runner.answerSeconds, seconds));
    this->restIfFailing(runner, now);
}

void Routing::restIfFailing(RunnerState& runner, Instant now)
{
    ++runner.failuresInRow;
    ServiceState& service = this->serviceOf(runner.host.service);
    // When most of a service fails, the cause is hardly its runners: half of them stay in use.
    const bool canRest = runner.isListed && runner.host.state == HostState::Live && runner.share > 0 && 2 * (service.resting + 1) <= service.runners;
    if (runner.isResting || runner.failuresInRow < failuresBeforeRest || !canRest)
        return;
    runner.isResting = true;
    runner.restsUntil = now + runnerRest;
    ++service.resting;
}

void Routing::wakeIfRested(RunnerState& runner, Instant now)
{
    if (!runner.isResting || now < runner.restsUntil)
        return;
    runner.isResting = false;
    runner.failuresInRow = failuresBeforeRest - 1; // one more failure sends it back
    --this->serviceOf(runner.host.service).resting;
    this->refresh(runner);
}

void Routing::forgetOldMeasurements(Instant now)
{
    if (now < this->measurementsForgottenAt + forgetInterval)
        return;
    this->measurementsForgottenAt = now;
    // Answer times drift to the mean, so that a runner that was slow or failed is tried again.
    for (auto& [name, runner] : this->runners) {
        this->wakeIfRested(runner, now);
        auto service = this->services.find(runner.host.service);
        if (service == this->services.end() || runner.answerSeconds == 0)
            continue;
        runner.answerSeconds += forgetShare * (service->second.holdSeconds - runner.answerSeconds);
        this->refresh(runner);
    }
}

void Routing::serveQueues(Instant now, RoutingEffects& effects)
{
    while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
        WaitingRequest work = std::move(this->delayed.begin()->second);
        this->delayed.erase(this->delayed.begin());
        this->enqueue(std::move(work), now);
    }
    for (auto& [name, service] : this->services) {
        const auto expired = service.queue->takeIf([&](const WaitingRequest& work) { return work.request.deadline <= now; });
        for (const WaitingRequest& work : expired)
            this->refuse(work, RefusalReason::DeadlinePassed, now, effects);
        this->dispatch(name, now, effects);
    }
}

} // namespace dragonflytray
