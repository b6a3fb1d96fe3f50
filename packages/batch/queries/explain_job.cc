#include "batch/batch.h"

#include <algorithm>

namespace dragonflytray {

BatchView Batch::explainJob(const BatchQuery& query, Instant now) const
{
    JobExplanation explanation;
    auto found = this->jobs.find(std::get<ExplainJobQuery>(query).job);
    if (found == this->jobs.end()) {
        explanation.why = "No job with this id is recorded.";
        return explanation;
    }
    const JobEntry& entry = found->second;
    explanation.job = entry.job;
    explanation.timeInState = now - entry.stateSince;
    explanation.why = entry.job.state == JobState::Queued ? this->waitingReason(entry, now) : entry.job.reason;
    if (entry.unrecordedEnd)
        explanation.why = "The attempt has ended, but its end has not been written to the table yet.";
    return explanation;
}

std::string Batch::waitingReason(const JobEntry& entry, Instant now) const
{
    const Job& job = entry.job;
    if (job.dataCentre != this->options.dataCentre)
        return "It waits in data centre " + job.dataCentre.value() + "; query an entry host there.";
    if (!this->isLeader(now))
        return this->leaderRow ? "It waits for leader " + this->leaderRow->holder.value() + "; query that host for details." : "It waits until its data centre has a leader.";
    if (this->isEvacuated())
        return "Its data centre is evacuated. It moves as soon as another data centre has a live entry host and a worker that can hold it.";
    if (now < entry.retryNotBefore)
        return "It waits to be retried after " + std::to_string(job.failures) + " failures: " + job.reason + ".";
    if (!this->fitsAnyWorker(job.need))
        return "Its need exceeds the capacity of every listed worker.";
    const bool hasQuarantined = std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& worker) { return now < worker.second.quarantinedUntil; });
    const std::string quarantine = hasQuarantined ? " Some workers are in quarantine after repeated failures." : "";
    if (!this->isWithinQuota(job))
        return "Its team has reached its quota, and no idle capacity is available at the moment." + quarantine;
    return "It waits for a worker with enough free capacity." + quarantine;
}

} // namespace dragonflytray
