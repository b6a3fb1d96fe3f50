#pragma once

// Batch schedules the jobs of one data centre: it keeps their states, elects the leader, places jobs on workers and
// renews the leases of running attempts. Include `batch/batch.h`, which has an example.

#include "batch/batch_commands.h"
#include "batch/batch_effects.h"
#include "batch/batch_queries.h"
#include "batch/data_centre_choice.h"
#include "batch/placement_strategy.h"
#include "capacity/capacity.h"
#include <array>
#include <deque>
#include <map>
#include <memory>

namespace dragonflytray {

// Batch holds what one entry host knows about jobs and workers. Every entry host keeps one and accepts submissions
// and cancellations; the leader of the data centre also places jobs and contacts workers. Not thread-safe: one duty
// owns it. A job and its attempts are recorded in the platform's table, and every write is conditional on the versions
// of the rows that it depends on.
//
// Two rules keep a job from running on two workers at a time. Each duration is measured on one clock; times of
// different hosts are never compared.
// - A worker ends an attempt whose lease was not renewed for `workerLease`. The leader assumes that the lease was
//   renewed by the last contact that listed the attempt, answered or not, and waits for `workerLease`,
//   `maxContactDelay` and `leaseMargin` from then on before it starts the job again.
// - A leader that can't reach the table starts nothing, but goes on renewing leases for at most `maxOutageDuration`
//   after it sent its last committed renewal. The next leader sends a higher epoch; once a worker has answered it, the
//   worker rejects the previous leader. Until then the next leader assumes that attempts on that worker may be alive
//   until the previous leader's `maxOutageDuration` has passed.
//
// While the data centre is evacuated, the leader places nothing and moves queued jobs to other data centres by writing
// their rows. The leader there reads the row and places the job.
class Batch {
public:
    struct Options {
        HostName self; // name of this entry host
        DataCentreName dataCentre;
        Duration leaderLease { std::chrono::seconds(6) };
        Duration workerLease { std::chrono::seconds(10) };
        Duration leaseMargin { std::chrono::seconds(2) }; // for clock drift and short pauses of a process; also the longest silence of the store before submissions are refused
        Duration maxContactDelay { std::chrono::seconds(2) }; // one way, from sending to arrival at the worker
        Duration renewalTimeout { std::chrono::seconds(5) }; // without an answer for this long, a worker's leases are not renewed
        Duration maxOutageDuration { std::chrono::minutes(75) }; // leases are renewed this long without the table
        Duration tableReadInterval { std::chrono::milliseconds(500) };
        Duration contactInterval { std::chrono::seconds(1) };
        Duration leaseCheckInterval { std::chrono::milliseconds(500) };
        Duration ambiguousRetryInterval { std::chrono::milliseconds(500) }; // of a transaction that may have been applied
        Duration submitterTimeout { std::chrono::seconds(8) }; // then an unrecorded submission ends as unknown, a cancellation as refused
        std::size_t maxTransitionsPerTransaction { 32 };
        std::size_t maxCancellationsPerTransaction { 128 };
        std::size_t maxSubmissionsInFlight { 512 };
        std::size_t maxPendingCancellations { 8192 };
        PlacementPolicy placementPolicy { PlacementPolicy::Scored };
        std::shared_ptr<const PlacementPenalty> penalty {}; // none: placement ignores interference
        double repeatedFailureCost { 10 }; // added to the cost of a worker on which the job failed before
        Duration placementBackoff { std::chrono::milliseconds(500) }; // after a placement pass that placed nothing
        std::size_t maxSearchesPerPass { 64 }; // searches over all workers
        std::size_t maxExaminedJobsPerPass { 4096 }; // bounds a pass over a long queue
        std::size_t maxEvictionSearchesPerPass { 4 };
        Duration evictionCooldown { std::chrono::seconds(5) }; // of a worker, so that an eviction's effect is measured before the next
        Duration initialRetryBackoff { std::chrono::seconds(1) }; // minimum before the first retry; doubles with each failure
        std::uint32_t quarantineThreshold { 3 }; // consecutive failures of jobs that failed on no other worker
        Duration initialQuarantine { std::chrono::seconds(30) }; // doubles each time that the trial task after a quarantine fails
        std::size_t parkingThreshold { 3 }; // number of healthy workers on which a job has failed
        std::size_t maxEndedJobsInMemory { 2000 }; // their rows stay in the table
    };

    explicit Batch(Options options);

    // handle() applies one command and returns the effects, which the caller executes in their order. Aborts when an
    // invariant is broken. A tick is linear in workers, attempts, pending writes and the queued jobs that it examines;
    // in addition each search for a worker is linear in workers, and each search for an eviction in attempts.
    BatchEffects handle(const BatchCommand& command, Instant now);

    // ask() answers one query and changes nothing.
    BatchView ask(const BatchQuery& query, Instant now) const;

private:
    using Handler = void (Batch::*)(const BatchCommand&, Instant, BatchEffects&);
    static const std::array<Handler, batchCommandNames.size()> handlers;

