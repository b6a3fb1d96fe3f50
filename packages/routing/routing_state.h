#pragma once

// The state behind the routing decisions of one entry host.

#include "routing/attempt_timeout.h"
#include "routing/routing_commands.h"
#include "routing/routing_effects.h"
#include "routing/routing_queries.h"
#include "routing/runner_choice.h"
#include <array>
#include <deque>
#include <map>
#include <unordered_map>

namespace dragonflytray {

// Routing owns the state of requests and runners. Not thread-safe: one duty owns it. Deterministic for
// the seed of its options. A command costs time linear in the runners of one service at most.
class Routing {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        std::uint64_t seed { 1 };
        RunnerChoiceKind choice { RunnerChoiceKind::LeastOutstanding };
        std::size_t explainedRequests { 1000 }; // requests remembered for explanations
    };

    explicit Routing(Options options);

    // handle() changes the state by one command and returns what has to be done.
    RoutingEffects handle(const RoutingCommand& command, Instant now);

    // ask() answers one query from the state.
    RoutingView ask(const RoutingQuery& query) const;

    // isIdle() says whether no request waits or is in flight.
    bool isIdle() const { return this->waitingCount == 0 && this->attempts.empty(); }

private:
    using Handler = void (Routing::*)(const RoutingCommand&, Instant, RoutingEffects&);
    static const std::array<Handler, routingCommandNames.size()> handlers;

    struct Waiting {
        ReplyToken token {};
        Request request;
        int retries { 0 };
        HostName lastRunner; // avoided by a retry
    };
    struct Attempt {
        Waiting work;
        HostName runner;
        Instant sentAt;
    };
    struct Runner {
        Host host;
        int share { 0 };
        int inFlight { 0 };
        int distance { 0 };
    };

    void submitRequest(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void runnerAnswered(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void runnerFailed(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void callerGone(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void openWatch(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void changeHosts(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void changeConfiguration(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void stopAdmission(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void tick(const RoutingCommand& command, Instant now, RoutingEffects& effects);

    RoutingView summary(const RoutingQuery& query) const;
    RoutingView explainRequest(const RoutingQuery& query) const;

    // Shared steps of the handlers.
    std::optional<RefusalReason> reasonToRefuse(const Request& request, Instant now) const;
    void enqueue(Waiting work);
    void dispatch(const ServiceName& service, Instant now, RoutingEffects& effects);
    bool sendOne(Waiting& work, Instant now, RoutingEffects& effects);
    std::optional<HostName> chooseRunner(const Waiting& work);
    std::optional<Attempt> takeAttempt(AttemptId id);
    void reply(const Waiting& work, Outcome outcome, RoutingEffects& effects);
    void refuse(const Waiting& work, Outcome outcome, RoutingEffects& effects);
    void explain(const RequestId& request, std::string step);
    int distanceTo(const DataCentreName& dataCentre) const;

    Options options;
    std::unique_ptr<RunnerChoice> choice;
    AttemptTimeouts timeouts;
    DeclarationInForce inForce;
    std::map<HostName, Runner> runners;
    std::unordered_map<ServiceName, std::deque<Waiting>> queues;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::uint64_t lastAttempt { 0 };
    std::size_t waitingCount { 0 };
    bool isStopping { false };
    std::uint64_t answeredCount { 0 };
    std::uint64_t lateAnswerCount { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
    std::unordered_map<RequestId, std::vector<std::string>> explanations;
    std::deque<RequestId> explainedOrder;
};

} // namespace dragonflytray
