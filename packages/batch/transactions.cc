#include "batch/batch.h"

namespace dragonflytray {

void Batch::sendTransaction(PendingTransaction pending, Instant now, BatchEffects& effects)
{
    pending.sentAt = now;
    pending.transaction.id = TransactionId(this->options.self.value() + "/" + std::to_string(now.time_since_epoch().count()) + "/" + std::to_string(++this->lastTransactionNumber));
    effects.push_back(WriteTransaction { pending.transaction });
    const TransactionId id = pending.transaction.id;
    this->pendingTransactions.emplace(id, std::move(pending));
}

// Repeats ambiguous transactions unchanged. Their conditions require exact row versions, so a transaction is applied at
// most once: either the repeat commits, or the conflicting rows show whether the first send wrote them.
void Batch::resendAmbiguousTransactions(Instant now, BatchEffects& effects)
{
    for (auto& [id, pending] : this->pendingTransactions) {
        if (pending.isInFlight || now < pending.nextSend)
            continue;
        pending.isInFlight = true;
        ++this->retries[RetryReason::StoreTimeout];
        effects.push_back(WriteTransaction { pending.transaction });
    }
}

bool Batch::retryIfAmbiguous(PendingTransaction& pending, const TransactionResult& result, Instant now)
{
    const bool isAnswered = result.status == TransactionStatus::Committed || result.status == TransactionStatus::Conflict;
    this->recordStoreResponse(isAnswered, now);
    if (isAnswered)
        return false;
    pending.isAmbiguous |= result.status == TransactionStatus::Ambiguous;
    // The next renewal replaces this one.
    if (!pending.isAmbiguous || pending.purpose == Purpose::RenewLeadership)
        return false;
    if (pending.purpose == Purpose::Submission && now - pending.sentAt > this->options.submitterTimeout)
        return false;
    pending.isInFlight = false;
    pending.nextSend = now + this->options.ambiguousRetryInterval;
    return true;
}

void Batch::recordStoreResponse(bool hasAnswered, Instant now)
{
    if (hasAnswered)
        this->storeUnresponsiveSince.reset();
    else if (!this->storeUnresponsiveSince)
        this->storeUnresponsiveSince = now;
}

void Batch::writeJobs(std::vector<Job> changed, Instant now, BatchEffects& effects)
{
    if (changed.empty())
        return;
    require(this->isLeader(now), "Batch: transitions are written without a valid leader lease");
    PendingTransaction pending;
    pending.purpose = Purpose::Transitions;
    pending.transaction.conditions.push_back({ { RowKind::Leader, this->options.dataCentre.value() }, this->leaderVersion });
    for (Job& job : changed) {
        JobEntry& entry = this->jobs.at(job.id);
        require(!entry.isWriteInFlight, "Batch: a second transaction on a job is sent while one is in flight");
        require(entry.job.state == job.state || isAllowed(entry.job.state, job.state), "Batch: a job transition is not allowed");
        entry.isWriteInFlight = true;
        const RowKey key { RowKind::Job, job.id.value() };
        pending.transaction.conditions.push_back({ key, entry.version });
        job.epoch = this->leaderRow->epoch;
        pending.transaction.writes.push_back({ key, std::move(job) });
    }
    this->sendTransaction(std::move(pending), now, effects);
}

void Batch::writeUnrecordedEnds(Instant now, BatchEffects& effects)
{
    if (!this->mayDecide(now))
        return;
    std::vector<Job> written;
    for (std::size_t left = this->unrecordedEndQueue.size(); left > 0 && written.size() < this->options.maxTransitionsPerTransaction; --left) {
        const JobId id = std::move(this->unrecordedEndQueue.front());
        this->unrecordedEndQueue.pop_front();
        auto entry = this->jobs.find(id);
        if (entry == this->jobs.end() || !entry->second.unrecordedEnd)
            continue;
        if (entry->second.isWriteInFlight) {
            this->unrecordedEndQueue.push_back(id);
            continue;
        }
        Job job = *std::exchange(entry->second.unrecordedEnd, std::nullopt);
        if (job.isCancelRequested && !isHeld(job.state)) {
            // If the task finished before it was stopped, `result` keeps what it returned.
            job.state = JobState::Cancelled;
            job.reason = "cancelled by the submitter";
        }
        written.push_back(std::move(job));
    }
    this->writeJobs(std::move(written), now, effects);
}

} // namespace dragonflytray
