#pragma once

// The routing of one entry host: admits requests, queues them, sends them to runners or peers, and retries them.
//
// Example:
//
//     Routing routing({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa") });
//     RoutingEffects effects = routing.handle(RoutingTick {}, now);

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

// Routing owns the state of the requests and runners of one entry host. Every submitted request gets exactly one
// outcome unless its caller leaves first; `require` enforces this after each command. Deterministic for the seed in
// its options. Not thread-safe: one duty owns it.
//
// The cost of a submission or an answer doesn't depend on the number of runners, except with a RunnerChoiceKind that
// scans all of them. A change of the hosts or the shares is linear in the hosts.
class Routing {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        std::uint64_t seed { 1 };
        RunnerChoiceKind runnerChoice { RunnerChoiceKind::LatencyEightChoices };
        ShareSource shareSource { ShareSource::EvenSplit };
        QueueOrderKind queueOrder { QueueOrderKind::WeightedFair };
        ClassFloors floors { 0.5, 0.3, 0.2 };
        bool shouldClaim { true }; // false: non-idempotent requests are not deduplicated by a row in the table
        // False: the owner fails every ForwardToPeer. Then requests of a service with evacuated runners are not forwarded,
        // so that they are refused at once instead of waiting for a forward that never succeeds.
        bool hasForwarding { true };
        std::size_t maxExplainedRequests { 1000 }; // latest requests whose steps are kept
    };

    explicit Routing(Options options);

    // handle() applies one command at the time `now` and returns the effects to execute.
    RoutingEffects handle(const RoutingCommand& command, Instant now);

    // ask() returns the result of one query.
    RoutingView ask(const RoutingQuery& query) const;

    // isIdle() returns true if every submitted request has ended.
    bool isIdle() const { return this->openCount == 0; }

