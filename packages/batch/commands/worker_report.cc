#include "batch/batch.h"

#include <algorithm>

namespace dragonflytray {

void Batch::workerReported(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& reported = std::get<WorkerReported>(command);
    auto worker = this->workers.find(reported.worker);
    if (worker == this->workers.end())
        return;
    worker->second.isContacted = false;
    if (!this->isLeader(now) || reported.epoch != this->leaderRow->epoch)
        return;
    std::vector<Job> changed;
    for (const TaskReport& report : reported.reports) {
        auto entry = this->jobs.find(report.job);
        if (entry == this->jobs.end() || entry->second.job.attempt != report.attempt || entry->second.job.worker != reported.worker)
            continue;
        entry->second.lastConfirmed = worker->second.contactSent;
        if (!entry->second.isWriting)
            this->applyReport(report, reported.worker, changed);
    }
    this->writeJobs(std::move(changed), now, effects);
}

void Batch::applyReport(const TaskReport& report, const HostName&, std::vector<Job>& changed)
{
    JobEntry& entry = this->jobs.at(report.job);
    if (isTerminal(entry.job.state) || entry.job.state == JobState::Queued)
        return;
    if (report.phase == TaskPhase::Running) {
        // Running is known from the worker alone; writing it would only cost the table.
        if (entry.job.state == JobState::Starting)
            entry.job.state = JobState::Running;
        entry.job.checkpoint = report.checkpoint;
        return;
    }
    Job job = entry.job;
    if (!report.checkpoint.empty())
        job.checkpoint = report.checkpoint;
    if (report.phase == TaskPhase::Finished) {
        job.state = JobState::Finished;
        job.result = report.result;
    } else if (report.phase == TaskPhase::Failed) {
        const BatchClassDeclaration* batchClass = this->inForce.declaration ? this->inForce.declaration->findBatchClass(job.batchClass) : nullptr;
        ++job.failures;
        const bool isOutOfAttempts = batchClass && job.failures >= batchClass->attemptLimit;
        job.state = isOutOfAttempts ? JobState::Failed : JobState::Queued;
        job.reason = isOutOfAttempts ? "out of attempts" : "the last attempt failed";
        ++this->retries[RetryReason::TaskFailed];
    } else {
        job.state = JobState::Queued;
        job.reason = "the last attempt was stopped";
        ++job.evictions;
        ++this->retries[RetryReason::Evicted];
    }
    if (job.state == JobState::Queued)
        job.worker = {};
    changed.push_back(std::move(job));
}

void Batch::workerUnreachable(const BatchCommand& command, Instant, BatchEffects&)
{
    auto worker = this->workers.find(std::get<WorkerUnreachable>(command).worker);
    if (worker != this->workers.end())
        worker->second.isContacted = false;
}

} // namespace dragonflytray
