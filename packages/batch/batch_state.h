#pragma once

// The state behind the batch decisions of one entry host.

#include "batch/batch_commands.h"
#include "batch/batch_effects.h"
#include "batch/batch_queries.h"
#include "capacity/capacity.h"
#include <array>
#include <deque>
#include <map>
#include <set>

namespace dragonflytray {

// Batch owns what one entry host knows about jobs and workers. Not thread-safe: one duty owns it.
//
// Times that keep a job from running twice, each on one clock and never compared between hosts:
// - A worker ends an attempt that was not renewed for `workerLease`. The leader counts from the last
//   contact that may have renewed it, answered or not, and adds `contactTransit` and `pauseMargin`.
// - A leader that can't reach the table goes on renewing what runs, for at most `outageLimit` from its
//   last recorded beat, and starts nothing. The next leader fences a worker off by its epoch with the
//   first answered contact; an attempt on a worker that it can't reach it believes alive until the
//   `outageLimit` of the holder before has passed.
class Batch {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Duration leaderLease { std::chrono::seconds(6) };
        Duration workerLease { std::chrono::seconds(10) };
        Duration pauseMargin { std::chrono::seconds(2) }; // for clock rates and short pauses
        Duration contactTransit { std::chrono::seconds(2) }; // longest way of a contact to a worker
        Duration renewalPatience { std::chrono::seconds(5) }; // renewals go on this long without an answer
        Duration outageLimit { std::chrono::minutes(75) };
        Duration scanInterval { std::chrono::milliseconds(500) };
        Duration contactInterval { std::chrono::seconds(1) };
        Duration expiryInterval { std::chrono::milliseconds(500) };
        Duration readBackInterval { std::chrono::milliseconds(500) };
        Duration submitterPatience { std::chrono::seconds(8) }; // until an unclear write is answered so
        std::size_t startsInTransaction { 32 };
        std::size_t cancellationsInTransaction { 128 };
        std::size_t submissionsInFlight { 512 };
        std::size_t cancellationsWaiting { 8192 };
        std::size_t endedJobsKept { 2000 }; // in memory; their rows stay in the table
    };

    explicit Batch(Options options);

    // handle() changes the state by one command and returns what has to be done.
    BatchEffects handle(const BatchCommand& command, Instant now);

    // ask() answers one query from the state.
    BatchView ask(const BatchQuery& query, Instant now) const;

private:
    using Handler = void (Batch::*)(const BatchCommand&, Instant, BatchEffects&);
    static const std::array<Handler, batchCommandNames.size()> handlers;

    // WaitingKey orders the queue: the most urgent first, then as accepted.
    struct WaitingKey {
        Priority priority { Priority::Normal };
        RowVersion acceptedAt { 0 };
        JobId job;

        auto operator<=>(const WaitingKey&) const = default;
    };
    struct JobEntry {
        Job job;
        RowVersion version { 0 };
        RowVersion firstVersion { 0 };
        bool isWriting { false }; // a transaction on the row is in flight
        std::optional<Job> owed; // the end of the attempt, not yet recorded
        Instant since; // when the state was first seen here
        Instant lastConfirmed; // when the last answered contact with the worker was sent
        Instant lastRenewal; // latest moment at which the worker's lease may have been renewed
        std::uint64_t contact { 0 }; // number of the last contact that knew of the attempt
        std::optional<WaitingKey> waitingKey; // set while in `waiting`
        HostName heldBy; // set while in the worker's `held`
    };
    struct Worker {
        Host host;
        bool isListed { false };
        bool isContacted { false }; // a contact is in flight
        std::uint64_t contacts { 0 };
        Instant contactSent;
        Instant nextContact;
        std::map<JobId, JobEntry*> held;
    };
    // Purpose says what a transaction was for.
    enum class Purpose {
        TakeLeadership,
        RenewLeadership,
        Submission,
        Cancellation,
        Transitions,
    };
    struct PendingTransaction {
        Purpose purpose { Purpose::Transitions };
        Transaction transaction;
        Instant sentAt; // the first time
        ReplyToken token {}; // of a submission
        bool isUnclear { false }; // it may have been applied
        bool isSent { true };
        Instant nextSend; // of one that is unclear
    };
    struct Cancellation {
        std::vector<ReplyToken> tokens;
        Instant askedAt;
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

    // Leadership.
    bool holdsLeaderRow() const;
    bool isLeader(Instant now) const;
    bool isDeciding(Instant now) const;
    bool mayRenewTasks(Instant now) const;
    void maintainLeadership(Instant now, BatchEffects& effects);
    void takeLeadership(Instant now, BatchEffects& effects);
    void renewLeadership(Instant now, BatchEffects& effects);
    void leadershipEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now);
    void leadershipTaken(const PendingTransaction& pending, RowVersion version, Instant now);
    void leaderRowChanged(const LeaderRow& row, RowVersion version);

    // Placement and tasks.
    void placeQueued(Instant now, BatchEffects& effects);
    std::optional<HostName> chooseWorker(const Job& job) const;
    void contactWorkers(Instant now, BatchEffects& effects);
    ContactWorker composeContact(Worker& worker, Instant now);
    void listTask(ContactWorker& contact, JobEntry& entry, Instant now) const;
    void expireLeases(Instant now);
    void applyReport(const TaskReport& report, JobEntry& entry);
    void endAttempt(JobEntry& entry, Job job);

    // Transactions.
    void writeJobs(std::vector<Job> jobs, Instant now, BatchEffects& effects);
    void writeOwed(Instant now, BatchEffects& effects);
    void writeCancellations(Instant now, BatchEffects& effects);
    void answerCancellation(const JobId& id, SubmissionStatus status, BatchEffects& effects);
    void send(PendingTransaction pending, Instant now, BatchEffects& effects);
    void sendAgain(Instant now, BatchEffects& effects);
    bool isStillUnclear(PendingTransaction& pending, const TransactionResult& result, Instant now);
    void submissionEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects);
    void cancellationEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects);
    void transitionsEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now);
    void noteStore(bool isAnswering, Instant now);

    // Jobs as recorded.
    void applyRow(const RowChange& row, Instant now);
    void storeJob(const Job& job, RowVersion version, Instant now);
    void indexJob(JobEntry& entry);
    void unindexJob(JobEntry& entry);
    void forgetEnded();

    Options options;
    DeclarationInForce inForce;
    std::map<HostName, Worker> workers; // of this data centre: listed, or still holding an attempt
    Ledger ledger;
    std::map<JobId, JobEntry> jobs;
    std::set<WaitingKey> waiting; // queued jobs of this data centre
    std::deque<JobId> ended;
    std::deque<JobId> owedOrder; // at most one for each held job
    std::map<JobId, Cancellation> cancellations;

    std::optional<LeaderRow> leaderRow;
    RowVersion leaderVersion { 0 };
    RowVersion beatVersion { 0 };
    std::uint64_t beat { 0 };
    Instant beatSeen; // when the beat last changed, or when this process first looked
    Epoch ownEpoch { 0 }; // taken by this process; 0: none
    Instant ownBeatSent; // of the last recorded beat of this host
    Instant leaseEnd; // of this host's own leadership
    Instant foreignEnd; // until then holders before may have renewed leases of workers
    Instant nextRenewal;

    RowVersion revision { 0 };
    bool isScanning { false };
    bool hasScanned { false };
    Instant nextScan;
    Instant nextExpiry;
    std::optional<Instant> storeFailingSince;
    std::uint64_t lastTransaction { 0 };
    std::map<TransactionId, PendingTransaction> pendingTransactions;
    std::size_t submissionsPending { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
};

} // namespace dragonflytray
