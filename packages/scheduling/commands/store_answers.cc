// Handlers of the commands that deliver answers of the store.

#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

void Scheduler::storedRowsRead(const SchedulerCommand& command, CommandContext& context)
{
    const auto& read = std::get<StoredRowsRead>(command);
    this->noteStoreAnswer(context.now);
    this->hasReadStore = true;
    this->lastJobsRead = context.now;
    for (const StoredRowChange& change : read.rows)
        this->applyRow(change, context);
    if (read.isWhole) {
        for (const JobId& job : this->jobCache.retainListed(read.rows, read.revision))
            this->dispatcher.jobRemoved(job);
    }
    this->appliedVersion = std::max(this->appliedVersion, read.revision);
    this->dispatcher.storeFollowed(this->appliedVersion, this->jobCache, context);
    this->maintainLeases(context);
    this->dispatcher.tick(context);
}

void Scheduler::noteStoreAnswer(Instant now)
{
    this->lastStoreAnswer = now;
    this->dispatcher.storeAnswered(now);
}

void Scheduler::applyRow(const StoredRowChange& change, CommandContext& context)
{
    if (change.key.kind == StoredRowKind::CellLease)
        return this->observeLease(change, context);
    if (change.key.kind == StoredRowKind::WorkerRoster)
        return; // of an earlier release, which kept rosters beside the jobs
    if (change.key.kind == StoredRowKind::EntryHost)
        return this->hostChanged(change);
    if (const JobRecord* record = this->jobCache.apply(change)) {
        if (record->isDefined()) {
            this->clientRequests.jobStored(*record, context);
            this->dispatcher.jobChanged(*record, context);
        }
    } else if (change.key.kind == StoredRowKind::Definition) {
        this->dispatcher.jobRemoved(JobId(change.key.name));
    }
}

void Scheduler::hostChanged(const StoredRowChange& change)
{
    const HostName host(change.key.name);
    const auto* row = change.value ? std::get_if<EntryHost>(&*change.value) : nullptr;
    if (host == this->options.self)
        return this->registration.observe(row);
    if (!row || row->agent.port == 0)
        return this->dispatcher.agentChanged(host, nullptr);
    const AgentCandidate candidate { .host = host, .dataCentre = row->dataCentre, .endpoint = row->agent, .linkMegabits = row->linkMegabits, .processorShare = row->processorShare };
    this->dispatcher.agentChanged(host, &candidate);
}

void Scheduler::observeLease(const StoredRowChange& change, CommandContext& context)
{
    const auto* row = change.value ? std::get_if<CellLease>(&*change.value) : nullptr;
    const auto found = this->leaderships.find(CellName(change.key.name));
    if (row && found != this->leaderships.end())
        this->applyLeaseResult(found->first, found->second.observe(*row, change.version, context.now), context);
}

void Scheduler::applyLeaseResult(const CellName& cell, LeadershipChange change, CommandContext& context)
{
    this->applyLeadershipChange(cell, change, context);
    if (const auto report = this->leaderships.at(cell).takeStoredReport())
        this->dispatcher.reportStored(cell, *report);
}

