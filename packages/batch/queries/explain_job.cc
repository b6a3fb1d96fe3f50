#include "batch/batch.h"

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
    explanation.since = now - entry.since;
    explanation.why = entry.job.reason;
    if (explanation.why.empty() && entry.job.state == JobState::Queued)
        explanation.why = "It waits for a worker with room.";
    return explanation;
}

} // namespace dragonflytray
