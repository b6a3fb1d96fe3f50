#include "batch/batch.h"

namespace dragonflytray {

void Batch::placeQueued(Instant now, BatchEffects& effects)
{
    std::vector<Job> placed;
    for (auto& [id, entry] : this->jobs) {
        if (placed.size() >= this->options.startsInTransaction)
            break;
        if (entry.isWriting || entry.job.state != JobState::Queued || entry.job.dataCentre != this->options.dataCentre)
            continue;
        auto worker = this->chooseWorker(entry.job);
        if (!worker || !this->ledger.reserve(*worker, id, entry.job.need))
            continue;
        Job job = entry.job;
        job.state = JobState::Starting;
        ++job.attempt;
        job.worker = *worker;
        job.reason.clear();
        placed.push_back(std::move(job));
    }
    this->writeJobs(std::move(placed), now, effects);
}

std::optional<HostName> Batch::chooseWorker(const Job& job) const
{
    for (const auto& [name, worker] : this->workers) {
        if (worker.host.state != HostState::Live)
            continue;
        auto free = this->ledger.free(name);
        if (free && fits(job.need, *free))
            return name;
    }
    return std::nullopt;
}

void Batch::contactWorkers(Instant now, BatchEffects& effects)
{
    std::map<HostName, ContactWorker> contacts;
    for (const auto& [id, entry] : this->jobs) {
        const Job& job = entry.job;
        const bool isHeld = job.state == JobState::Starting || job.state == JobState::Running || job.state == JobState::Evicting;
        if (!isHeld || job.dataCentre != this->options.dataCentre)
            continue;
        auto worker = this->workers.find(job.worker);
        if (worker == this->workers.end() || worker->second.isContacted || now < worker->second.nextContact)
            continue;
        ContactWorker& contact = contacts[job.worker];
        if (job.state == JobState::Starting)
            contact.starts.push_back({ id, job.attempt, job.need, job.declaredRunTime, job.payload, job.checkpoint });
        else
            contact.renewals.push_back({ id, job.attempt, false });
        if (job.state == JobState::Evicting)
            contact.stops.push_back({ id, job.attempt, true });
    }
    for (auto& [name, contact] : contacts) {
        Worker& worker = this->workers.at(name);
        worker.isContacted = true;
        worker.contactSent = now;
        worker.nextContact = now + this->options.contactInterval;
        contact.worker = name;
        contact.endpoint = worker.host.endpoint;
        contact.dataCentre = this->options.dataCentre;
        contact.epoch = this->leaderRow->epoch;
        contact.lease = this->options.workerLease;
        effects.push_back(std::move(contact));
    }
}

void Batch::expireLeases(Instant now, BatchEffects& effects)
{
    const Duration sureEnd = this->options.workerLease + this->options.pauseMargin;
    std::vector<Job> lost;
    for (const auto& [id, entry] : this->jobs) {
        const bool isHeld = entry.job.state == JobState::Starting || entry.job.state == JobState::Running || entry.job.state == JobState::Evicting;
        if (!isHeld || entry.isWriting || entry.job.dataCentre != this->options.dataCentre || now - entry.lastConfirmed <= sureEnd)
            continue;
        Job job = entry.job;
        job.state = JobState::Queued;
        job.worker = {};
        job.reason = "the worker was lost";
        ++this->retries[RetryReason::WorkerLost];
        lost.push_back(std::move(job));
    }
    this->writeJobs(std::move(lost), now, effects);
}

} // namespace dragonflytray