private:
    using Handler = void (Routing::*)(const RoutingCommand&, Instant, RoutingEffects&);
    static const std::array<Handler, routingCommandNames.size()> handlers;

    // Attempt is a request sent to a runner or a peer that has not been answered yet.
    struct Attempt {
        PendingRequest pending;
        HostName target; // a runner, or a peer if `isForward`
        bool isForward { false };
        bool isCrossRegion { false }; // request and answer use the link between regions
        Instant startedAt;
    };
    // Claim is a non-idempotent request that waits until a row with its id is written to the table. If the caller
    // repeats the request, also at another entry host, the repetition finds the row and is refused as a duplicate.
    struct Claim {
        PendingRequest pending;
        Transaction transaction;
        std::optional<Instant> retryAt; // time of the next write after an ambiguous result
        bool isAbandoned { false }; // the request has ended; its row is deleted if it has been written
    };
    // Peer is an entry host of another data centre.
    struct Peer {
        Host host;
        int distance { 1 }; // 1: same region, 2: other region
        int inFlight { 0 }; // attempts through this peer
        bool isListed { true }; // false: no longer in the list of hosts, kept while it has attempts in flight
        Instant ejectedUntil; // gets no attempt before, because of a failure
    };
    struct ServiceState {
        std::unique_ptr<RequestQueue> queue;
        RunnerPool pool;
        TokenBucket retryBudget;
        double meanLatencySeconds { 0 }; // moving average of the time that an attempt occupies a slot; 0: not measured
        int usableSlots { 0 }; // sum of the shares of live runners
        int liveRunners { 0 }; // live runners with a share above 0
        int ejectedRunners { 0 }; // ejected ones among `liveRunners`
        std::size_t claimsInProgress { 0 };
        std::set<DataCentreName> liveDataCentres; // data centres with a live runner, without evacuated ones
        bool hasEvacuatedRunners { false }; // live runners in evacuated data centres
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
    std::optional<Outcome> checkAdmission(const Request& request, Instant now);
    std::optional<RefusalReason> checkServiceAndTeam(const ServiceName& service, const TeamName& team) const;
    std::optional<RefusalReason> checkReachability(const Request& request, Instant now);
    bool isOverTeamQuota(const Request& request) const;
    std::optional<Outcome> checkDeadline(const Request& request, Instant now);
    // estimateQueueDelay() estimates the time that `request` would wait in the queue; 1 s if nothing has been measured.
    Duration estimateQueueDelay(const Request& request);
    double weightOf(const TeamName& team) const;
    // makeRoom() refuses a waiting request if the queue is full. Returns false if `request` itself has to be refused.
    bool makeRoom(const Request& request, Instant now, RoutingEffects& effects);
    void enqueue(PendingRequest pending, Instant now);

    // Deduplication of non-idempotent requests.
    void startClaim(PendingRequest pending, Instant now, RoutingEffects& effects);
    void releaseClaim(const Request& request, RowVersion version, Instant now, RoutingEffects& effects);
    void finishClaim(PendingRequest pending, TransactionStatus status, Instant now, RoutingEffects& effects);
    void abandonClaim(Claim& claim);
    // processClaims() ends claims whose deadline has passed and repeats writes with an ambiguous result.
    void processClaims(Instant now, RoutingEffects& effects);
    TransactionId makeTransactionId(Instant now);

    // Sending.

    // dispatch() sends the requests at the front of the queue as long as a runner or a peer can take them.
    void dispatch(const ServiceName& service, Instant now, RoutingEffects& effects);
    RunnerState* chooseRunner(const PendingRequest& pending, Instant now);
    Peer* choosePeer(const PendingRequest& pending, Instant now);
    // mayForward() says whether this entry host may send the request to a peer at all.
    bool mayForward(const Request& request);
    bool canForward(const Peer& peer, const PendingRequest& pending, Duration localQueueDelay, Instant now);
    void sendToRunner(RunnerState& runner, PendingRequest pending, Instant now, RoutingEffects& effects);
    void forwardToPeer(Peer& peer, PendingRequest pending, Instant now, RoutingEffects& effects);
    AttemptId startAttempt(PendingRequest pending, const HostName& target, bool isForward, Instant now);
    std::optional<Attempt> removeAttempt(AttemptId id);
    void releaseTarget(const Attempt& attempt);
    void releaseRunner(const HostName& name);
    void releasePeer(const HostName& name);
    void recordAnswer(const Attempt& attempt, Instant now);
    void recordFailure(const Attempt& attempt, Instant now);
    void retry(PendingRequest pending, RetryReason reason, Instant now, RoutingEffects& effects);
    // processQueues() enqueues due retries, refuses requests whose deadline has passed, and dispatches all services.
    void processQueues(Instant now, RoutingEffects& effects);
    // refuseUnreachable() refuses waiting requests which no runner can serve because data centres are evacuated.
    void refuseUnreachable(ServiceState& service, Instant now, RoutingEffects& effects);
    // ejectIfFailing() counts a failure, and ejects the runner for a cooldown after several consecutive ones.
    void ejectIfFailing(RunnerState& runner, Instant now);
    void readmitIfCooledDown(RunnerState& runner, Instant now);
    // refreshRunnerHealth() readmits runners after their cooldown and lets measured latencies decay.
    void refreshRunnerHealth(Instant now);

    // Outcomes.

    // complete() ends a request with `outcome`.
    void complete(const PendingRequest& pending, Outcome outcome, Instant now, RoutingEffects& effects);
    // refuse() ends a request without an answer: as NotRun, or as Unknown if it may have been run.
    void refuse(const PendingRequest& pending, RefusalReason reason, Instant now, RoutingEffects& effects, Duration retryAfter = Duration(0));
    void dropForGoneCaller(const PendingRequest& pending, Instant now, RoutingEffects& effects);
    void removeFromOpenCounts(const PendingRequest& pending);
    // recordStep() appends `step` to the explanation of a request.
    void recordStep(const RequestId& request, std::string step);
    // checkInvariants() fails if a request was lost or counted twice.
    void checkInvariants() const;
    std::size_t waitingCount() const;

    // Hosts and shares.
    void updateRunner(const Host& host);
    void updatePeer(const Host& host);
    void removeUnlistedHosts();
    // applyShares() recomputes the share of each runner and the sums per service.
    void applyShares();
    int shareOf(const RunnerState& runner) const;
    bool isLive(const RunnerState& runner) const;
    bool isEvacuated(const DataCentreName& dataCentre) const;
    // isUsable() says whether the runner is live and its data centre is not evacuated.
    bool isUsable(const RunnerState& runner) const;
    // updatePool() adds the runner to the pool of its service, refreshes it there, or removes it.
    void updatePool(RunnerState& runner);
    void reportShares(Instant now, RoutingEffects& effects);
    // reportChangedDemand() reports the shares if the demand differs from the last report, at a limited rate.
    void reportChangedDemand(Instant now, RoutingEffects& effects);
    SharesHeld makeShareReport() const;
    // distanceTo() returns 0 for this data centre, 1 for the same region, 2 for another region.
    int distanceTo(const DataCentreName& dataCentre) const;
    void updateLinkBudget();
    ServiceState& serviceOf(const ServiceName& name);

    Options options;
    std::unique_ptr<RunnerChoice> runnerChoice;
    std::mt19937_64 random;
    AttemptTimeoutEstimator attemptTimeouts;
    DeclarationInForce inForce;
    std::map<HostName, RunnerState> runners;
    std::map<HostName, Peer> peers;
    std::vector<Host> entryHosts; // all listed ones, including this one
    std::unordered_map<HostName, int> assignedShares;
    std::uint64_t shareRevision { 0 }; // of the latest ChangeShares
    Instant sharesValidUntil { Instant::max() }; // no attempt on a runner starts from then on, if shares are assigned
    std::vector<SlotShare> reportedDemand; // `wanted` of the last report
    Instant demandReportedAt;
    bool shouldReportShares { false }; // an attempt beyond a share has ended since the last report
    TokenBucket linkBudget { {} }; // bytes on the link between regions
    std::map<ServiceName, ServiceState> services;
    std::unordered_map<TransactionId, Claim> claims;
    std::multimap<Instant, PendingRequest> delayedRetries; // by the end of their backoff
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<TeamName, std::size_t> openRequestsByTeam;
    std::uint64_t lastAttemptId { 0 };
    std::uint64_t lastTransactionNumber { 0 };
    std::size_t openCount { 0 }; // requests without an outcome
    std::size_t abandonedClaims { 0 }; // those among `claims`
    bool isStopping { false };
    Instant healthRefreshedAt;
    std::uint64_t lateAnswerCount { 0 };
    std::uint64_t forwardedCount { 0 };
    EnumArray<Priority, ClassSummary, priorityNames.size()> classes;
    std::unordered_map<RequestId, std::vector<std::string>> explanations;
    std::deque<RequestId> explanationOrder; // keys of `explanations`, oldest first
};

} // namespace dragonflytray
