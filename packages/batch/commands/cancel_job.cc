#include "batch/batch.h"

namespace dragonflytray {

void Batch::cancelJob(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& cancelled = std::get<CancelJob>(command);
    auto entry = this->jobs.find(cancelled.job);
    const bool canCancel = entry != this->jobs.end() && entry->second.job.state == JobState::Queued && !entry->second.isWriting && this->isLeader(now);
    if (!canCancel) {
        ++this->refusals[RefusalReason::StoreUnavailable];
        Job job = entry == this->jobs.end() ? Job {} : entry->second.job;
        effects.push_back(ReplyToSubmitter { cancelled.token, SubmissionStatus::Refused, RefusalReason::StoreUnavailable, std::move(job) });
        return;
    }
    Job job = entry->second.job;
    job.state = JobState::Cancelled;
    job.reason = "cancelled by the submitter";
    effects.push_back(ReplyToSubmitter { cancelled.token, SubmissionStatus::Accepted, {}, job });
    this->writeJobs({ std::move(job) }, now, effects);
}

} // namespace dragonflytray
