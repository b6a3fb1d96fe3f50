#include "batch/batch.h"

namespace dragonflytray {

namespace {

    std::optional<RefusalReason> reasonToRefuse(const DeclarationInForce& inForce, const Job& job)
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
    if (auto reason = reasonToRefuse(this->inForce, job)) {
        ++this->refusals[*reason];
        effects.push_back(ReplyToSubmitter { submitted.token, SubmissionStatus::Refused, *reason, std::move(job) });
        return;
    }
    const BatchClassDeclaration* batchClass = this->inForce.declaration->findBatchClass(job.batchClass);
    if (job.need == Capacity {})
        job.need = batchClass->need;
    if (job.declaredRunTime == Duration(0))
        job.declaredRunTime = batchClass->runTime;
    job.dataCentre = this->options.dataCentre;
    job.state = JobState::Queued;
    const RowKey key { RowKind::Job, job.id.value() };
    PendingTransaction pending;
    pending.purpose = Purpose::Submission;
    pending.token = submitted.token;
    pending.transaction.conditions = { { key, 0 } };
    pending.transaction.writes = { { key, std::move(job) } };
    this->send(std::move(pending), now, effects);
}

} // namespace dragonflytray
