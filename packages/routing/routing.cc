#include "routing/routing.h"

#include <utility>

namespace dragonflytray {

namespace {

    constexpr std::size_t explainedSteps = 24; // of one request id, which callers may repeat
    constexpr TokenBucket::Options retryBudgetOptions { .perSecond = 1, .capacity = 10 }; // the floor of retries, and the burst

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
    , choice(makeRunnerChoice(this->options.choice, this->options.seed))
    , random(this->options.seed)
{
}

RoutingEffects Routing::handle(const RoutingCommand& command, Instant now)
{
    RoutingEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    if (std::exchange(this->hasFreedShare, false))
        this->reportShares(now, effects);
    this->checkCounts();
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
    ServiceState state { makeRequestQueue(this->options.order, this->options.floors), {}, TokenBucket(retryBudgetOptions), 0, 0, 0, 0, 0, {} };
    return this->services.emplace(name, std::move(state)).first->second;
}

void Routing::end(const WaitingRequest& work, Outcome outcome, Instant now, RoutingEffects& effects)
{
    require(outcome.kind != OutcomeKind::NotRun || !work.mayHaveRun, "Routing: NotRun was said after a send that may have been run");
    if (outcome.kind == OutcomeKind::NotRun && work.claim != 0)
        this->releaseClaim(work.request, work.claim, now, effects);
    this->close(work);
    effects.push_back(ReplyToCaller { work.token, work.request.source, work.request.id, std::move(outcome) });
}

void Routing::refuse(const WaitingRequest& work, RefusalReason reason, Instant now, RoutingEffects& effects, Duration retryAfter)
{
    ++this->classes[work.request.priority].refusals[reason];
    Outcome outcome = work.mayHaveRun ? unknown(reason) : notRun(reason, {}, retryAfter);
    this->explain(work.request.id, "Ended " + std::string(outcomeKindNames.nameOf(outcome.kind)) + ": " + std::string(refusalReasonNames.nameOf(reason)) + ".");
    this->end(work, std::move(outcome), now, effects);
}

void Routing::close(const WaitingRequest& work)
{
    require(this->openCount > 0, "Routing: a request had more than one outcome");
    --this->openCount;
    auto open = this->openByTeam.find(work.request.team);
    require(open != this->openByTeam.end(), "Routing: a team's request was not counted");
    if (--open->second == 0)
        this->openByTeam.erase(open);
}

void Routing::explain(const RequestId& request, std::string step)
{
    auto [entry, isNew] = this->explanations.try_emplace(request);
    if (entry->second.size() < explainedSteps)
        entry->second.push_back(std::move(step));
    if (!isNew)
        return;
    this->explainedOrder.push_back(request);
    if (this->explainedOrder.size() <= this->options.explainedRequests)
        return;
    this->explanations.erase(this->explainedOrder.front());
    this->explainedOrder.pop_front();
}

std::size_t Routing::waitingCount() const
{
    std::size_t sum = this->delayed.size() + this->claims.size() - this->abandonedClaims;
    for (const auto& [name, service] : this->services)
        sum += service.queue->size();
    return sum;
}

void Routing::checkCounts() const
{
    // Every open request is in exactly one place, so that none is lost and none ends twice.
    require(this->openCount == this->waitingCount() + this->attempts.size(), "Routing: open requests and their places don't add up");
    require(this->explainedOrder.size() <= this->options.explainedRequests, "Routing: explanations grow without bound");
    require(this->openByTeam.size() <= this->openCount, "Routing: a team without open requests is still counted");
}

int Routing::distanceTo(const DataCentreName& dataCentre) const
{
    if (dataCentre == this->options.dataCentre)
        return 0;
    if (!this->inForce.declaration)
        return otherRegion;
    const RegionDeclaration* own = this->inForce.declaration->findRegionOf(this->options.dataCentre);
    return own && own == this->inForce.declaration->findRegionOf(dataCentre) ? 1 : otherRegion;
}

} // namespace dragonflytray
