#include "batch/batch.h"

namespace dragonflytray {

namespace {

    std::optional<RefusalReason> refusalReasonFor(const DeclarationInForce& inForce, const Job& job)
    {
        if (!inForce.declaration)
            return RefusalReason::NoConfiguration;
        if (!inForce.declaration->findTeam(job.team))
            return RefusalReason::UnknownTeam;
        if (!inForce.declaration->findBatchClass(job.batchClass))
            return RefusalReason::UnknownBatchClass;
        return std::nullopt;
    }

} // namespace

void Batch::submitJob(const BatchCommand& command, Instant now, BatchEffects& effects)
{
    const auto& submitted = std::get<SubmitJob>(command);
    Job job = submitted.job;
    if (auto known = this->jobs.find(job.id); known != this->jobs.end()) {
        effects.push_back(ReplyToSubmitter { submitted.token, SubmissionStatus::Repeated, RefusalReason::DuplicateRequest, known->second.job });
        return;
    }
    auto reason = refusalReasonFor(this->inForce, job);
    if (!reason && !this->workers.empty() && !this->fitsAnyWorker(job.need == Capacity {} ? this->inForce.declaration->findBatchClass(job.batchClass)->need : job.need))
        reason = RefusalReason::NeverRunnable;
    // While the store does not respond, a write would only end with an unknown outcome for the submitter.
    if (!reason && this->storeUnresponsiveSince && now - *this->storeUnresponsiveSince > this->options.leaseMargin)
        reason = RefusalReason::StoreUnavailable;
    if (!reason && this->submissionsInFlight >= this->options.maxSubmissionsInFlight)
        reason = RefusalReason::QueueFull;
    if (reason) {
        ++this->refusals[*reason];
        effects.push_back(ReplyToSubmitter { submitted.token, SubmissionStatus::Refused, *reason, std::move(job) });
        return;
    }
    const BatchClassDeclaration* batchClass = this->inForce.declaration->findBatchClass(job.batchClass);
    if (job.need == Capacity {})
        job.need = batchClass->need;
    if (job.declaredRunTime == Duration(0))
        job.declaredRunTime = batchClass->defaultRunTime;
    job.dataCentre = this->options.dataCentre;
    job.state = JobState::Queued;
    job.attempt = 0;
    const RowKey key { RowKind::Job, job.id.value() };
    PendingTransaction pending;
    pending.purpose = Purpose::Submission;
    pending.token = submitted.token;
    pending.transaction.conditions = { { key, 0 } };
    pending.transaction.writes = { { key, std::move(job) } };
    ++this->submissionsInFlight;
    this->sendTransaction(std::move(pending), now, effects);
}

} // namespace dragonflytray