void Scheduler::rowsWriteEnded(const SchedulerCommand& command, CommandContext& context)
{
    const auto& end = std::get<RowsWriteEnded>(command);
    if (end.status == TransactionStatus::Committed || end.status == TransactionStatus::Conflict)
        this->dispatcher.storeAnswered(context.now);
    if (const auto sent = this->writesInFlight.extract(end.write); sent && end.status == TransactionStatus::Committed)
        this->dispatcher.writeCommitted(end.revision, sent.mapped());
    if (this->clientRequests.owns(end.write)) {
        // Callers see the change at once. The dispatcher receives a new job from the change feed, after any newer lease, so
        // that a host that has lost a cell does not start it. A cancellation can't come too early.
        if (const auto change = this->clientRequests.writeEnded(end, context)) {
            const JobRecord* record = this->jobCache.apply(*change);
            if (record && record->isDefined() && change->key.kind == StoredRowKind::Cancellation)
                this->dispatcher.cancellationStored(*record, context);
        }
    } else if (this->registration.owns(end.write)) {
        this->registration.writeEnded(end, context.now);
    } else if (this->cancellationCheck.owns(end.write)) {
        this->cancellationsChecked(end, context);
    } else if (this->dispatcher.owns(end.write)) {
        for (const CellName& cell : this->dispatcher.writeEnded(end, context))
            this->applyLeadershipChange(cell, this->leaderships.at(cell).fence(), context);
    } else {
        for (auto& [cell, leadership] : this->leaderships) {
            if (!leadership.owns(end.write))
                continue;
            this->applyLeaseResult(cell, leadership.writeEnded(end, context.now), context);
        }
    }
    this->dispatcher.tick(context);
}

void Scheduler::cancellationsChecked(const RowsWriteEnded& end, CommandContext& context)
{
    const CancellationCheckResult result = this->cancellationCheck.writeEnded(end, context.now);
    LogDecision checked { DecisionEvent::CancellationsChecked, std::to_string(end.write), {}, std::string(transactionStatusNames.nameOf(end.status)), this->appliedVersion, toMilliseconds(result.answerTime), this->dispatcher.viewAge(context.now) };
    checked.inputs = { { DecisionInput::Jobs, static_cast<std::int64_t>(result.jobs) }, { DecisionInput::CancelledJobs, static_cast<std::int64_t>(result.cancellations.size()) } };
    context.add(std::move(checked));
    for (const StoredRowChange& change : result.cancellations) {
        if (!this->jobCache.find(JobId(change.key.name))) // removed meanwhile
            continue;
        const JobRecord* record = this->jobCache.apply(change);
        if (record && record->isDefined())
            this->dispatcher.cancellationStored(*record, context);
    }
}

void Scheduler::jobRowsRead(const SchedulerCommand& command, CommandContext& context)
{
    const auto& read = std::get<JobRowsRead>(command);
    const JobRecord* cached = this->jobCache.find(read.job);
    const bool isDefined = (cached && cached->isDefined()) || std::any_of(read.rows.begin(), read.rows.end(), [](const StoredRowChange& row) { return row.key.kind == StoredRowKind::Definition && row.value; });
    // A job that is not stored is left to the change feed, which also delivers the removal of its cancellation.
    for (const StoredRowChange& change : read.rows) {
        if (isDefined)
            this->jobCache.apply(change);
    }
    this->clientRequests.rowsRead(read, this->jobCache, context);
}

void Scheduler::rostersRead(const SchedulerCommand& command, CommandContext& context)
{
    this->noteStoreAnswer(context.now);
    this->dispatcher.rostersRead(std::get<RostersRead>(command), this->jobCache, context);
    this->maintainLeases(context);
    this->dispatcher.tick(context);
}

void Scheduler::storeRegained(CommandContext& context)
{
    this->dispatcher.storeRegained();
    for (auto& [cell, leadership] : this->leaderships)
        leadership.storeRegained(context.now);
}

void Scheduler::storeContact(const SchedulerCommand& command, CommandContext& context)
{
    const bool isAnswering = std::get<StoreContact>(command).isAnswering;
    if (isAnswering)
        this->noteStoreAnswer(context.now);
    if (isAnswering == this->isStoreAnswering)
        return;
    this->isStoreAnswering = isAnswering;
    this->clientRequests.storeContactChanged(isAnswering, context);
    if (isAnswering)
        this->storeRegained(context);
    else
        this->dispatcher.storeLost();
    context.add(LogDecision { isAnswering ? DecisionEvent::StoreRegained : DecisionEvent::StoreLost, "store", {}, {}, this->appliedVersion, toMilliseconds(context.now - this->lastStoreAnswer) });
}

} // namespace dragonflytray
