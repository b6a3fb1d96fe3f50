#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

std::string formatRun(const TaskRunId& run)
{
    const TaskId& task = run.task;
    return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index) + "#" + std::to_string(run.run);
}

Dispatcher::Dispatcher(Options options, const std::map<DataCentreName, CellName>& cellOf)
    : options(options)
    , fleet(options.fleet, cellOf)
    , recorder(options.recorder)
    , agents(options.agents)
    , startWindow(options.startWindow)
    , bestEffortControl(options.bestEffort)
    , crashSuspects(options.crashes)
    , crashVerdicts(options.crashVerdicts)
    , dataCentreEvacuations(options.evacuations)
    , runTimes(options.runTimes)
    , workerHealth(options.workerHealth)
    , queueShares(options.queueShares)
{
}

void Dispatcher::cellAcquired(const CellAcquired& acquired, CommandContext& context)
{
    this->acquiredCells[acquired.cell] = acquired;
    this->lastFencedEpoch.reset();
    context.add(ReadRosters {});
    context.add(FollowWorkers { true });
}

void Dispatcher::beginToLead(const CellAcquired& acquired, const JobCache& jobCache, CommandContext& context)
{
    Cell cell { .epoch = acquired.epoch, .acquiredAt = acquired.acquiredAt, .leadingSince = context.now };
    cell.formerLeaseEnd = this->fleet.latestLeaseEnd(context.now + this->options.formerLeaderTimeout, this->options.maxLeaseAfterTerm);
    cell.formerRuns.inherit(WorkerId(), { acquired.former.unconfirmed.begin(), acquired.former.unconfirmed.end() }, cell.formerLeaseEnd);
    this->fleet.beginEpoch(acquired.cell, context.now);
    this->workerHealth.clear();
    std::erase_if(this->orphanedRuns, [&](const auto& entry) { const FleetWorker* worker = this->fleet.find(entry.second); return !worker || worker->cell == acquired.cell; });
    Cell& ledCell = this->cells[acquired.cell] = std::move(cell);
    this->inheritWorkers(acquired, ledCell);
    for (const auto& [id, record] : jobCache.all()) {
        const bool isFollowed = record.definitionVersion <= this->followedVersion;
        if (isFollowed && record.definition.cell == acquired.cell)
            this->openJob(record, ledCell, context);
    }
    LogDecision begun { DecisionEvent::LeadershipBegun, acquired.cell.value(), {}, "store-followed", ledCell.epoch, 0 };
    begun.inputs = this->takeoverInputs(acquired.cell, ledCell);
    begun.inputs.push_back({ DecisionInput::Jobs, static_cast<std::int64_t>(this->jobExecutions.size()) });
    context.add(std::move(begun));
    for (const EvacuationChange& change : this->dataCentreEvacuations.inEffect())
        this->logEvacuation(DecisionEvent::EvacuationInForce, { .change = change }, context);
}

void Dispatcher::leaseExtended(const CellName& cell, Instant leaseEnd)
{
    if (const auto found = this->cells.find(cell); found != this->cells.end())
        found->second.leaseEnd = leaseEnd;
}

void Dispatcher::cellLost(const CellName& cell)
{
    this->acquiredCells.erase(cell);
    this->cells.erase(cell);
    if (this->cells.empty()) {
        this->startsUnderWay.clear();
        this->startWindow.reset();
        this->crashVerdicts.clear();
        this->crashSuspects.clear();
        this->workerHealth.clear();
        this->queueShares.clear();
    }
    std::erase_if(this->jobExecutions, [&](const auto& entry) { return entry.second->definition().cell == cell; });
}

void Dispatcher::writeCommitted(RowVersion version, Instant sentAt)
{
    this->jobsView.writeCommitted(version, sentAt);
    this->workersView.writeCommitted(version, sentAt);
    if (this->followsEvacuations())
        this->evacuationsView.writeCommitted(version, sentAt);
}

void Dispatcher::storeFollowed(RowVersion version, const JobCache& jobCache, CommandContext& context)
{
    this->followedVersion = std::max(this->followedVersion, version);
    this->jobsView.followed(version);
    this->beginToLeadFollowed(jobCache, context);
    this->reconcileCells(context);
}

