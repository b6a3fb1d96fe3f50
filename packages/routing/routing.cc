#include "routing/routing.h"

#include <utility>

namespace dragonflytray {

namespace {

    constexpr std::size_t maxStepsPerExplanation = 24; // a bound, because callers may repeat a request id without end
    // The retries that a service may make without any answer: a rate and a burst. Answers add to it by the retry
    // share of the service.
    constexpr TokenBucket::Options retryBudgetOptions { .tokensPerSecond = 1, .capacity = 10 };

} // namespace

// In the order of RoutingCommandKind.
const std::array<Routing::Handler, routingCommandNames.size()> Routing::handlers {
    &Routing::submitRequest,
    &Routing::runnerAnswered,
    &Routing::runnerFailed,
    &Routing::callerGone,
    &Routing::openWatch,
    &Routing::changeHosts,
    &Routing::changeConfiguration,
    &Routing::changeShares,
    &Routing::transactionResult,
    &Routing::stopAdmission,
    &Routing::tick,
};

Routing::Routing(Options options)
    : options(std::move(options))
    , runnerChoice(makeRunnerChoice(this->options.runnerChoice, this->options.seed))
    , random(this->options.seed)
{
}

RoutingEffects Routing::handle(const RoutingCommand& command, Instant now)
{
    RoutingEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    if (std::exchange(this->shouldReportShares, false))
        this->reportShares(now, effects);
    this->checkInvariants();
    return effects;
}

RoutingView Routing::ask(const RoutingQuery& query) const
{
    using Query = RoutingView (Routing::*)(const RoutingQuery&) const;
    static constexpr std::array<Query, std::variant_size_v<RoutingQuery>> queries { &Routing::summary, &Routing::explainRequest };
    return (this->*queries[query.index()])(query);
}

Routing::ServiceState& Routing::serviceOf(const ServiceName& name)
{
    auto found = this->services.find(name);
    if (found != this->services.end())
        return found->second;
    ServiceState state { makeRequestQueue(this->options.queueOrder, this->options.floors), {}, TokenBucket(retryBudgetOptions), 0, 0, 0, 0, 0, {}, false };
    return this->services.emplace(name, std::move(state)).first->second;
}

void Routing::complete(const PendingRequest& pending, Outcome outcome, Instant now, RoutingEffects& effects)
{
    require(outcome.kind != OutcomeKind::NotRun || !pending.mayHaveRun, "Routing: NotRun was reported for a request that may have been run");
    if (outcome.kind == OutcomeKind::NotRun && pending.claimVersion != 0)
        this->releaseClaim(pending.request, pending.claimVersion, now, effects);
    this->removeFromOpenCounts(pending);
    effects.push_back(ReplyToCaller { pending.token, pending.request.source, pending.request.id, std::move(outcome) });
}

void Routing::refuse(const PendingRequest& pending, RefusalReason reason, Instant now, RoutingEffects& effects, Duration retryAfter)
{
    ++this->classes[pending.request.priority].refusals[reason];
    Outcome outcome = pending.mayHaveRun ? unknown(reason) : notRun(reason, {}, retryAfter);
    this->recordStep(pending.request.id, "Ended as " + std::string(outcomeKindNames.nameOf(outcome.kind)) + ": " + std::string(refusalReasonNames.nameOf(reason)) + ".");
    this->complete(pending, std::move(outcome), now, effects);
}

void Routing::removeFromOpenCounts(const PendingRequest& pending)
{
    require(this->openCount > 0, "Routing: a request had more than one outcome");
    --this->openCount;
    auto open = this->openRequestsByTeam.find(pending.request.team);
    require(open != this->openRequestsByTeam.end(), "Routing: an open request is missing from the count of its team");
    if (--open->second == 0)
        this->openRequestsByTeam.erase(open);
}

void Routing::recordStep(const RequestId& request, std::string step)
{
    auto [entry, isNew] = this->explanations.try_emplace(request);
    if (entry->second.size() < maxStepsPerExplanation)
        entry->second.push_back(std::move(step));
    if (!isNew)
        return;
    this->explanationOrder.push_back(request);
    if (this->explanationOrder.size() <= this->options.maxExplainedRequests)
        return;
    this->explanations.erase(this->explanationOrder.front());
    this->explanationOrder.pop_front();
}

std::size_t Routing::waitingCount() const
{
    std::size_t sum = this->delayedRetries.size() + this->claims.size() - this->abandonedClaims;
    for (const auto& [name, service] : this->services)
        sum += service.queue->size();
    return sum;
}

void Routing::checkInvariants() const
{
    // Every open request is in exactly one container; otherwise one was lost or ended twice.
    require(this->openCount == this->waitingCount() + this->attempts.size(), "Routing: the number of open requests differs from the sum over the queues, claims, retries and attempts");
    require(this->explanationOrder.size() <= this->options.maxExplainedRequests, "Routing: more explanations are kept than the limit allows");
    require(this->openRequestsByTeam.size() <= this->openCount, "Routing: a team without open requests has an entry in the counts per team");
}

int Routing::distanceTo(const DataCentreName& dataCentre) const
{
    if (dataCentre == this->options.dataCentre)
        return 0;
    if (!this->inForce.declaration)
        return crossRegionDistance;
    const RegionDeclaration* own = this->inForce.declaration->findRegionOf(this->options.dataCentre);
    return own && own == this->inForce.declaration->findRegionOf(dataCentre) ? 1 : crossRegionDistance;
}

} // namespace dragonflytray
