#pragma once

// The state behind the batch decisions of one entry host.

#include "batch/batch_commands.h"
#include "batch/batch_effects.h"
#include "batch/batch_queries.h"
#include "capacity/capacity.h"
#include <array>
#include <map>
#include <unordered_map>

namespace dragonflytray {

// Batch owns what one entry host knows about jobs and workers. Not thread-safe: one duty owns it.
class Batch {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Duration leaderLease { std::chrono::seconds(6) };
        Duration workerLease { std::chrono::seconds(10) };
        Duration pauseMargin { std::chrono::seconds(2) }; // for clock rates and short pauses
        Duration scanInterval { std::chrono::milliseconds(500) };
        Duration contactInterval { std::chrono::seconds(1) };
        std::size_t startsInTransaction { 32 };
    };

    explicit Batch(Options options);

    // handle() changes the state by one command and returns what has to be done.
    BatchEffects handle(const BatchCommand& command, Instant now);

    // ask() answers one query from the state.
    BatchView ask(const BatchQuery& query, Instant now) const;

private:
    using Handler = void (Batch::*)(const BatchCommand&, Instant, BatchEffects&);
    static const std::array<Handler, batchCommandNames.size()> handlers;

    struct JobEntry {
        Job job;
        RowVersion version { 0 };
        bool isWriting { false }; // a transaction on the row is in flight
        Instant since; // when the state was first seen here
        Instant lastConfirmed; // when the worker's lease was last renewed
    };
    struct Worker {
        Host host;
        bool isContacted { false }; // a contact is in flight
        Instant contactSent;
        Instant nextContact;
    };
    // Purpose says what a transaction was for.
    enum class Purpose {
        TakeLeadership,
        RenewLeadership,
        Submission,
        Transitions,
    };
    struct PendingTransaction {
        Purpose purpose { Purpose::Transitions };
        Transaction transaction;
        Instant sentAt;
        ReplyToken token {}; // of a submission
        bool isReadBack { false };
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
    bool isLeader(Instant now) const;
    void maintainLeadership(Instant now, BatchEffects& effects);
    void takeLeadership(Instant now, BatchEffects& effects);
    void renewLeadership(Instant now, BatchEffects& effects);
    void leadershipEnded(const PendingTransaction& pending, const TransactionResult& result);

    // Placement and tasks.
    void placeQueued(Instant now, BatchEffects& effects);
    std::optional<HostName> chooseWorker(const Job& job) const;
    void contactWorkers(Instant now, BatchEffects& effects);
    void expireLeases(Instant now, BatchEffects& effects);
    void applyReport(const TaskReport& report, const HostName& worker, std::vector<Job>& changed);
    void applyRow(const RowChange& row, Instant now);

    // Transactions.
    void writeJobs(std::vector<Job> jobs, Instant now, BatchEffects& effects);
    void send(PendingTransaction pending, Instant now, BatchEffects& effects);
    void submissionEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects);
    void transitionsEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now);
    void storeJob(const Job& job, RowVersion version, Instant now);

    Options options;
    DeclarationInForce inForce;
    std::map<HostName, Worker> workers;
    Ledger ledger;
    std::map<JobId, JobEntry> jobs;

    std::optional<LeaderRow> leaderRow;
    RowVersion leaderVersion { 0 };
    RowVersion beatVersion { 0 };
    std::uint64_t beat { 0 };
    Instant beatSeen; // when the beat last changed, or when this process first looked
    Instant leaseEnd; // of this host's own leadership
    Instant nextRenewal;

    RowVersion revision { 0 };
    bool isScanning { false };
    bool hasScanned { false };
    Instant nextScan;
    std::uint64_t lastTransaction { 0 };
    std::unordered_map<TransactionId, PendingTransaction> pendingTransactions;
    RefusalCounts refusals;
    RetryCounts retries;
};

} // namespace dragonflytray
