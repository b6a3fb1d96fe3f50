// Handlers of the queries of `Scheduler`.

#include "scheduling/scheduler.h"

namespace dragonflytray {

SchedulerView Scheduler::queueView(const SchedulerQuery& query, Instant now) const
{
    const auto& queueQuery = std::get<QueueQuery>(query);
    if (this->configuration.version == 0)
        return QueueView { ReplyStatus::Refused, ReplyReason::NoConfiguration };
    const QueueRule* queue = this->configuration.findQueue(queueQuery.host, queueQuery.path);
    if (!queue)
        return QueueView { ReplyStatus::NoSuchQueue, ReplyReason::UnknownRoute };
    if (!this->hasReadStore || now >= this->lastJobsRead + this->options.maxCountAge)
        return QueueView { ReplyStatus::Refused, ReplyReason::JobsNotRead };
    return QueueView { ReplyStatus::QueueFound, ReplyReason::None, this->jobCache.countPending(queue->host, queue->pathPrefix) };
}

SchedulerView Scheduler::readinessView(const SchedulerQuery&, Instant now) const
{
    const bool hasStore = this->hasReadStore && now < this->lastStoreAnswer + this->options.storeTimeout;
    return ReadinessView { .isReady = hasStore && this->configuration.version > 0 };
}

SchedulerView Scheduler::summaryView(const SchedulerQuery&, Instant now) const
{
    SchedulerSummary summary {
        .configurationVersion = this->configuration.version,
        .followedVersion = this->appliedVersion,
        .storeAgeMilliseconds = toMilliseconds(now - this->lastStoreAnswer),
        .viewAgeMilliseconds = {},
        .knownJobs = this->jobCache.size(),
        .activeJobs = this->dispatcher.activeJobs(),
        .runningTasks = this->dispatcher.runningTasks(),
        .unrecordedJobs = this->dispatcher.unrecordedJobs(),
        .isDelegating = this->dispatcher.isDelegating(),
        .startWindowBytes = this->dispatcher.startWindowBytes(),
        .startBytesUnderWay = this->dispatcher.startBytesUnderWay(),
        .followsEvacuations = this->dispatcher.followsEvacuations(),
        .evacuatedDataCentres = this->dispatcher.evacuations().count(),
        .evacuatedRuns = this->dispatcher.evacuatedRuns(),
        .judgesWorkers = this->dispatcher.judgesWorkers(),
        .reducedWorkers = this->dispatcher.health().count(WorkerCondition::Reduced),
        .quarantinedWorkers = this->dispatcher.health().count(WorkerCondition::Quarantined),
        .sparedWorkers = this->dispatcher.health().sparedCount(),
        .learnsRunTimes = this->dispatcher.learnsRunTimes(),
        .runTimeKeys = this->dispatcher.observedRunTimes().size(),
        .queueDebts = this->dispatcher.queueDebts(),
        .refusesHopeless = this->options.refusesHopeless,
        .admissions = this->admissionCounts,
        .replies = this->clientRequests.replies(),
        .retries = this->clientRequests.retries(),
        .stageTimes = this->stageTimes,
    };
    if (this->dispatcher.leadsAny())
        summary.viewAgeMilliseconds = this->dispatcher.viewAge(now);
    for (const auto& [cell, leadership] : this->leaderships) {
        summary.ledCells += leadership.epoch() != 0 ? 1 : 0;
        summary.highestEpoch = std::max(summary.highestEpoch, leadership.row().epoch);
    }
    return summary;
}

} // namespace dragonflytray
