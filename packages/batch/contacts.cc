#include "batch/batch.h"

namespace dragonflytray {

void Batch::contactWorkers(Instant now, BatchEffects& effects)
{
    for (auto& [name, worker] : this->workers) {
        if (worker.held.empty() || worker.isContacted || now < worker.nextContact || worker.host.name.isEmpty())
            continue;
        effects.push_back(this->composeContact(worker, now));
    }
}

ContactWorker Batch::composeContact(Worker& worker, Instant now)
{
    worker.isContacted = true;
    worker.contactSent = now;
    worker.nextContact = now + this->options.contactInterval;
    ++worker.contacts;
    ContactWorker contact;
    contact.worker = worker.host.name;
    contact.endpoint = worker.host.endpoint;
    contact.dataCentre = this->options.dataCentre;
    contact.epoch = this->ownEpoch;
    contact.lease = this->options.workerLease;
    for (auto& [id, entry] : worker.held) {
        entry->contact = worker.contacts;
        this->listTask(contact, *entry, now);
    }
    return contact;
}

void Batch::listTask(ContactWorker& contact, JobEntry& entry, Instant now) const
{
    const Job& job = entry.job;
    // The attempt has ended; it only remains to be recorded.
    if (entry.owed)
        return;
    if (job.isCancelRequested || job.state == JobState::Evicting)
        contact.stops.push_back({ job.id, job.attempt, !job.isCancelRequested });
    // A silent worker may hear renewals although its answers are lost. They stop, so that its leases lapse
    // at a known time; the contact still asks.
    if (now - entry.lastConfirmed > this->options.renewalPatience)
        return;
    entry.lastRenewal = std::max(entry.lastRenewal, now);
    // Past its own lease a holder may have been replaced: it starts nothing. Nor is an attempt started whose
    // end is being recorded.
    const bool shouldStart = job.state == JobState::Starting && !entry.isWriting && !job.isCancelRequested && this->isLeader(now);
    if (shouldStart)
        contact.starts.push_back({ job.id, job.attempt, job.need, job.declaredRunTime, job.payload, job.checkpoint });
    else
        contact.renewals.push_back({ job.id, job.attempt, false });
}

void Batch::expireLeases(Instant now)
{
    if (now < this->nextExpiry)
        return;
    this->nextExpiry = now + this->options.expiryInterval;
    const Duration sureEnd = this->options.workerLease + this->options.contactTransit + this->options.pauseMargin;
    for (auto& [name, worker] : this->workers) {
        for (auto& [id, entry] : worker.held) {
            const bool isSilent = now - entry->lastConfirmed > this->options.renewalPatience;
            if (entry->isWriting || entry->owed || !isSilent || now - entry->lastRenewal <= sureEnd)
                continue;
            Job job = entry->job;
            job.state = JobState::Queued;
            job.reason = "the worker was lost";
            ++this->retries[RetryReason::WorkerLost];
            this->endAttempt(*entry, std::move(job));
        }
    }
}

} // namespace dragonflytray