void Dispatcher::beginToLeadFollowed(const JobCache& jobCache, CommandContext& context)
{
    for (auto entry = this->acquiredCells.begin(); entry != this->acquiredCells.end();) {
        const CellAcquired acquired = entry->second;
        const bool isKnown = std::min(this->followedVersion, this->rostersReadAt) >= acquired.acquiredAt;
        entry = isKnown ? this->acquiredCells.erase(entry) : std::next(entry);
        if (isKnown)
            this->beginToLead(acquired, jobCache, context);
    }
}

void Dispatcher::jobChanged(const JobRecord& record, CommandContext& context)
{
    const auto cell = this->cells.find(record.definition.cell);
    if (cell == this->cells.end())
        return;
    JobExecution* job = this->findJobExecution(record.definition.id);
    if (!job)
        return this->openJob(record, cell->second, context);
    if (record.progress.epoch < cell->second.epoch && record.progressVersion > job->version()) {
        job->mergeProgress(record.progress, record.progressVersion, context.now);
        this->markDirty(*job);
        this->advance(*job, context);
    }
    if (record.cancellationVersion > 0 && !isFinal(job->progress().phase))
        this->finish(*job, JobPhase::Cancelled, context);
}

void Dispatcher::cancellationStored(const JobRecord& record, CommandContext& context)
{
    JobExecution* job = this->findJobExecution(record.definition.id);
    if (job && !isFinal(job->progress().phase))
        this->finish(*job, JobPhase::Cancelled, context);
}

void Dispatcher::jobRemoved(const JobId& job)
{
    this->jobExecutions.erase(job);
    this->finishedJobs.erase(job);
}

void Dispatcher::openJob(const JobRecord& record, const Cell& cell, CommandContext& context)
{
    if (!record.isDefined() || isFinal(record.progress.phase))
        return;
    const bool mayHaveRuns = record.definitionVersion < cell.acquiredAt && !cell.isReconciled;
    // The time of acceptance is from the clock of another host, so it counts only where the job was not seen at once; the times of a
    // repeated job are due long after it.
    const WallTime age = mayHaveRuns && record.definition.repetitions == 0 ? std::max<WallTime>(context.wallTime - record.definition.acceptedAt, 0) : 0;
    auto execution = std::make_unique<JobExecution>(record, cell.epoch, mayHaveRuns, context.now - std::chrono::milliseconds(age));
    JobExecution& job = *execution;
    if (this->options.learnsRunTimes)
        job.expectCriticalPath(this->expectedCriticalPath(record.definition));
    this->jobExecutions[record.definition.id] = std::move(execution);
    if (record.cancellationVersion > 0)
        return this->finish(job, JobPhase::Cancelled, context);
    this->advance(job, context);
}

void Dispatcher::advance(JobExecution& job, CommandContext& context)
{
    if (isFinal(job.progress().phase))
        return;
    this->giveUpCrashedTasks(job, context);
    if (isFinal(job.progress().phase))
        return;
    if (job.isComplete())
        return this->finish(job, JobPhase::Completed, context);
    if (const auto due = job.openDueSteps(context.wallTime, context.now))
        this->nextOccurrenceDue = std::min(this->nextOccurrenceDue.value_or(*due), *due);
    const Cell& cell = this->cells.at(job.definition().cell);
    if (cell.isReconciled && !cell.formerRuns.isEmpty())
        job.reconcile(cell.formerRuns.tasks(), context.now);
    if (!this->orphanedRuns.empty())
        this->adoptOrphanedRuns(job, context);
    this->needsPass = true;
}

void Dispatcher::markRunning(JobExecution& job, const TaskId& task, CommandContext& context)
{
    job.setStage(task, TaskStage::Running, context.now);
    if (job.progress().phase != JobPhase::Queued)
        return;
    job.setPhase(JobPhase::Running, context.wallTime);
    this->markDirty(job);
}

