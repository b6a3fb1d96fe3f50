// Handlers of configuration changes, of evacuations, of the handover, and of the periodic tick.

#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::size_t rowsPerJob = 3; // definition, progress and cancellation

} // namespace

void Scheduler::configurationFollowed(const SchedulerCommand& command, CommandContext& context)
{
    const SchedulingConfiguration& configuration = std::get<ConfigurationFollowed>(command).configuration;
    if (configuration.version <= this->configuration.version)
        return;
    context.add(LogDecision { DecisionEvent::ConfigurationApplied, "configuration", {}, "in-force", configuration.version, 0 });
    this->configuration = configuration;
    this->dispatcher.configurationChanged(configuration);
}

void Scheduler::evacuationsFollowed(const SchedulerCommand& command, CommandContext& context)
{
    this->dispatcher.evacuationsFollowed(std::get<EvacuationsFollowed>(command).delivered, context);
}

void Scheduler::beginHandover(const SchedulerCommand&, CommandContext& context)
{
    this->dispatcher.beginHandover();
    for (auto& [cell, leadership] : this->leaderships) {
        leadership.release();
        leadership.renewImmediately();
    }
    this->registration.withdraw();
    this->registration.maintain(context);
    this->maintainLeases(context);
}

void Scheduler::tick(const SchedulerCommand& command, CommandContext& context)
{
    this->wallTime = std::get<SchedulerTick>(command).wallTime;
    context.wallTime = this->wallTime;
    this->maintainLeases(context);
    this->dispatcher.tick(context);
    this->clientRequests.tick(context);
    this->checkCancellations(context);
    this->removeEndedJobs(context);
    this->removeUnmatchedCancellations(context);
    this->removeLostHosts(context);
    if (this->hasReadStore)
        this->registration.maintain(context);
}

void Scheduler::checkCancellations(CommandContext& context)
{
    const Instant viewedAt = this->dispatcher.jobsViewedAt();
    if (!this->dispatcher.leadsAny() || !this->cancellationCheck.isDue(viewedAt, context.now))
        return;
    for (WriteStoredRows& write : this->cancellationCheck.collect(this->dispatcher.runningJobs(), viewedAt, context.nextWrite, context.now))
        context.add(std::move(write));
}

void Scheduler::removeLostHosts(CommandContext& context)
{
    if (!this->dispatcher.leadsAny() || context.now < this->nextHostRemovalAt)
        return;
    this->nextHostRemovalAt = context.now + this->options.removalInterval;
    // A host that is alive writes its row again when it sees the removal.
    for (const HostName& host : this->dispatcher.agentsFailedSince(context.now - this->options.lostHostRetention)) {
        const StoredRowKey key { StoredRowKind::EntryHost, host.value() };
        WriteStoredRows write { .write = context.nextWrite++, .partition = partitionOf(key), .conditions = {}, .puts = {}, .removals = { key } };
        context.add(std::move(write));
        context.add(LogDecision { DecisionEvent::HostForgotten, host.value(), {}, "no-answer", 0, toMilliseconds(this->options.lostHostRetention) });
    }
}

void Scheduler::removeUnmatchedCancellations(CommandContext& context)
{
    if (context.now < this->nextCancellationRemovalAt)
        return;
    this->nextCancellationRemovalAt = context.now + this->options.removalInterval;
    this->unmatchedCancellations.observe(this->jobCache, context.now);
    // The rows belong to no cell. The leader of the first one removes them.
    if (!this->dispatcher.leads(this->leaderships.begin()->first))
        return;
    for (WriteStoredRows& write : this->unmatchedCancellations.removalsDue(this->nextWrite, context.now))
        context.add(std::move(write));
}

void Scheduler::removeEndedJobs(CommandContext& context)
{
    if (context.now < this->nextRemovalAt)
        return;
    this->nextRemovalAt = context.now + this->options.removalInterval;
    std::map<std::uint32_t, WriteStoredRows> writes;
    for (const auto& [id, record] : this->jobCache.all()) {
        const bool isOld = isFinal(record.progress.phase) && record.progress.endedAt > 0 && record.progress.endedAt + toMilliseconds(this->options.endedJobRetention) < context.wallTime;
        if (!isOld || !this->dispatcher.leads(record.definition.cell))
            continue;
        const StoredRowKey definition { StoredRowKind::Definition, id.value() };
        WriteStoredRows& write = writes[partitionOf(definition)];
        write.partition = partitionOf(definition);
        if (write.removals.size() >= rowsPerJob * this->options.maxJobsPerRemovalWrite)
            continue;
        for (const StoredRowKind kind : { StoredRowKind::Definition, StoredRowKind::Progress, StoredRowKind::Cancellation })
            write.removals.push_back({ kind, id.value() });
    }
    for (auto& [partition, write] : writes) {
        write.write = context.nextWrite++;
        context.add(std::move(write));
    }
}

} // namespace dragonflytray
