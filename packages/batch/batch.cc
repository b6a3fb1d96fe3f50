#include "batch/batch.h"

namespace dragonflytray {

// In the order of BatchCommandKind.
const std::array<Batch::Handler, batchCommandNames.size()> Batch::handlers {
    &Batch::submitJob,
    &Batch::cancelJob,
    &Batch::transactionEnded,
    &Batch::rowsRead,
    &Batch::workerReported,
    &Batch::workerUnreachable,
    &Batch::changeHosts,
    &Batch::changeConfiguration,
    &Batch::tick,
};

Batch::Batch(Options options)
    : options(std::move(options))
{
}

BatchEffects Batch::handle(const BatchCommand& command, Instant now)
{
    BatchEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    return effects;
}

BatchView Batch::ask(const BatchQuery& query, Instant now) const
{
    using Query = BatchView (Batch::*)(const BatchQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<BatchQuery>> queries { &Batch::listJobs, &Batch::explainJob, &Batch::summary };
    return (this->*queries[query.index()])(query, now);
}

void Batch::send(PendingTransaction pending, Instant now, BatchEffects& effects)
{
    pending.sentAt = now;
    pending.transaction.id = TransactionId(this->options.self.value() + "/" + std::to_string(now.time_since_epoch().count()) + "/" + std::to_string(++this->lastTransaction));
    effects.push_back(WriteTransaction { pending.transaction });
    this->pendingTransactions.emplace(pending.transaction.id, std::move(pending));
}

void Batch::writeJobs(std::vector<Job> changed, Instant now, BatchEffects& effects)
{
    if (changed.empty())
        return;
    PendingTransaction pending;
    pending.purpose = Purpose::Transitions;
    pending.transaction.conditions.push_back({ { RowKind::Leader, this->options.dataCentre.value() }, this->leaderVersion });
    for (Job& job : changed) {
        JobEntry& entry = this->jobs.at(job.id);
        require(entry.job.state == job.state || isAllowed(entry.job.state, job.state), "Batch: a job transition is not in the table");
        entry.isWriting = true;
        const RowKey key { RowKind::Job, job.id.value() };
        pending.transaction.conditions.push_back({ key, entry.version });
        job.epoch = this->leaderRow->epoch;
        pending.transaction.writes.push_back({ key, std::move(job) });
    }
    this->send(std::move(pending), now, effects);
}

void Batch::storeJob(const Job& job, RowVersion version, Instant now)
{
    JobEntry& entry = this->jobs[job.id];
    if (version <= entry.version)
        return;
    if (entry.version == 0 || entry.job.state != job.state)
        entry.since = now;
    if (entry.job.attempt != job.attempt || entry.version == 0)
        entry.lastConfirmed = now;
    entry.job = job;
    entry.version = version;
    const bool isHeld = job.state == JobState::Starting || job.state == JobState::Running || job.state == JobState::Evicting;
    if (!isHeld || job.dataCentre != this->options.dataCentre)
        this->ledger.release(job.id);
    else if (this->ledger.holder(job.id) != job.worker)
        this->ledger.adopt(job.worker, job.id, job.need);
}

} // namespace dragonflytray
