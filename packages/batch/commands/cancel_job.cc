#include "batch/batch.h"

namespace dragonflytray {

// Any entry host may write a cancellation; the condition on the row's version prevents it from overwriting a concurrent
// transition by the leader. A queued job is cancelled at once. A job with an attempt is marked, and the leader stops the
// attempt first.
void Batch::cancelJob(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& cancelled = std::get<CancelJob>(command);
    auto entry = this->jobs.find(cancelled.job);
    const bool isKnown = entry != this->jobs.end();
    if (!isKnown || this->cancellations.size() >= this->options.maxPendingCancellations) {
        const RefusalReason reason = isKnown ? RefusalReason::QueueFull : RefusalReason::StoreUnavailable;
        ++this->refusals[reason];
        effects.push_back(ReplyToSubmitter { cancelled.token, SubmissionStatus::Refused, reason, isKnown ? entry->second.job : Job {} });
        return;
    }
    Cancellation& cancellation = this->cancellations[cancelled.job];
    if (cancellation.tokens.empty())
        cancellation.requestedAt = now;
    cancellation.tokens.push_back(cancelled.token);
}

void Batch::writeCancellations(Instant now, BatchEffects& effects)
{
    PendingTransaction pending;
    pending.purpose = Purpose::Cancellation;
    for (auto next = this->cancellations.begin(); next != this->cancellations.end() && pending.transaction.writes.size() < this->options.maxCancellationsPerTransaction;) {
        const auto [id, cancellation] = *next++;
        auto entry = this->jobs.find(id);
        if (entry == this->jobs.end() || isTerminal(entry->second.job.state) || entry->second.job.isCancelRequested) {
            this->answerCancellation(id, SubmissionStatus::Repeated, effects);
            continue;
        }
        if (entry->second.isWriteInFlight)
            continue;
        if (now - cancellation.requestedAt > this->options.submitterTimeout) {
            this->answerCancellation(id, SubmissionStatus::Refused, effects);
            continue;
        }
        Job job = entry->second.job;
        job.isCancelRequested = true;
        if (!isHeld(job.state)) {
            job.state = JobState::Cancelled;
            job.reason = "cancelled by the submitter";
        }
        entry->second.isWriteInFlight = true;
        const RowKey key { RowKind::Job, id.value() };
        pending.transaction.conditions.push_back({ key, entry->second.version });
        pending.transaction.writes.push_back({ key, std::move(job) });
    }
    if (!pending.transaction.writes.empty())
        this->sendTransaction(std::move(pending), now, effects);
}

void Batch::cancellationWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects)
{
    for (const RowWrite& write : pending.transaction.writes) {
        const Job& job = std::get<Job>(write.value);
        this->jobs.at(job.id).isWriteInFlight = false;
        // The next tick tries again, until `submitterTimeout` has passed.
        if (result.status != TransactionStatus::Committed)
            continue;
        this->applyJobRow(job, result.revision, now);
        if (auto worker = this->workers.find(job.worker); worker != this->workers.end())
            worker->second.nextContact = now;
        this->answerCancellation(job.id, SubmissionStatus::Accepted, effects);
    }
}

void Batch::answerCancellation(const JobId& id, SubmissionStatus status, BatchEffects& effects)
{
    auto cancellation = this->cancellations.find(id);
    if (cancellation == this->cancellations.end())
        return;
    auto entry = this->jobs.find(id);
    const Job job = entry == this->jobs.end() ? Job {} : entry->second.job;
    if (status == SubmissionStatus::Refused)
        ++this->refusals[RefusalReason::StoreUnavailable];
    for (ReplyToken token : cancellation->second.tokens)
        effects.push_back(ReplyToSubmitter { token, status, RefusalReason::StoreUnavailable, job });
    this->cancellations.erase(cancellation);
}

} // namespace dragonflytray
