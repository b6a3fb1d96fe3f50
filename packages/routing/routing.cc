#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

// In the order of RoutingCommandKind.
const std::array<Routing::Handler, routingCommandNames.size()> Routing::handlers {
    &Routing::submitRequest,
    &Routing::runnerAnswered,
    &Routing::runnerFailed,
    &Routing::callerGone,
    &Routing::openWatch,
    &Routing::changeHosts,
    &Routing::changeConfiguration,
    &Routing::stopAdmission,
    &Routing::tick,
};

Routing::Routing(Options options)
    : options(std::move(options))
    , choice(makeRunnerChoice(this->options.choice, this->options.seed))
{
}

RoutingEffects Routing::handle(const RoutingCommand& command, Instant now)
{
    RoutingEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    return effects;
}

RoutingView Routing::ask(const RoutingQuery& query) const
{
    using Query = RoutingView (Routing::*)(const RoutingQuery&) const;
    static constexpr std::array<Query, std::variant_size_v<RoutingQuery>> queries { &Routing::summary, &Routing::explainRequest };
    return (this->*queries[query.index()])(query);
}

void Routing::enqueue(Waiting work)
{
    this->queues[work.request.service].push_back(std::move(work));
    ++this->waitingCount;
}

void Routing::dispatch(const ServiceName& service, Instant now, RoutingEffects& effects)
{
    std::deque<Waiting>& queue = this->queues[service];
    while (!queue.empty() && this->sendOne(queue.front(), now, effects)) {
        queue.pop_front();
        --this->waitingCount;
    }
}

bool Routing::sendOne(Waiting& work, Instant now, RoutingEffects& effects)
{
    auto chosen = this->chooseRunner(work);
    if (!chosen)
        return false;
    Runner& runner = this->runners.at(*chosen);
    ++runner.inFlight;
    require(runner.inFlight <= runner.share, "Routing: a runner has more requests than this entry host's share");
    const AttemptId id { ++this->lastAttempt };
    effects.push_back(SendToRunner { id, *chosen, runner.host.endpoint, work.request, this->timeouts.limit(work.request, work.request.deadline - now) });
    this->explain(work.request.id, "Sent to runner " + chosen->value() + ".");
    this->attempts.emplace(id, Attempt { std::move(work), *chosen, now });
    return true;
}

std::optional<HostName> Routing::chooseRunner(const Waiting& work)
{
    std::vector<RunnerCandidate> candidates;
    std::vector<const HostName*> names;
    for (const auto& [name, runner] : this->runners) {
        const bool isFit = runner.host.service == work.request.service && runner.host.state == HostState::Live && name != work.lastRunner;
        if (!isFit || runner.inFlight >= runner.share)
            continue;
        candidates.push_back({ runner.distance, runner.inFlight, runner.share });
        names.push_back(&name);
    }
    auto chosen = this->choice->choose(candidates);
    if (!chosen)
        return std::nullopt;
    return *names[*chosen];
}

std::optional<Routing::Attempt> Routing::takeAttempt(AttemptId id)
{
    auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return std::nullopt;
    Attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    auto runner = this->runners.find(attempt.runner);
    if (runner != this->runners.end())
        --runner->second.inFlight;
    return attempt;
}

void Routing::reply(const Waiting& work, Outcome outcome, RoutingEffects& effects)
{
    effects.push_back(ReplyToCaller { work.token, work.request.source, work.request.id, std::move(outcome) });
}

void Routing::refuse(const Waiting& work, Outcome outcome, RoutingEffects& effects)
{
    ++this->refusals[outcome.reason];
    this->explain(work.request.id, "Ended " + std::string(outcomeKindNames.nameOf(outcome.kind)) + ": " + std::string(refusalReasonNames.nameOf(outcome.reason)) + ".");
    this->reply(work, std::move(outcome), effects);
}

void Routing::explain(const RequestId& request, std::string step)
{
    auto [entry, isNew] = this->explanations.try_emplace(request);
    entry->second.push_back(std::move(step));
    if (!isNew)
        return;
    this->explainedOrder.push_back(request);
    if (this->explainedOrder.size() <= this->options.explainedRequests)
        return;
    this->explanations.erase(this->explainedOrder.front());
    this->explainedOrder.pop_front();
}

int Routing::distanceTo(const DataCentreName& dataCentre) const
{
    if (dataCentre == this->options.dataCentre)
        return 0;
    if (!this->inForce.declaration)
        return 2;
    const RegionDeclaration* own = this->inForce.declaration->findRegionOf(this->options.dataCentre);
    return own && own == this->inForce.declaration->findRegionOf(dataCentre) ? 1 : 2;
}

} // namespace dragonflytray
