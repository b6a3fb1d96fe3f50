#include "batch/batch.h"

#include <algorithm>

namespace dragonflytray {

void Batch::workerReported(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& reported = std::get<WorkerReported>(command);
    auto found = this->workers.find(reported.worker);
    if (found == this->workers.end())
        return;
    Worker& worker = found->second;
    worker.isContactInFlight = false;
    if (!this->isLeaderRowHolder() || reported.epoch != this->ownEpoch)
        return;
    for (auto& [id, entry] : worker.heldJobs) {
        if (entry->lastContactNumber != worker.contactCount)
            continue;
        entry->lastConfirmedAt = worker.contactSentAt;
        // The worker has seen this epoch and rejects renewals by earlier leaders from now on.
        entry->lastPossibleRenewal = std::min(entry->lastPossibleRenewal, now);
        auto report = std::find_if(reported.reports.begin(), reported.reports.end(), [&job = id, attempt = entry->job.attempt](const TaskReport& item) { return item.job == job && item.attempt == attempt; });
        // A worker reports every attempt that it has, so an attempt that is missing has ended.
        const bool isMissing = report == reported.reports.end();
        this->applyReport(isMissing ? TaskReport { id, entry->job.attempt, TaskPhase::Unknown, "", "", {} } : *report, *entry, worker, now);
    }
    this->writeUnrecordedEnds(now, effects);
}

void Batch::applyReport(const TaskReport& report, JobEntry& entry, Worker& worker, Instant now)
{
    if (entry.unrecordedEnd || (entry.isWriteInFlight && report.phase != TaskPhase::Running))
        return;
    if (!report.checkpoint.empty() && report.checkpoint != entry.job.checkpoint) {
        entry.job.checkpoint = report.checkpoint;
        entry.lastCheckpointAt = now;
    }
    if (report.phase == TaskPhase::Running) {
        // The running state is not written to the table: workers report it at each contact.
        if (entry.job.state == JobState::Starting)
            entry.job.state = JobState::Running;
        this->applyMeasuredUsage(entry, report.usage);
        return;
    }
    Job job = entry.job;
    if (report.phase == TaskPhase::Finished) {
        job.state = JobState::Finished;
        job.result = report.result;
        this->recordWorkerSuccess(worker);
    } else if (report.phase == TaskPhase::Failed) {
        this->recordWorkerFailure(worker, job, now);
        job = this->jobAfterFailedAttempt(entry, worker);
        ++this->retries[RetryReason::TaskFailed];
    } else if (report.phase == TaskPhase::Stopped && job.state == JobState::Evicting) {
        job.state = JobState::Queued;
        job.reason = "evicted";
        ++job.evictions;
        ++this->retries[RetryReason::Evicted];
    } else {
        job.state = JobState::Queued;
        job.reason = report.phase == TaskPhase::Stopped ? "the worker stopped the last attempt" : "the worker lost the last attempt";
        ++this->retries[RetryReason::WorkerLost];
    }
    this->queueAttemptEnd(entry, std::move(job));
}

void Batch::queueAttemptEnd(JobEntry& entry, Job job)
{
    if (job.state == JobState::Queued)
        job.worker = {};
    job.isCancelRequested = entry.job.isCancelRequested;
    entry.unrecordedEnd = std::move(job);
    this->unrecordedEndQueue.push_back(entry.job.id);
}

void Batch::workerUnreachable(const BatchCommand& command, Instant, BatchEffects&)
{
    auto worker = this->workers.find(std::get<WorkerUnreachable>(command).worker);
    if (worker != this->workers.end())
        worker->second.isContactInFlight = false;
}

} // namespace dragonflytray
