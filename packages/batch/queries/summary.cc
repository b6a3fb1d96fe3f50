#include "batch/batch.h"

namespace dragonflytray {

BatchView Batch::summary(const BatchQuery&, Instant now) const
{
    BatchSummary summary;
    summary.isLeader = this->isLeader(now);
    if (this->leaderRow) {
        summary.leader = this->leaderRow->holder;
        summary.epoch = this->leaderRow->epoch;
    }
    for (const auto& [id, entry] : this->jobs)
        ++summary.jobs[entry.job.state];
    summary.workers = this->workers.size();
    summary.isEvacuated = this->isEvacuated();
    summary.movedJobs = this->movedJobs;
    summary.refusals = this->refusals;
    summary.retries = this->retries;
    return summary;
}

} // namespace dragonflytray