    // WaitingKey orders the queue by priority, most urgent first, then by the order of acceptance.
    struct WaitingKey {
        Priority priority { Priority::Normal };
        RowVersion acceptedVersion { 0 };
        JobId job;

        auto operator<=>(const WaitingKey&) const = default;
    };
    // JobEntry is a job as last read or written, with what this host derived from it.
    struct JobEntry {
        Job job;
        RowVersion version { 0 };
        RowVersion firstVersion { 0 };
        bool isWriteInFlight { false }; // a transaction on its row
        std::optional<Job> unrecordedEnd; // how the attempt ended, not yet written to the table
        Instant stateSince; // when this host first saw the state
        Instant lastConfirmedAt; // when the last answered contact with the worker was sent
        Instant lastPossibleRenewal; // latest time at which the worker may have received a renewal
        std::uint64_t lastContactNumber { 0 }; // of the last contact that covered the attempt; 0: none
        Instant retryNotBefore; // earliest start of the next attempt
        Instant lastCheckpointAt; // when the checkpoint last changed, or the attempt started
        JobId victim; // the job last evicted to free capacity for this one
        double chargedProcessors { 0 }; // against the team's quota
        std::optional<WaitingKey> waitingKey; // set while the job is in `waitingJobs`
        HostName heldOn; // set while the job is in the worker's `heldJobs`
    };
    // Worker is a worker of this data centre with the attempts that may run on it.
    struct Worker {
        Host host;
        bool isListed { false };
        bool isContactInFlight { false };
        std::uint64_t contactCount { 0 };
        Instant contactSentAt;
        Instant nextContact;
        std::map<JobId, JobEntry*> heldJobs;
        std::uint32_t consecutiveFailures { 0 };
        Instant quarantinedUntil;
        Instant nextEviction;
    };
    // UsageRatio is the largest quotient of measured usage and the need reserved at that time, for one class.
    struct UsageRatio {
        double processors { 1 };
        double memory { 1 };
    };
    // PlacementPass collects the results and the costs of one pass over the queue.
    struct PlacementPass {
        std::vector<Job> placed;
        std::vector<Job> evicted;
        std::vector<JobEntry*> overQuota; // in queue order
        std::vector<Capacity> unplaceableNeeds; // needs for which a search found no worker
        bool hasUnplacedJob { false };
        std::size_t searches { 0 };
        std::size_t examinedJobs { 0 };
        std::size_t evictionSearches { 0 };
    };
    // Purpose is the reason for which a transaction was sent.
    enum class Purpose {
        AcquireLeadership,
        RenewLeadership,
        Submission,
        Cancellation,
        Transitions,
    };
    struct PendingTransaction {
        Purpose purpose { Purpose::Transitions };
        Transaction transaction;
        Instant sentAt; // first send; a repeat does not change it
        ReplyToken token {}; // submissions only
        bool isAmbiguous { false }; // an earlier send may have been applied
        bool isInFlight { true };
        Instant nextSend; // set when an ambiguous transaction waits for its repeat
    };
    // Cancellation is the pending cancellation of one job, with everyone who requested it.
    struct Cancellation {
        std::vector<ReplyToken> tokens;
        Instant requestedAt;
    };

    void submitJob(const BatchCommand& command, Instant now, BatchEffects& effects);
    void cancelJob(const BatchCommand& command, Instant now, BatchEffects& effects);
    void transactionEnded(const BatchCommand& command, Instant now, BatchEffects& effects);
    void rowsRead(const BatchCommand& command, Instant now, BatchEffects& effects);
    void workerReported(const BatchCommand& command, Instant now, BatchEffects& effects);
    void workerUnreachable(const BatchCommand& command, Instant now, BatchEffects& effects);
    void changeHosts(const BatchCommand& command, Instant now, BatchEffects& effects);
    void changeConfiguration(const BatchCommand& command, Instant now, BatchEffects& effects);
    void tick(const BatchCommand& command, Instant now, BatchEffects& effects);

    BatchView listJobs(const BatchQuery& query, Instant now) const;
    BatchView explainJob(const BatchQuery& query, Instant now) const;
    BatchView summary(const BatchQuery& query, Instant now) const;
    std::string waitingReason(const JobEntry& entry, Instant now) const;

    // Leadership.
    bool isLeaderRowHolder() const;
    bool isLeader(Instant now) const;
    bool mayDecide(Instant now) const;
    bool mayRenewTaskLeases(Instant now) const;
    void maintainLeadership(Instant now, BatchEffects& effects);
    void acquireLeadership(Instant now, BatchEffects& effects);
    void renewLeadership(Instant now, BatchEffects& effects);
    void leadershipWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now);
    void leadershipAcquired(const PendingTransaction& pending, RowVersion version, Instant now);
    void leaderRowChanged(const LeaderRow& row, RowVersion version);

