#include "batch/batch.h"

namespace dragonflytray {

void Batch::applyJobRow(const Job& job, RowVersion version, Instant now)
{
    JobEntry& entry = this->jobs[job.id];
    if (version <= entry.version)
        return;
    const bool isNew = entry.version == 0;
    const bool isSameAttempt = !isNew && entry.job.attempt == job.attempt && entry.job.worker == job.worker && isHeld(job.state);
    const JobState previousState = entry.job.state;
    if (isNew)
        entry.firstVersion = version;
    this->unindexJob(entry);
    const std::string checkpoint = std::move(entry.job.checkpoint);
    const Capacity observedNeed = entry.job.need;
    entry.job = job;
    entry.version = version;
    if (isSameAttempt) {
        // Workers report more than is written to the row, so their reports are kept.
        if (previousState == JobState::Running && job.state == JobState::Starting)
            entry.job.state = JobState::Running;
        entry.job.checkpoint = checkpoint;
        entry.job.need = observedNeed;
        if (entry.unrecordedEnd)
            entry.unrecordedEnd->isCancelRequested = job.isCancelRequested;
    } else {
        entry.unrecordedEnd.reset();
        entry.lastContactNumber = 0;
        entry.lastCheckpointAt = now;
        entry.retryNotBefore = job.state == JobState::Queued && job.failures > 0 ? now + this->retryBackoff(job) : now;
        entry.lastConfirmedAt = now;
        const bool isOwnTransition = this->isLeaderRowHolder() && job.epoch == this->ownEpoch;
        entry.lastPossibleRenewal = isOwnTransition ? now : std::max(now, this->previousLeaderRenewalsEnd);
    }
    if (isNew || previousState != entry.job.state)
        entry.stateSince = now;
    this->indexJob(entry);
    if (isTerminal(job.state) && (isNew || !isTerminal(previousState)))
        this->endedJobs.push_back(job.id);
    this->pruneEndedJobs();
}

void Batch::indexJob(JobEntry& entry)
{
    const Job& job = entry.job;
    const bool isInOwnDataCentre = job.dataCentre == this->options.dataCentre;
    if (!isInOwnDataCentre || !isHeld(job.state)) {
        this->capacityReservations.release(job.id);
    } else {
        this->capacityReservations.forceReserve(job.worker, job.id, job.need);
        entry.heldOn = job.worker;
        Worker& worker = this->workers[job.worker];
        worker.heldJobs[job.id] = &entry;
        ++this->heldJobsInRack[worker.host.rack];
    }
    this->charge(entry, isHeld(job.state) ? job.need.processors : 0);
    if (isInOwnDataCentre && job.state == JobState::Queued) {
        entry.waitingKey = WaitingKey { job.priority, entry.firstVersion, job.id };
        this->waitingJobs.emplace(*entry.waitingKey, &entry);
    }
}

void Batch::unindexJob(JobEntry& entry)
{
    if (entry.waitingKey)
        this->waitingJobs.erase(*entry.waitingKey);
    entry.waitingKey.reset();
    if (auto worker = this->workers.find(entry.heldOn); worker != this->workers.end()) {
        if (worker->second.heldJobs.erase(entry.job.id) > 0)
            --this->heldJobsInRack[worker->second.host.rack];
    }
    entry.heldOn = {};
}

void Batch::pruneEndedJobs()
{
    while (this->endedJobs.size() > this->options.maxEndedJobsInMemory) {
        auto oldest = this->jobs.find(this->endedJobs.front());
        this->endedJobs.pop_front();
        if (oldest == this->jobs.end() || oldest->second.isWriteInFlight)
            continue;
        this->jobs.erase(oldest);
    }
}

} // namespace dragonflytray
