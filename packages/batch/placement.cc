#include "batch/batch.h"

namespace dragonflytray {

void Batch::placeQueued(Instant now, BatchEffects& effects)
{
    std::vector<Job> placed;
    for (const WaitingKey& key : this->waiting) {
        if (placed.size() >= this->options.startsInTransaction)
            break;
        JobEntry& entry = this->jobs.at(key.job);
        if (entry.isWriting || entry.job.isCancelRequested)
            continue;
        auto worker = this->chooseWorker(entry.job);
        if (!worker || !this->ledger.reserve(*worker, key.job, entry.job.need))
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
        if (!worker.isListed || worker.host.state != HostState::Live)
            continue;
        auto free = this->ledger.free(name);
        if (free && fits(job.need, *free))
            return name;
    }
    return std::nullopt;
}

} // namespace dragonflytray
