#include "routing/routing_simulation.h"

#include <cmath>

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration deadline = std::chrono::seconds(1);
    constexpr Duration refusalDelay = std::chrono::milliseconds(1); // until a failing runner refuses a request
    constexpr std::size_t queueLimit = 256;

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::string teamOf(Priority priority)
    {
        return "team-" + std::string(priorityNames.nameOf(priority));
    }

} // namespace

RoutingSimulation::RoutingSimulation(Options options)
    : options(std::move(options))
    , routing(this->options.routing)
    , random(this->options.seed)
{
    auto declaration = std::make_shared<Declaration>();
    for (const auto& priority : priorityNames)
        declaration->teams.push_back({ .name = TeamName(teamOf(priority.value)) });
    declaration->services = { { .name = ServiceName("checks"), .queueLimit = queueLimit } };
    this->routing.handle(ChangeConfiguration { { 1, declaration } }, this->now);
    std::vector<Host> hosts;
    for (int i = 0; i < this->options.runners; ++i) {
        Host host;
        host.name = HostName("runner-" + std::to_string(i));
        host.kind = HostKind::Runner;
        host.dataCentre = this->options.routing.dataCentre;
        host.service = ServiceName("checks");
        host.slots = this->options.slots;
        hosts.push_back(host);
    }
    this->routing.handle(ChangeHosts { hosts }, this->now);
}

std::vector<SimulatedLoad> RoutingSimulation::run(Duration duration, std::vector<SimulatedLoad> loads)
{
    this->loads = std::move(loads);
    this->endsAt = this->now + duration;
    for (std::size_t load = 0; load < this->loads.size(); ++load)
        this->scheduleArrival(load);
    while (!this->events.empty() || !this->openRequests.empty()) {
        const bool isTick = this->events.empty() || this->nextTick < this->events.top().at;
        if (isTick) {
            this->tickAt(this->nextTick);
            continue;
        }
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (event.completion)
            this->execute(this->routing.handle(*event.completion, this->now));
        else
            this->submit(event.load);
    }
    return this->loads;
}

void RoutingSimulation::tickAt(Instant at)
{
    this->now = at;
    this->nextTick = at + tickInterval;
    this->execute(this->routing.handle(RoutingTick {}, this->now));
}

void RoutingSimulation::scheduleArrival(std::size_t load)
{
    const Instant at = this->now + fromSeconds(-std::log(1 - this->uniform()) / this->loads[load].requestsPerSecond);
    if (at < this->endsAt)
        this->events.push({ at, load, std::nullopt });
}

void RoutingSimulation::submit(std::size_t load)
{
    this->scheduleArrival(load);
    ++this->loads[load].sent;
    const std::uint64_t token = ++this->lastToken;
    this->openRequests[token] = { load, this->now };
    Request request;
    request.id = RequestId(std::to_string(token));
    request.team = TeamName(teamOf(this->loads[load].priority));
    request.service = ServiceName("checks");
    request.priority = this->loads[load].priority;
    request.idempotency = Idempotency::Idempotent;
    request.deadline = this->now + deadline;
    this->execute(this->routing.handle(SubmitRequest { ReplyToken(token), request }, this->now));
}

void RoutingSimulation::execute(const RoutingEffects& effects)
{
    for (const RoutingEffect& effect : effects) {
        if (const auto* send = std::get_if<SendToRunner>(&effect))
            this->scheduleAnswer(*send);
        if (const auto* reply = std::get_if<ReplyToCaller>(&effect))
            this->recordOutcome(*reply);
    }
}

void RoutingSimulation::scheduleAnswer(const SendToRunner& send)
{
    ++this->sentAttemptCount;
    const int runner = std::stoi(send.runner.value().substr(std::string("runner-").size()));
    if (runner < this->options.failingFraction * this->options.runners) {
        this->events.push({ this->now + refusalDelay, 0, RunnerFailed { send.attempt, RetryReason::RunnerRefused, true } });
        return;
    }
    const bool isSlow = runner >= (1 - this->options.slowFraction) * this->options.runners;
    const double seconds = this->options.meanAnswerSeconds * (0.5 + this->uniform()) * (isSlow ? this->options.slowFactor : 1);
    this->events.push({ this->now + fromSeconds(seconds), 0, RunnerAnswered { send.attempt, {} } });
}

void RoutingSimulation::recordOutcome(const ReplyToCaller& reply)
{
    auto found = this->openRequests.find(static_cast<std::uint64_t>(reply.token));
    require(found != this->openRequests.end(), "RoutingSimulation: a request got two outcomes");
    SimulatedLoad& load = this->loads[found->second.load];
    if (reply.outcome.kind == OutcomeKind::Answered) {
        ++load.answered;
        load.answeredBeforeEnd += this->now <= this->endsAt ? 1 : 0;
        load.latencies.push_back(toSeconds(this->now - found->second.submittedAt));
    }
    this->openRequests.erase(found);
}

} // namespace dragonflytray
