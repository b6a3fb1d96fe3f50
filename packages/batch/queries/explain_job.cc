#include "batch/batch.h"

#include <algorithm>

namespace dragonflytray {

BatchView Batch::explainJob(const BatchQuery& query, Instant now) const
{
    JobExplanation explanation;
    auto found = this->jobs.find(std::get<ExplainJobQuery>(query).job);
    if (found == this->jobs.end()) {
        explanation.why = "No job of this id is recorded.";
        return explanation;
    }
    const JobEntry& entry = found->second;
    explanation.job = entry.job;
    explanation.timeInState = now - entry.stateSince;
    explanation.why = entry.job.state == JobState::Queued ? this->waitingReason(entry, now) : entry.job.reason;
    if (entry.unrecordedEnd)
        explanation.why = "The attempt has ended; the table does not take its end yet.";
    return explanation;
}

std::string Batch::waitingReason(const JobEntry& entry, Instant now) const
{
    const Job& job = entry.job;
    if (job.dataCentre != this->options.dataCentre)
        return "It waits in the data centre " + job.dataCentre.value() + "; ask an entry host there.";
    if (!this->isLeader(now))
        return this->leaderRow ? "It waits for the leader " + this->leaderRow->holder.value() + "; ask there for more." : "It waits for a leader of the data centre.";
    if (now < entry.retryNotBefore)
        return "It backs off after " + std::to_string(job.failures) + " failures: " + job.reason + ".";
    if (!this->fitsAnyWorker(job.need))
        return "Its need is larger than any listed worker.";
    const bool hasQuarantined = std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& worker) { return now < worker.second.quarantinedUntil; });
    const std::string quarantine = hasQuarantined ? " Some workers are in quarantine because they fail everything." : "";
    if (!this->isWithinQuota(job))
        return "Its team is at its quota, and no idle room is lent at the moment." + quarantine;
    return "It waits for a worker with room." + quarantine;
}

} // namespace dragonflytray