    // Placement and tasks.
    void placeQueuedJobs(Instant now, BatchEffects& effects);
    void placeWithinQuota(PlacementPass& pass, Instant now);
    bool isPassLimitReached(const PlacementPass& pass) const;
    void placeJob(JobEntry& entry, PlacementPass& pass, Instant now);
    std::optional<HostName> chooseWorker(const Job& job, Instant now) const;
    bool isAcceptingTasks(const Worker& worker, Instant now) const;
    void evictFor(JobEntry& entry, PlacementPass& pass, Instant now);
    double evictionCost(const JobEntry& held, Instant now) const;
    double quotaOf(const TeamName& team) const;
    bool isWithinQuota(const Job& job) const;
    void charge(JobEntry& entry, double processors);
    Capacity expectedNeed(const Job& job) const;
    bool fitsAnyWorker(const Capacity& need) const;
    void applyMeasuredUsage(JobEntry& entry, const Capacity& usage);
    void recordWorkerFailure(Worker& worker, const Job& job, Instant now);
    void recordWorkerSuccess(Worker& worker);
    Job jobAfterFailedAttempt(const JobEntry& entry, const Worker& worker) const;
    Duration retryBackoff(const Job& job) const;
    void contactWorkers(Instant now, BatchEffects& effects);
    ContactWorker composeContact(Worker& worker, Instant now);
    void addTaskToContact(ContactWorker& contact, JobEntry& entry, Instant now) const;
    void expireLeases(Instant now);
    void applyReport(const TaskReport& report, JobEntry& entry, Worker& worker, Instant now);
    void queueAttemptEnd(JobEntry& entry, Job job);

    // Evacuation.
    bool isEvacuated() const;
    void withdrawUnsentStarts();
    void moveQueuedJobs(Instant now, BatchEffects& effects);
    DataCentreLoads dataCentreLoads() const;

    // Transactions.
    void writeJobs(std::vector<Job> jobs, Instant now, BatchEffects& effects);
    void writeUnrecordedEnds(Instant now, BatchEffects& effects);
    void writeCancellations(Instant now, BatchEffects& effects);
    void answerCancellation(const JobId& id, SubmissionStatus status, BatchEffects& effects);
    void sendTransaction(PendingTransaction pending, Instant now, BatchEffects& effects);
    void resendAmbiguousTransactions(Instant now, BatchEffects& effects);
    bool retryIfAmbiguous(PendingTransaction& pending, const TransactionResult& result, Instant now);
    void submissionWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects);
    void cancellationWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects);
    void transitionWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now);
    void recordStoreResponse(bool hasAnswered, Instant now);

    // Jobs as read from the table, and the indexes over them.
    void applyRow(const RowChange& row, Instant now);
    void applyJobRow(const Job& job, RowVersion version, Instant now);
    void indexJob(JobEntry& entry);
    void unindexJob(JobEntry& entry);
    void pruneEndedJobs();

    Options options;
    DeclarationInForce inForce;
    std::map<HostName, Worker> workers; // of this data centre: listed, or with an attempt that has not ended
    DataCentreChoice dataCentreChoice;
    CapacityReservations capacityReservations;
    std::map<JobId, JobEntry> jobs;
    std::map<WaitingKey, JobEntry*> waitingJobs; // queued jobs of this data centre
    std::map<TeamName, double> teamProcessors; // running or about to start, in all data centres
    std::map<RackName, std::size_t> heldJobsInRack;
    std::map<BatchClassName, UsageRatio> usageRatios;
    Instant nextPlacement;
    std::deque<JobId> endedJobs; // oldest first
    std::deque<JobId> unrecordedEndQueue; // jobs with an `unrecordedEnd`, oldest first
    std::map<JobId, Cancellation> cancellations;

    std::optional<LeaderRow> leaderRow;
    RowVersion leaderVersion { 0 };
    RowVersion renewalVersion { 0 };
    std::uint64_t renewalCount { 0 };
    Instant renewalSeenAt; // last change of the renewal row, or the first read by this process
    Epoch ownEpoch { 0 }; // acquired by this process; 0: none
    Instant ownRenewalSentAt; // send time of this host's last committed renewal
    Instant leaseEnd; // of this host's own leader lease
    Instant previousLeaderRenewalsEnd; // until then earlier leaders may renew leases of workers
    Instant nextRenewal;

    RowVersion revision { 0 };
    bool isTableReadInFlight { false };
    bool hasReadTable { false };
    Instant nextTableRead;
    Instant nextLeaseCheck;
    std::optional<Instant> storeUnresponsiveSince;
    std::uint64_t lastTransactionNumber { 0 };
    std::map<TransactionId, PendingTransaction> pendingTransactions;
    std::size_t submissionsInFlight { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
    std::uint64_t movedJobs { 0 }; // to other data centres
};

} // namespace dragonflytray