void Dispatcher::finish(JobExecution& job, JobPhase phase, CommandContext& context)
{
    const DecisionEvent event = phase == JobPhase::Completed ? DecisionEvent::JobCompleted : phase == JobPhase::Failed ? DecisionEvent::JobFailed
                                                                                                                       : DecisionEvent::JobCancelled;
    job.setPhase(phase, context.wallTime);
    this->markDirty(job);
    this->finishedJobs.emplace(job.definition().id, context.now);
    context.add(LogDecision { event, job.definition().id.value(), {}, std::string(jobPhaseNames.nameOf(phase)), job.version(), context.wallTime - job.definition().acceptedAt });
    this->stopTasks(job, "job-over", context);
    for (const auto& [run, id] : this->orphanedRuns) {
        FleetWorker* worker = run.task.job == job.definition().id ? this->fleet.find(id) : nullptr;
        if (worker)
            this->stopRun(*worker, run, "job-over", context);
    }
}

void Dispatcher::stopTasks(JobExecution& job, const char* cause, CommandContext& context)
{
    job.forEachTask([&](const TaskId& task, TaskExecution& taskExecution) {
        if (!isOnWorker(taskExecution.stage))
            return;
        if (FleetWorker* worker = this->fleet.find(taskExecution.worker))
            this->stopRun(*worker, { task, taskExecution.run }, cause, context);
    });
}

void Dispatcher::markDirty(JobExecution& job)
{
    if (job.isDirty())
        this->recorder.add(job.definition().id, isFinal(job.progress().phase));
}

JobExecution* Dispatcher::findJobExecution(const JobId& job)
{
    const auto found = this->jobExecutions.find(job);
    return found == this->jobExecutions.end() ? nullptr : found->second.get();
}

const QueueRule& Dispatcher::queueRuleOf(const JobExecution& job) const
{
    const auto found = this->queues.find(job.definition().queue.name);
    return found == this->queues.end() ? job.definition().queue : found->second;
}

void Dispatcher::workersListed(const WorkersListed& change, Instant now)
{
    this->fleet.updateList(change, now);
    this->countWorkers();
    this->workersView.followed(change.revision);
    this->needsPass = true;
}

Instant Dispatcher::viewedAt() const
{
    const Instant viewedAt = std::min(this->jobsView.asOf(), this->workersView.asOf());
    return this->followsEvacuations() ? std::min(viewedAt, this->evacuationsView.asOf()) : viewedAt;
}

std::optional<std::int64_t> Dispatcher::viewAge(Instant now) const
{
    return this->viewedAt() == Instant() ? std::nullopt : std::optional(toMilliseconds(now - this->viewedAt()));
}

bool Dispatcher::mayStartTasks(Instant now) const
{
    const bool isStoreSilent = this->isStoreLost && now >= this->lastStoreAnswer + this->options.storeSilenceTimeout;
    const Instant comparedAt = isStoreSilent ? this->lastStoreAnswer : now;
    const bool areEvacuationsRecent = !this->followsEvacuations() || comparedAt < this->evacuationsView.asOf() + this->options.maxEvacuationsViewAge;
    return areEvacuationsRecent && comparedAt < this->jobsView.asOf() + this->options.maxJobsViewAge && comparedAt < this->workersView.asOf() + this->options.maxWorkersViewAge;
}

void Dispatcher::configurationChanged(const SchedulingConfiguration& configuration)
{
    for (const QueueRule& queue : configuration.queues)
        this->queues[queue.name] = queue;
}

std::vector<CellName> Dispatcher::writeEnded(const RowsWriteEnded& end, CommandContext& context)
{
    std::vector<CellName> lostCells;
    const Recorder::ForeignWrites foreign = this->recorder.writeEnded(end, this->jobExecutions, context.now);
    for (const JobId& job : foreign.later)
        lostCells.push_back(this->findJobExecution(job)->definition().cell);
    for (const JobId& job : foreign.earlier)
        this->advance(*this->findJobExecution(job), context); // the merged ends may have completed a step or the job
    if (end.status != TransactionStatus::Committed)
        context.add(LogDecision { DecisionEvent::WriteRetried, std::to_string(end.write), {}, std::string(transactionStatusNames.nameOf(end.status)), end.revision, 0 });
    std::erase_if(this->workersWithUnacknowledgedEnds, [&](const WorkerId& id) {
        FleetWorker* worker = this->fleet.find(id);
        if (worker)
            this->acknowledge(*worker, context);
        if (worker && worker->unacknowledgedEnds.empty() && this->mayPoll(*worker, context.now))
            this->poll(*worker, context);
        return !worker || worker->unacknowledgedEnds.empty();
    });
    return lostCells;
}

