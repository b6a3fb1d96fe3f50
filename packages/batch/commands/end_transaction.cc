#include "batch/batch.h"

namespace dragonflytray {

namespace {

    // committedVersion() is the version of a conflicting row that the transaction itself wrote, or nothing. Then an earlier
    // send of it was committed and only the answer was lost.
    std::optional<RowVersion> committedVersion(const TransactionResult& result)
    {
        for (const RowChange& row : result.conflicts) {
            if (row.writer == result.id)
                return row.version;
        }
        return std::nullopt;
    }

} // namespace

void Batch::transactionEnded(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    TransactionResult result = std::get<TransactionResult>(command);
    auto found = this->pendingTransactions.find(result.id);
    if (found == this->pendingTransactions.end() || this->retryIfAmbiguous(found->second, result, now))
        return;
    const PendingTransaction pending = std::move(found->second);
    this->pendingTransactions.erase(found);
    if (auto version = committedVersion(result); version && result.status == TransactionStatus::Conflict) {
        result.status = TransactionStatus::Committed;
        result.revision = *version;
    }
    switch (pending.purpose) {
    case Purpose::AcquireLeadership:
    case Purpose::RenewLeadership:
        this->leadershipWriteEnded(pending, result, now);
        break;
    case Purpose::Submission:
        this->submissionWriteEnded(pending, result, now, effects);
        break;
    case Purpose::Cancellation:
        this->cancellationWriteEnded(pending, result, now, effects);
        break;
    case Purpose::Transitions:
        this->transitionWriteEnded(pending, result, now);
        break;
    }
    for (const RowChange& row : result.conflicts)
        this->applyRow(row, now);
}

void Batch::submissionWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now, BatchEffects& effects)
{
    --this->submissionsInFlight;
    const Job& job = std::get<Job>(pending.transaction.writes[0].value);
    if (result.status == TransactionStatus::Committed) {
        this->applyJobRow(job, result.revision, now);
        effects.push_back(ReplyToSubmitter { pending.token, SubmissionStatus::Accepted, {}, job });
        return;
    }
    if (result.status == TransactionStatus::Conflict && !result.conflicts.empty() && result.conflicts[0].value) {
        const Job& recorded = std::get<Job>(*result.conflicts[0].value);
        effects.push_back(ReplyToSubmitter { pending.token, SubmissionStatus::Repeated, RefusalReason::DuplicateRequest, recorded });
        return;
    }
    ++this->refusals[RefusalReason::StoreUnavailable];
    const SubmissionStatus status = pending.isAmbiguous ? SubmissionStatus::Unknown : SubmissionStatus::Refused;
    effects.push_back(ReplyToSubmitter { pending.token, status, RefusalReason::StoreUnavailable, job });
}

void Batch::transitionWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now)
{
    for (const RowWrite& write : pending.transaction.writes) {
        const Job& job = std::get<Job>(write.value);
        JobEntry& entry = this->jobs.at(job.id);
        entry.isWriteInFlight = false;
        if (result.status == TransactionStatus::Committed) {
            this->movedJobs += job.dataCentre == this->options.dataCentre ? 0 : 1;
            this->applyJobRow(job, result.revision, now);
            if (auto worker = this->workers.find(job.worker); isHeld(job.state) && worker != this->workers.end())
                worker->second.nextContact = now;
            continue;
        }
        ++this->retries[result.status == TransactionStatus::Conflict ? RetryReason::StoreConflict : RetryReason::StoreTimeout];
        if (!isHeld(entry.job.state)) {
            this->capacityReservations.release(job.id);
            this->charge(entry, 0);
        } else if (!isHeld(job.state) && entry.job.attempt == job.attempt) {
            this->queueAttemptEnd(entry, job);
        }
    }
}

} // namespace dragonflytray
