#include "batch/batch.h"

namespace dragonflytray {

void Batch::contactWorkers(Instant now, BatchEffects& effects)
{
    for (auto& [name, worker] : this->workers) {
        if (worker.heldJobs.empty() || worker.isContactInFlight || now < worker.nextContact || worker.host.name.isEmpty())
            continue;
        effects.push_back(this->composeContact(worker, now));
    }
}

ContactWorker Batch::composeContact(Worker& worker, Instant now)
{
    worker.isContactInFlight = true;
    worker.contactSentAt = now;
    worker.nextContact = now + this->options.contactInterval;
    ++worker.contactCount;
    ContactWorker contact;
    contact.worker = worker.host.name;
    contact.endpoint = worker.host.endpoint;
    contact.dataCentre = this->options.dataCentre;
    contact.epoch = this->ownEpoch;
    contact.lease = this->options.workerLease;
    for (auto& [id, entry] : worker.heldJobs) {
        entry->lastContactNumber = worker.contactCount;
        this->addTaskToContact(contact, *entry, now);
    }
    return contact;
}

void Batch::addTaskToContact(ContactWorker& contact, JobEntry& entry, Instant now) const
{
    const Job& job = entry.job;
    // The attempt has ended, and its end waits to be written to the table.
    if (entry.unrecordedEnd)
        return;
    if (job.isCancelRequested || job.state == JobState::Evicting)
        contact.stops.push_back({ job.id, job.attempt, !job.isCancelRequested });
    // A worker that does not answer may still receive renewals. They stop after a while, so that the time by which
    // its leases have expired is known. Contacts without renewals go on, to notice when it answers again.
    if (now - entry.lastConfirmedAt > this->options.renewalTimeout)
        return;
    entry.lastPossibleRenewal = std::max(entry.lastPossibleRenewal, now);
    // No start without a valid leader lease, since another leader may have taken over, nor before this leader has read
    // everything that its predecessors wrote, since the attempt may have ended. An attempt with a write in flight is
    // not started either, since the write may record its end.
    const bool shouldStart = job.state == JobState::Starting && !entry.isWriteInFlight && !job.isCancelRequested && this->mayDecide(now);
    if (shouldStart)
        contact.starts.push_back({ job.id, job.attempt, job.need, job.declaredRunTime, job.payload, job.checkpoint });
    else
        contact.renewals.push_back({ job.id, job.attempt, false });
}

void Batch::expireLeases(Instant now)
{
    if (now < this->nextLeaseCheck)
        return;
    this->nextLeaseCheck = now + this->options.leaseCheckInterval;
    const Duration maxLeaseDuration = this->options.workerLease + this->options.maxContactDelay + this->options.leaseMargin;
    for (auto& [name, worker] : this->workers) {
        for (auto& [id, entry] : worker.heldJobs) {
            const bool isSilent = now - entry->lastConfirmedAt > this->options.renewalTimeout;
            if (entry->isWriteInFlight || entry->unrecordedEnd || !isSilent || now - entry->lastPossibleRenewal <= maxLeaseDuration)
                continue;
            Job job = entry->job;
            job.state = JobState::Queued;
            job.reason = "the worker was lost";
            ++this->retries[RetryReason::WorkerLost];
            this->queueAttemptEnd(*entry, std::move(job));
        }
    }
}

} // namespace dragonflytray