void Dispatcher::tick(CommandContext& context)
{
    if (this->cells.empty())
        return;
    this->reconcileCells(context);
    this->judgeCrashes(context);
    this->judgeWorkers(context);
    if (this->nextOccurrenceDue && context.wallTime >= *this->nextOccurrenceDue) {
        this->nextOccurrenceDue.reset();
        for (auto& [id, job] : this->jobExecutions)
            this->advance(*job, context);
    }
    this->placeTasks(context);
    this->reportWaits(context);
    this->pollWorkers(context);
    for (WriteStoredRows& write : this->recorder.collect(this->jobExecutions, context.nextWrite, context.now))
        context.add(std::move(write));
    this->removeFinishedJobs(context);
}

void Dispatcher::removeFinishedJobs(CommandContext& context)
{
    std::erase_if(this->finishedJobs, [&](const auto& entry) {
        const auto& [id, finishedAt] = entry;
        JobExecution* job = this->findJobExecution(id);
        if (!job)
            return true;
        // The job stays until the cache holds its end, or a change of its record would open it again.
        if (job->isDirty() || !job->isEndObserved())
            return false;
        bool isOccupied = false;
        job->forEachTask([&](const TaskId&, const TaskExecution& taskExecution) { isOccupied = isOccupied || isOnWorker(taskExecution.stage); });
        if (!isOccupied) {
            context.stageTimes[Stage::Show].record(context.now - finishedAt);
            this->jobExecutions.erase(id);
        }
        return !isOccupied;
    });
}

std::size_t Dispatcher::runningTasks() const
{
    std::size_t running = 0;
    for (const auto& [id, worker] : this->fleet.all())
        running += worker.runs.size();
    return running;
}

std::vector<JobId> Dispatcher::runningJobs() const
{
    std::set<JobId> jobs;
    for (const auto& [id, worker] : this->fleet.all()) {
        for (const auto& [run, allocation] : worker.runs)
            jobs.insert(run.task.job);
    }
    std::erase_if(jobs, [this](const JobId& job) {
        const auto execution = this->jobExecutions.find(job);
        return execution == this->jobExecutions.end() || isFinal(execution->second->progress().phase);
    });
    return { jobs.begin(), jobs.end() };
}

void Dispatcher::countWorkers()
{
    std::map<DataCentreName, std::size_t> counts;
    std::map<PeerGroupName, std::size_t> peers;
    for (const auto& [id, worker] : this->fleet.all()) {
        if (!worker.isListed)
            continue;
        ++counts[worker.entry.dataCentre];
        if (this->options.judgesWorkers)
            ++peers[peersOf(worker)];
    }
    this->agents.workersCounted(std::move(counts));
    this->workerHealth.workersCounted(std::move(peers));
}

void Dispatcher::agentContact(const Endpoint& agent, bool isAnswering, CommandContext& context)
{
    if (isAnswering)
        return this->agents.agentAnswered(agent);
    this->agents.agentFailed(agent, context.now);
    for (auto& [id, job] : this->jobExecutions)
        job->agentsWithSpec.erase(agent);
    context.add(LogDecision { DecisionEvent::AgentLost, agent.address + ":" + std::to_string(agent.port), {}, "no-answer", 0, 0 });
}

WorkerAddress Dispatcher::addressOf(const FleetWorker& worker, Instant now)
{
    const AgentCandidate* agent = this->agents.agentFor(worker.entry.dataCentre, worker.entry.id.value(), now);
    const auto cell = this->cells.find(worker.cell);
    return { worker.entry.id, worker.entry.endpoint, { cell == this->cells.end() ? 0 : cell->second.epoch, worker.restarts }, agent ? agent->endpoint : Endpoint() };
}

} // namespace dragonflytray
