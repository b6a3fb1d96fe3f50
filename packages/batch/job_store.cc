#include "batch/batch.h"

namespace dragonflytray {

void Batch::storeJob(const Job& job, RowVersion version, Instant now)
{
    JobEntry& entry = this->jobs[job.id];
    if (version <= entry.version)
        return;
    const bool isNew = entry.version == 0;
    const bool isSameAttempt = !isNew && entry.job.attempt == job.attempt && entry.job.worker == job.worker && isHeld(job.state);
    const JobState before = entry.job.state;
    if (isNew)
        entry.firstVersion = version;
    this->unindexJob(entry);
    const std::string checkpoint = std::move(entry.job.checkpoint);
    entry.job = job;
    entry.version = version;
    if (isSameAttempt) {
        // The worker told more than the row holds.
        if (before == JobState::Running && job.state == JobState::Starting)
            entry.job.state = JobState::Running;
        entry.job.checkpoint = checkpoint;
        if (entry.owed)
            entry.owed->isCancelRequested = job.isCancelRequested;
    } else {
        entry.owed.reset();
        entry.contact = 0;
        entry.lastConfirmed = now;
        const bool isOwn = this->holdsLeaderRow() && job.epoch == this->ownEpoch;
        entry.lastRenewal = isOwn ? now : std::max(now, this->foreignEnd);
    }
    if (isNew || before != entry.job.state)
        entry.since = now;
    this->indexJob(entry);
    if (isTerminal(job.state) && (isNew || !isTerminal(before)))
        this->ended.push_back(job.id);
    this->forgetEnded();
}

void Batch::indexJob(JobEntry& entry)
{
    const Job& job = entry.job;
    const bool isOurs = job.dataCentre == this->options.dataCentre;
    if (!isOurs || !isHeld(job.state)) {
        this->ledger.release(job.id);
    } else {
        this->ledger.adopt(job.worker, job.id, job.need);
        entry.heldBy = job.worker;
        this->workers[job.worker].held[job.id] = &entry;
    }
    if (isOurs && job.state == JobState::Queued) {
        entry.waitingKey = WaitingKey { job.priority, entry.firstVersion, job.id };
        this->waiting.insert(*entry.waitingKey);
    }
}

void Batch::unindexJob(JobEntry& entry)
{
    if (entry.waitingKey)
        this->waiting.erase(*entry.waitingKey);
    entry.waitingKey.reset();
    if (auto worker = this->workers.find(entry.heldBy); worker != this->workers.end())
        worker->second.held.erase(entry.job.id);
    entry.heldBy = {};
}

void Batch::forgetEnded()
{
    while (this->ended.size() > this->options.endedJobsKept) {
        auto oldest = this->jobs.find(this->ended.front());
        this->ended.pop_front();
        if (oldest == this->jobs.end() || oldest->second.isWriting)
            continue;
        this->jobs.erase(oldest);
    }
}

} // namespace dragonflytray
