#include "batch/batch.h"

namespace dragonflytray {

bool Batch::isEvacuated() const
{
    return this->inForce.declaration && this->inForce.declaration->isEvacuated(this->options.dataCentre);
}

// Queues jobs that were placed here but whose start no worker can have received yet. A start that may have been received
// is still repeated: without it, a delayed message could start the job here after it was started elsewhere.
void Batch::withdrawUnsentStarts()
{
    if (!this->isEvacuated())
        return;
    for (auto& [name, worker] : this->workers) {
        for (auto& [id, entry] : worker.heldJobs) {
            const bool isUnsent = entry->job.epoch == this->ownEpoch && entry->lastContactNumber == 0;
            if (!isUnsent || entry->job.state != JobState::Starting || entry->isWriteInFlight || entry->unrecordedEnd)
                continue;
            Job job = entry->job;
            job.state = JobState::Queued;
            job.reason = "its data centre was evacuated before it started";
            this->queueAttemptEnd(*entry, std::move(job));
        }
    }
}

// Moves queued jobs to other data centres, most urgent first. The condition on the row's version makes the move exclusive
// with a cancellation. A job that no other data centre can hold stays queued here.
void Batch::moveQueuedJobs(Instant now, BatchEffects& effects)
{
    if (this->waitingJobs.empty())
        return;
    DataCentreLoads loads = this->dataCentreLoads();
    std::vector<Job> moved;
    std::size_t examinedJobs = 0;
    for (auto& [key, entry] : this->waitingJobs) {
        if (moved.size() >= this->options.maxTransitionsPerTransaction || ++examinedJobs > this->options.maxExaminedJobsPerPass)
            break;
        if (entry->isWriteInFlight || entry->job.isCancelRequested)
            continue;
        const auto target = this->dataCentreChoice.choose(entry->job.need, *this->inForce.declaration, loads);
        if (!target)
            continue;
        loads[*target] += entry->job.need.processors;
        Job job = entry->job;
        job.dataCentre = *target;
        moved.push_back(std::move(job));
    }
    if (moved.empty())
        this->nextPlacement = now + this->options.placementBackoff;
    this->writeJobs(std::move(moved), now, effects);
}

DataCentreLoads Batch::dataCentreLoads() const
{
    DataCentreLoads loads;
    for (const auto& [id, entry] : this->jobs) {
        if (isHeld(entry.job.state) || entry.job.state == JobState::Queued)
            loads[entry.job.dataCentre] += entry.job.need.processors;
    }
    return loads;
}

} // namespace dragonflytray
