#include "batch/batch.h"

namespace dragonflytray {

void Batch::transactionEnded(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& result = std::get<TransactionResult>(command);
    auto found = this->pendingTransactions.find(result.id);
    if (found == this->pendingTransactions.end())
        return;
    const PendingTransaction pending = std::move(found->second);
    this->pendingTransactions.erase(found);
    switch (pending.purpose) {
    case Purpose::TakeLeadership:
    case Purpose::RenewLeadership:
        return this->leadershipEnded(pending, result);
    case Purpose::Submission:
        return this->submissionEnded(pending, result, now, effects);
    case Purpose::Transitions:
        return this->transitionsEnded(pending, result, now);
    }
}

void Batch::submissionEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects)
{
    const Job& job = std::get<Job>(pending.transaction.writes[0].value);
    if (result.status == TransactionStatus::Committed) {
        this->storeJob(job, result.revision, now);
        effects.push_back(ReplyToSubmitter { pending.token, SubmissionStatus::Accepted, {}, job });
        return;
    }
    if (result.status == TransactionStatus::Conflict && !result.conflicts.empty() && result.conflicts[0].value) {
        const Job& recorded = std::get<Job>(*result.conflicts[0].value);
        effects.push_back(ReplyToSubmitter { pending.token, SubmissionStatus::Repeated, RefusalReason::DuplicateRequest, recorded });
        return;
    }
    ++this->refusals[RefusalReason::StoreUnavailable];
    const SubmissionStatus status = result.status == TransactionStatus::Ambiguous ? SubmissionStatus::Unknown : SubmissionStatus::Refused;
    effects.push_back(ReplyToSubmitter { pending.token, status, RefusalReason::StoreUnavailable, job });
}

void Batch::transitionsEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now)
{
    for (const RowWrite& write : pending.transaction.writes) {
        const Job& job = std::get<Job>(write.value);
        JobEntry& entry = this->jobs.at(job.id);
        entry.isWriting = false;
        if (result.status == TransactionStatus::Committed) {
            this->storeJob(job, result.revision, now);
            continue;
        }
        // Nothing was written, or the next scan shows what was; a job that still waits holds nothing.
        if (entry.job.state == JobState::Queued)
            this->ledger.release(job.id);
        if (result.status == TransactionStatus::Conflict)
            ++this->retries[RetryReason::StoreConflict];
        else
            ++this->retries[RetryReason::StoreTimeout];
    }
}

} // namespace dragonflytray
