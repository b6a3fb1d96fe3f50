#pragma once

// The state behind the routing decisions of one entry host.

#include "routing/attempt_timeout.h"
#include "routing/request_queue.h"
#include "routing/routing_commands.h"
#include "routing/routing_effects.h"
#include "routing/routing_queries.h"
#include "routing/runner_choice.h"
#include "routing/runner_pool.h"
#include "routing/share_source.h"
#include "routing/token_bucket.h"
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace dragonflytray {

// Routing owns the state of requests and runners. Not thread-safe: one duty owns it. Deterministic for
// the seed of its options. A command about one request costs time independent of the number of runners,
// but for a choice that scans them; a change of hosts or shares is linear in the hosts.
class Routing {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        std::uint64_t seed { 1 };
        RunnerChoiceKind choice { RunnerChoiceKind::LatencyEightChoices };
        ShareSource shareSource { ShareSource::EvenSplit };
        QueueOrderKind order { QueueOrderKind::WeightedFair };
        ClassFloors floors { 0.5, 0.3, 0.2 };
        bool shouldClaim { true }; // false: a non-idempotent request takes no row in the table
        std::size_t explainedRequests { 1000 }; // requests remembered for explanations
    };

    explicit Routing(Options options);

    // handle() changes the state by one command and returns what has to be done.
    RoutingEffects handle(const RoutingCommand& command, Instant now);

    // ask() answers one query from the state.
    RoutingView ask(const RoutingQuery& query) const;

    // isIdle() says whether every request has had its outcome.
    bool isIdle() const { return this->openCount == 0; }

private:
    using Handler = void (Routing::*)(const RoutingCommand&, Instant, RoutingEffects&);
    static const std::array<Handler, routingCommandNames.size()> handlers;

    // Attempt is one send that has not ended.
    struct Attempt {
        WaitingRequest work;
        HostName target; // runner, or peer of a forward
        bool isForward { false };
        bool isOverLink { false }; // its answer comes over the link between regions
        Instant startedAt;
    };
    // Claim is a request whose row is being written before its only send.
    struct Claim {
        WaitingRequest work;
        Transaction transaction;
        std::optional<Instant> retryAt; // set after an ambiguous answer
        bool isAbandoned { false }; // the request has ended; a row that was written is given back
    };
    // Peer is an entry host of another data centre.
    struct Peer {
        Host host;
        int distance { 1 };
        int outstanding { 0 };
        bool isListed { true };
        Instant restsUntil; // after a failure
    };
    struct ServiceState {
        std::unique_ptr<RequestQueue> queue;
        RunnerPool pool;
        TokenBucket retryBudget;
        double holdSeconds { 0 }; // smoothed time that an attempt holds a slot; 0: not measured
        int slots { 0 }; // shares on live runners
        int runners { 0 }; // live runners with a share
        int resting { 0 }; // of these
        std::size_t claiming { 0 };
        std::set<DataCentreName> sites; // data centres with a live runner
    };

    void submitRequest(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void runnerAnswered(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void runnerFailed(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void callerGone(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void openWatch(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void changeHosts(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void changeConfiguration(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void changeShares(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void transactionResult(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void stopAdmission(const RoutingCommand& command, Instant now, RoutingEffects& effects);
    void tick(const RoutingCommand& command, Instant now, RoutingEffects& effects);

    RoutingView summary(const RoutingQuery& query) const;
    RoutingView explainRequest(const RoutingQuery& query) const;
    static void addTo(RoutingSummary& summary, const ClassSummary& counts);

    // Admission.
    std::optional<Outcome> refusalOf(const Request& request, Instant now);
    std::optional<RefusalReason> reasonToRefuse(const ServiceName& service, const TeamName& team) const;
    std::optional<RefusalReason> reasonUnreachable(const Request& request, Instant now);
    bool isOverTeamQuota(const Request& request) const;
    std::optional<Outcome> deadlineRefusal(const Request& request, Instant now);
    Duration timeToServe(const Request& request);
    double weightOf(const TeamName& team) const;
    bool makeRoom(const Request& request, Instant now, RoutingEffects& effects);
    void enqueue(WaitingRequest work, Instant now);

    // Claims of non-idempotent requests.
    void claim(WaitingRequest work, Instant now, RoutingEffects& effects);
    void releaseClaim(const Request& request, RowVersion version, Instant now, RoutingEffects& effects);
    void endClaim(WaitingRequest work, TransactionStatus status, Instant now, RoutingEffects& effects);
    void abandonClaim(Claim& claim);
    void serveClaims(Instant now, RoutingEffects& effects);
    TransactionId nextTransaction(Instant now);

    // Sending.
    void dispatch(const ServiceName& service, Instant now, RoutingEffects& effects);
    RunnerState* chooseRunner(const WaitingRequest& work, Instant now);
    Peer* choosePeer(const WaitingRequest& work, Instant now);
    bool canForward(const Peer& peer, const WaitingRequest& work, Duration localWait, Instant now);
    void sendTo(RunnerState& runner, WaitingRequest work, Instant now, RoutingEffects& effects);
    void forwardTo(Peer& peer, WaitingRequest work, Instant now, RoutingEffects& effects);
    AttemptId startAttempt(WaitingRequest work, const HostName& target, bool isForward, Instant now);
    std::optional<Attempt> takeAttempt(AttemptId id);
    void freeTarget(const Attempt& attempt);
    void freeRunner(const HostName& name);
    void freePeer(const HostName& name);
    void measureAnswer(const Attempt& attempt, Instant now);
    void measureFailure(const Attempt& attempt, Instant now);
    void retry(WaitingRequest work, RetryReason reason, Instant now, RoutingEffects& effects);
    void serveQueues(Instant now, RoutingEffects& effects);
    void restIfFailing(RunnerState& runner, Instant now);
    void wakeIfRested(RunnerState& runner, Instant now);
    void forgetOldMeasurements(Instant now);

    // Outcomes.
    void end(const WaitingRequest& work, Outcome outcome, Instant now, RoutingEffects& effects);
    void refuse(const WaitingRequest& work, RefusalReason reason, Instant now, RoutingEffects& effects, Duration retryAfter = Duration(0));
    void dropForCaller(const WaitingRequest& work, Instant now, RoutingEffects& effects);
    void close(const WaitingRequest& work);
    void explain(const RequestId& request, std::string step);
    void checkCounts() const;
    std::size_t waitingCount() const;

    // Hosts and shares.
    void listRunner(const Host& host);
    void listPeer(const Host& host);
    void forgetUnlisted();
    void assignShares();
    int shareOf(const RunnerState& runner) const;
    void refresh(RunnerState& runner);
    void reportShares(Instant now, RoutingEffects& effects);
    void reportDemand(Instant now, RoutingEffects& effects);
    SharesHeld sharesHeld() const;
    int distanceTo(const DataCentreName& dataCentre) const;
    void adjustLinkBudget();
    ServiceState& serviceOf(const ServiceName& name);

    Options options;
    std::unique_ptr<RunnerChoice> choice;
    std::mt19937_64 random;
    AttemptTimeouts timeouts;
    DeclarationInForce inForce;
    std::map<HostName, RunnerState> runners;
    std::map<HostName, Peer> peers;
    std::vector<Host> entryHosts;
    std::unordered_map<HostName, int> assignedShares;
    std::uint64_t shareRevision { 0 }; // of the ChangeShares in force
    Instant sharesValidUntil { Instant::max() };
    std::vector<SlotShare> reportedDemand;
    Instant demandReportedAt;
    bool hasFreedShare { false }; // attempts beyond a share have ended since the last report
    TokenBucket linkBudget { {} };
    std::map<ServiceName, ServiceState> services;
    std::unordered_map<TransactionId, Claim> claims;
    std::multimap<Instant, WaitingRequest> delayed; // retries by the time of their next attempt
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<TeamName, std::size_t> openByTeam;
    std::uint64_t lastAttempt { 0 };
    std::uint64_t lastTransaction { 0 };
    std::size_t openCount { 0 }; // requests without an outcome
    std::size_t abandonedClaims { 0 };
    bool isStopping { false };
    Instant measurementsForgottenAt;
    std::uint64_t lateAnswerCount { 0 };
    std::uint64_t forwardedCount { 0 };
    EnumArray<Priority, ClassSummary, priorityNames.size()> classes;
    std::unordered_map<RequestId, std::vector<std::string>> explanations;
    std::deque<RequestId> explainedOrder;
};

} // namespace dragonflytray
