// Handling of the reports of workers: their incarnations, and the runs and ends that they name.

#include "scheduling/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace dragonflytray {

void Dispatcher::pollEnded(const PollEnded& end, CommandContext& context)
{
    FleetWorker* worker = this->fleet.find(end.worker);
    if (!worker || end.sentAt < worker->answeredPollSentAt) // the answer to a later poll was handled already
        return;
    worker->isPollInFlight = false;
    const auto cell = this->cells.find(worker->cell);
    if (cell == this->cells.end())
        return;
    if (end.token.epoch != cell->second.epoch) {
        worker->nextPollAt = context.now;
        return;
    }
    if (isFencedByOther(*worker, end.token, end.status)) {
        this->lastFencedEpoch = end.token.epoch;
        return;
    }
    if (end.status != WorkerCallStatus::Ok)
        return this->handleFailedPoll(*worker, end, context);
    this->adoptIncarnation(*worker, end, context);
    for (const EndedRun& run : end.ended) {
        if (run.number > worker->lastHandledEnd)
            this->handleEnd(*worker, run, context);
    }
    this->reconcileRuns(*worker, end, context);
    this->settleRuns(*worker, end, context);
    this->throttleBestEffort(*worker, context);
    this->acknowledge(*worker, context);
    worker->nextPollAt = worker->unacknowledgedEnds.empty() ? context.now : context.now + this->options.unrecordedPollInterval;
    this->placeTasks(context);
    if (context.now >= worker->nextPollAt)
        this->poll(*worker, context);
}

void Dispatcher::adoptIncarnation(FleetWorker& worker, const PollEnded& end, CommandContext& context)
{
    const bool isOtherStart = end.startedAt != 0 && worker.answeredStartedAt != 0 && end.startedAt != worker.answeredStartedAt;
    const bool isClockReset = end.startedAt == 0 && worker.isClockReset(end.clock, end.sentAt, this->options.fleet.clockMargin, this->options.fleet.maxClockDrift);
    if (isOtherStart || isClockReset) {
        const WorkerEnd workerEnd = this->endOf(worker, end, context.now);
        if (!worker.isSuspect)
            this->recordContactLoss(worker, context.now);
        this->markFormerRunsLost(worker, end, context);
        this->expectLateStarts(worker, context);
        this->attributeCrash(worker, workerEnd, context);
        worker.lastHandledEnd = 0;
        worker.acknowledged = 0;
        worker.forgottenEnd = 0;
        worker.unacknowledgedEnds.clear();
        this->fleet.beginIncarnation(worker, context.now);
    } else if (worker.hasCallsOfFormerIncarnation()) {
        this->fleet.incarnationFenced(worker, context.now);
    }
    this->attributeLapsedRuns(worker, isOtherStart || isClockReset, end.startedAt, context);
    worker.forgottenEnd = std::max(worker.forgottenEnd, std::min(worker.polledAcknowledged, worker.acknowledged));
    if (end.startedAt != 0)
        worker.answeredStartedAt = end.startedAt;
    if (isOtherStart || isClockReset)
        this->crashVerdicts.confirmLoss(worker.entry.id);
    else if (worker.isSuspect)
        this->crashVerdicts.contactRegained(worker.entry.id);
    if (worker.isSuspect)
        context.add(LogDecision { DecisionEvent::WorkerTrusted, worker.entry.id.value(), {}, "answered", end.token.epoch, toMilliseconds(context.now - worker.lastAnswer) });
    worker.isSuspect = false;
    if (!worker.isFenced)
        this->fleet.firstAnswered(worker, context.now);
    worker.isFenced = true;
    if (!end.hasMoreEnds) // a whole report names all runs
        this->accountForWorker(worker);
    worker.clock = end.clock;
    worker.clockReadAt = end.receivedAt;
    Fleet::pollAnswered(worker);
    worker.lastAnswer = context.now;
    worker.answeredPollSentAt = end.sentAt;
    this->needsPass = true;
}

void Dispatcher::handleFailedPoll(FleetWorker& worker, const PollEnded& end, CommandContext& context)
{
    if (end.status == WorkerCallStatus::OtherIncarnation && worker.polledEndpoint != worker.entry.endpoint) {
        worker.nextPollAt = context.now; // the list has moved the worker meanwhile
        return;
    }
    if (end.status == WorkerCallStatus::OtherIncarnation) {
        // The incarnation that was polled no longer runs at this address, and no run outlives its incarnation.
        const WorkerEnd workerEnd = this->endOf(worker, end, context.now);
        if (!worker.isSuspect)
            this->recordContactLoss(worker, context.now);
        this->crashVerdicts.confirmLoss(worker.entry.id);
        this->markRunsLost(worker, RunLossCause::WorkerReplaced, context);
        this->attributeCrash(worker, workerEnd, context);
        this->attributeLapsedRuns(worker, true, 0, context);
        worker.isListed = false;
        this->accountForWorker(worker);
        worker.leaseEnd = context.now;
        worker.formerLeaseEnd = context.now;
        return;
    }
    if (end.status == WorkerCallStatus::NotSent)
        worker.leaseEnd = worker.leaseEndBeforePoll;
    if (!worker.isSuspect)
        context.add(LogDecision { DecisionEvent::WorkerSuspected, worker.entry.id.value(), {}, std::string(workerCallStatusNames.nameOf(end.status)), end.token.epoch, toMilliseconds(context.now - worker.lastAnswer) });
    const bool isFirst = !worker.isSuspect;
    worker.isSuspect = true;
    if (isFirst) {
        const bool isConnectionBroken = context.now <= end.sentAt + std::max(worker.polledWait, this->options.crashes.crashWindow);
        worker.contactLostAt = isConnectionBroken ? context.now : Instant();
        worker.silentSince = context.now;
        this->recordContactLoss(worker, context.now);
    }
    worker.nextPollAt = context.now + this->options.pollRetryDelay;
}

void Dispatcher::handleEnd(FleetWorker& worker, const EndedRun& end, CommandContext& context)
{
    worker.lastHandledEnd = end.number;
    this->needsPass = true;
    const TaskId& task = end.id.task;
    this->observeEnd(worker, end.id, runResultOf(end.outcome), context.now);
    this->fleet.release(worker, end.id);
    this->orphanedRuns.erase(end.id);
    JobExecution* job = this->findJobExecution(task.job);
    if (!job || task.step >= job->definition().steps.size() || task.index >= job->definition().steps[task.step].count) {
        LogDecision ignored { DecisionEvent::EndIgnored, formatRun(end.id), worker.entry.id.value(), std::string(runOutcomeNames.nameOf(end.outcome)), this->followedVersion, 0 };
        ignored.inputs = { { DecisionInput::EndNumber, static_cast<std::int64_t>(end.number) } };
        context.add(std::move(ignored));
        worker.unacknowledgedEnds.push_back({ end.number, task, 0, context.now });
        this->workersWithUnacknowledgedEnds.insert(worker.entry.id);
        return;
    }
    context.add(LogDecision { DecisionEvent::TaskEnded, formatRun(end.id), worker.entry.id.value(), std::string(runOutcomeNames.nameOf(end.outcome)), job->version(), context.wallTime - job->definition().acceptedAt });
    if (const TaskExecution* taskExecution = job->taskExecution(task); taskExecution && taskExecution->run == end.id.run && end.outcome == RunOutcome::Done)
        context.stageTimes[Stage::Run].record(context.now - taskExecution->since);
    if (end.outcome == RunOutcome::Done)
        this->handleDone(*job, task, context);
    else if (end.outcome == RunOutcome::Failed)
        this->handleFailure(*job, worker, end, context);
    else
        this->releaseTask(*job, end.id, end.checkpoint, context);
    if (end.outcome == RunOutcome::Done)
        worker.consecutiveFailures = 0;
    if (job->definition().steps[task.step].isGang && end.outcome != RunOutcome::Done)
        this->stopGang(*job, task, context);
    this->markDirty(*job);
    worker.unacknowledgedEnds.push_back({ end.number, task, job->generation(), context.now });
    this->workersWithUnacknowledgedEnds.insert(worker.entry.id);
    if (!isFinal(job->progress().phase))
        this->advance(*job, context);
}

void Dispatcher::handleDone(JobExecution& job, const TaskId& task, CommandContext& context)
{
    // If this run was given up as lost, another run of the task may have been started since.
    if (TaskExecution* taskExecution = job.taskExecution(task); taskExecution && isOnWorker(taskExecution->stage)) {
        FleetWorker* other = this->fleet.find(taskExecution->worker);
        if (other && other->runs.contains({ task, taskExecution->run }))
            this->stopRun(*other, { task, taskExecution->run }, "task-done", context);
    }
    if (job.definition().steps[task.step].isGang)
        job.markGangDone(task, context.now);
    else
        job.markDone(task, context.now);
}

void Dispatcher::handleFailure(JobExecution& job, FleetWorker& worker, const EndedRun& end, CommandContext& context)
{
    const TaskId& task = end.id.task;
    ++worker.consecutiveFailures;
    worker.lastFailure = context.now;
    if (worker.consecutiveFailures >= this->options.failuresBeforeCooldown && this->mayCoolAfterFailures(worker, context.now)) {
        worker.cooldownUntil = context.now + this->options.failureCooldown;
        context.add(LogDecision { DecisionEvent::WorkerSuspected, worker.entry.id.value(), {}, "failures", worker.consecutiveFailures, 0 });
    }
    const bool isNew = job.countFailure(task, end.id.run);
    if (TaskExecution* taskExecution = job.taskExecution(task))
        taskExecution->lastFailedWorker = worker.entry.id;
    this->releaseTask(job, end.id, end.checkpoint, context);
    const bool isLongRunning = job.definition().steps[task.step].isLongRunning;
    // Workers that have not answered this leader yet may report more failures of the task.
    if (const TaskExecution* taskExecution = job.taskExecution(task); taskExecution && taskExecution->stage == TaskStage::Waiting && job.mayHaveUnknownRuns() && !isLongRunning)
        job.setStage(task, TaskStage::Unaccounted, context.now);
    if (isNew && !isLongRunning && job.failures(task) >= this->queueRuleOf(job).maxAttempts && !isFinal(job.progress().phase))
        this->finish(job, JobPhase::Failed, context);
}

bool Dispatcher::mayCoolAfterFailures(const FleetWorker& worker, Instant now)
{
    const std::vector<FleetWorker*>& workers = this->fleet.workersOf(worker.cell, worker.entry.service);
    const auto cooling = std::count_if(workers.begin(), workers.end(), [&](const FleetWorker* other) {
        return other != &worker && other->isListed && other->consecutiveFailures >= this->options.failuresBeforeCooldown && now < other->cooldownUntil;
    });
    const auto listed = std::count_if(workers.begin(), workers.end(), [](const FleetWorker* other) { return other->isListed; });
    return 2 * (cooling + 1) <= listed;
}

void Dispatcher::releaseTask(JobExecution& job, const TaskRunId& run, const std::string& checkpoint, CommandContext& context)
{
    job.updateCheckpoint(run.task, checkpoint);
    TaskExecution* taskExecution = job.taskExecution(run.task);
    if (!taskExecution || taskExecution->stage == TaskStage::Done)
        return;
    const bool isCurrent = taskExecution->run == run.run || taskExecution->stage == TaskStage::Waiting || taskExecution->stage == TaskStage::Unaccounted;
    if (run.run > taskExecution->run)
        taskExecution->run = run.run;
    if (isCurrent && taskExecution->stage != TaskStage::Unaccounted)
        job.setStage(run.task, TaskStage::Waiting, context.now);
}

void Dispatcher::stopGang(JobExecution& job, const TaskId& task, CommandContext& context)
{
    StepExecution* stepExecution = job.stepExecution(task.occurrence, task.step);
    for (std::uint32_t index = 0; stepExecution && index < stepExecution->tasks.size(); ++index) {
        TaskExecution& member = stepExecution->tasks[index];
        if (!isOnWorker(member.stage) || member.stage == TaskStage::Stopping)
            continue;
        if (FleetWorker* worker = this->fleet.find(member.worker))
            this->stopRun(*worker, { { task.job, task.occurrence, task.step, index }, member.run }, "gang-broken", context);
    }
}

void Dispatcher::acknowledge(FleetWorker& worker, CommandContext& context)
{
    while (!worker.unacknowledgedEnds.empty() && this->isRecorded(worker.unacknowledgedEnds.front())) {
        context.stageTimes[Stage::Record].record(context.now - worker.unacknowledgedEnds.front().handledAt);
        worker.acknowledged = worker.unacknowledgedEnds.front().number;
        worker.unacknowledgedEnds.pop_front();
        if (worker.unacknowledgedEnds.empty())
            worker.nextPollAt = {};
    }
}

bool Dispatcher::isRecorded(const UnacknowledgedEnd& end) const
{
    const auto found = this->jobExecutions.find(end.task.job);
    return found == this->jobExecutions.end() || found->second->recorded() >= end.generation;
}

void Dispatcher::reconcileRuns(FleetWorker& worker, const PollEnded& end, CommandContext& context)
{
    ++worker.reportCount;
    for (const RunningTask& task : end.running) {
        const auto allocation = worker.runs.find(task.id);
        if (allocation != worker.runs.end())
            this->confirmRun(worker, task, allocation->second, context);
        else
            this->adoptRun(worker, task, context);
    }
    if (end.hasMoreEnds)
        return; // a run that is missing may be among them
    std::vector<TaskRunId> missing;
    for (const auto& [run, allocation] : worker.runs) {
        if (allocation.lastReportNumber != worker.reportCount)
            missing.push_back(run);
    }
    for (const TaskRunId& run : missing)
        this->handleMissingRun(worker, run, end, context);
}

bool Dispatcher::isUnwanted(const FleetWorker& worker, const TaskRunId& run)
{
    JobExecution* job = this->findJobExecution(run.task.job);
    if (!job || isFinal(job->progress().phase) || job->isDone(run.task))
        return true;
    const TaskExecution* taskExecution = job->taskExecution(run.task);
    return taskExecution && isOnWorker(taskExecution->stage) && (taskExecution->run != run.run || taskExecution->worker != worker.entry.id);
}

void Dispatcher::confirmRun(FleetWorker& worker, const RunningTask& task, RunAllocation& allocation, CommandContext& context)
{
    allocation.lastReportNumber = worker.reportCount;
    if (allocation.firstConfirmedAt == Instant())
        allocation.firstConfirmedAt = context.now;
    allocation.lastConfirmedAt = context.now;
    allocation.load = task.load;
    if (!allocation.isStopping && this->isUnwanted(worker, task.id))
        return this->stopRun(worker, task.id, "unwanted", context); // an earlier stop may have been lost
    JobExecution* job = this->findJobExecution(task.id.task.job);
    TaskExecution* taskExecution = job ? job->taskExecution(task.id.task) : nullptr;
    if (!taskExecution || taskExecution->run != task.id.run)
        return;
    if (taskExecution->stage == TaskStage::Starting || taskExecution->stage == TaskStage::Unclear || taskExecution->stage == TaskStage::Lapsed) {
        this->markRunning(*job, task.id.task, context);
        this->applyStartSpeed(worker, task.id, context);
        this->workerHealth.startAccepted(allocation.observedRun, context.now);
    }
    if (!task.checkpoint.empty() && task.checkpoint != taskExecution->checkpoint)
        this->workerHealth.runProgressed(allocation.observedRun, context.now);
    taskExecution->speedPercent = task.percent;
    if (!task.checkpoint.empty())
        taskExecution->checkpoint = task.checkpoint;
}

void Dispatcher::adoptRun(FleetWorker& worker, const RunningTask& task, CommandContext& context)
{
    const TaskId& id = task.id.task;
    JobExecution* job = this->findJobExecution(id.job);
    TaskExecution* taskExecution = job && id.step < job->definition().steps.size() ? job->taskExecution(id) : nullptr;
    RunAllocation allocation = job && id.step < job->definition().steps.size() ? this->allocationFor(*job, job->definition().steps[id.step]) : RunAllocation {};
    allocation.lastConfirmedAt = context.now;
    allocation.lastReportNumber = worker.reportCount;
    allocation.isSettled = true; // it was started under a former leader
    this->fleet.allocate(worker, task.id, allocation);
    const bool isWanted = taskExecution && !isFinal(job->progress().phase) && (taskExecution->stage == TaskStage::Unaccounted || (taskExecution->stage == TaskStage::Waiting && taskExecution->run <= task.id.run && !this->hasOrphanedRun(id)));
    if (!isWanted) {
        this->orphanedRuns[task.id] = worker.entry.id;
        const bool mayBeWanted = job && !taskExecution && !isFinal(job->progress().phase) && !job->isDone(id);
        if (!mayBeWanted) // the former leader may have opened a step that is not open here yet
            this->stopRun(worker, task.id, "unwanted", context);
        return;
    }
    taskExecution->worker = worker.entry.id;
    taskExecution->run = task.id.run;
    if (!task.checkpoint.empty())
        taskExecution->checkpoint = task.checkpoint;
    this->markRunning(*job, id, context);
    const auto cell = this->cells.find(job->definition().cell);
    if (cell != this->cells.end())
        cell->second.formerRuns.runAdopted(id);
}

void Dispatcher::adoptOrphanedRuns(JobExecution& job, CommandContext& context)
{
    std::vector<TaskRunId> adopted;
    for (auto orphanedRun = this->orphanedRuns.lower_bound({ { job.definition().id, 0, 0, 0 }, 0 }); orphanedRun != this->orphanedRuns.end() && orphanedRun->first.task.job == job.definition().id; ++orphanedRun) {
        const TaskRunId& run = orphanedRun->first;
        TaskExecution* taskExecution = job.taskExecution(run.task);
        FleetWorker* worker = this->fleet.find(orphanedRun->second);
        const bool isFree = taskExecution && (taskExecution->stage == TaskStage::Waiting || taskExecution->stage == TaskStage::Unaccounted);
        if (!isFree || !worker || !worker->runs.contains(run) || worker->runs.at(run).isStopping)
            continue;
        taskExecution->worker = orphanedRun->second;
        taskExecution->run = run.run;
        this->fleet.release(*worker, run);
        this->fleet.allocate(*worker, run, this->allocationFor(job, job.definition().steps[run.task.step]));
        worker->runs.at(run).lastConfirmedAt = context.now;
        worker->runs.at(run).isSettled = true;
        this->markRunning(job, run.task, context);
        adopted.push_back(run);
    }
    for (const TaskRunId& run : adopted)
        this->orphanedRuns.erase(run);
}

bool Dispatcher::hasOrphanedRun(const TaskId& task) const
{
    const auto orphanedRun = this->orphanedRuns.lower_bound({ task, 0 });
    return orphanedRun != this->orphanedRuns.end() && orphanedRun->first.task == task;
}

void Dispatcher::handleMissingRun(FleetWorker& worker, const TaskRunId& run, const PollEnded& end, CommandContext& context)
{
    RunAllocation& allocation = worker.runs.at(run);
    if (FleetWorker::hasNeverBegun(allocation, end.clock - toMilliseconds(this->options.lateStartMargin)))
        return this->markRunLost(worker, run, RunLossCause::NeverBegun, context);
    if (allocation.isStopping) {
        // A run that was seen, or whose stop was answered, cannot appear again. The start of any other may still arrive.
        const bool isStopFinal = allocation.isStopConfirmed || allocation.firstConfirmedAt != Instant();
        if (isStopFinal && end.sentAt > allocation.stopRequestedAt + this->options.stopTimeout && end.sentAt > allocation.lastConfirmedAt)
            this->markRunLost(worker, run, RunLossCause::Stopped, context);
        return;
    }
    if (this->orphanedRuns.contains(run)) {
        if (end.sentAt > allocation.lastConfirmedAt)
            this->markRunLost(worker, run, RunLossCause::NotReported, context);
        return;
    }
    JobExecution* job = this->findJobExecution(run.task.job);
    const TaskExecution* taskExecution = job ? job->taskExecution(run.task) : nullptr;
    if (!taskExecution || taskExecution->run != run.run)
        return this->stopRun(worker, run, "unwanted", context);
    const bool isUnclear = taskExecution->stage == TaskStage::Unclear || (taskExecution->stage == TaskStage::Lapsed && allocation.lastConfirmedAt == Instant());
    if (isUnclear && end.sentAt > taskExecution->since)
        return this->stopRun(worker, run, "unclear-start", context);
    const bool wasRunning = taskExecution->stage == TaskStage::Running || taskExecution->stage == TaskStage::Lapsed;
    if (wasRunning && end.sentAt > allocation.lastConfirmedAt && end.sentAt > taskExecution->since)
        this->markRunLost(worker, run, RunLossCause::NotReported, context);
}

void Dispatcher::throttleBestEffort(FleetWorker& worker, CommandContext& context)
{
    this->bestEffortControl.observe(worker, context.now);
    for (const SpeedChange& change : this->bestEffortControl.speedChangesFor(worker, context.now))
        this->setSpeed(worker, change, context);
    for (const TaskRunId& run : this->bestEffortControl.runsToStop(worker, context.now))
        this->stopRun(worker, run, "target-missed", context);
}

void Dispatcher::applyStartSpeed(const FleetWorker& worker, const TaskRunId& run, CommandContext& context)
{
    // A worker begins every run at full speed.
    if (const int percent = worker.runs.at(run).speedPercent; percent < 100)
        this->setSpeed(worker, { .run = run, .percent = percent }, context);
}

void Dispatcher::setSpeed(const FleetWorker& worker, const SpeedChange& change, CommandContext& context)
{
    context.add(SetTaskSpeed { this->addressOf(worker, context.now), change.run, change.percent });
    LogDecision line { DecisionEvent::TaskSpeedChanged, formatRun(change.run), worker.entry.id.value(), std::to_string(change.percent), 0, 0 };
    if (std::isfinite(change.headroom))
        line.inputs.push_back({ DecisionInput::HeadroomPercent, std::llround(100 * change.headroom) });
    line.inputs.push_back({ DecisionInput::MissedMilliseconds, worker.targetMissedSince == Instant() ? 0 : toMilliseconds(context.now - worker.targetMissedSince) });
    context.add(std::move(line));
}

void Dispatcher::markRunLost(FleetWorker& worker, const TaskRunId& run, RunLossCause cause, CommandContext& context)
{
    const bool isWithdrawn = cause == RunLossCause::Stopped || cause == RunLossCause::NeverBegun;
    this->observeEnd(worker, run, isWithdrawn ? RunResult::Withdrawn : RunResult::Lost, context.now);
    this->fleet.release(worker, run);
    this->orphanedRuns.erase(run);
    JobExecution* job = this->findJobExecution(run.task.job);
    TaskExecution* taskExecution = job ? job->taskExecution(run.task) : nullptr;
    if (!taskExecution || taskExecution->run != run.run || taskExecution->worker != worker.entry.id || !isOnWorker(taskExecution->stage))
        return;
    context.add(LogDecision { DecisionEvent::TaskLost, formatRun(run), worker.entry.id.value(), std::string(runLossCauseNames.nameOf(cause)), job->version(), toMilliseconds(context.now - taskExecution->since) });
    const std::string checkpoint = taskExecution->checkpoint;
    this->releaseTask(*job, run, checkpoint, context);
    taskExecution->isRunGivenUp = !isReportedLoss(cause);
    if (job->definition().steps[run.task.step].isGang)
        this->stopGang(*job, run.task, context);
    this->markDirty(*job);
    this->needsPass = true;
}

void Dispatcher::markFormerRunsLost(FleetWorker& worker, const PollEnded& end, CommandContext& context)
{
    std::set<TaskRunId> reported; // begun by the incarnation that has answered
    std::transform(end.running.begin(), end.running.end(), std::inserter(reported, reported.end()), [](const RunningTask& running) { return running.id; });
    std::transform(end.ended.begin(), end.ended.end(), std::inserter(reported, reported.end()), [](const EndedRun& ended) { return ended.id; });
    std::vector<TaskRunId> runs;
    for (const auto& [run, allocation] : worker.runs) {
        const bool wasConfirmedBefore = allocation.lastConfirmedAt != Instant() && allocation.lastConfirmedAt <= end.sentAt;
        if (wasConfirmedBefore && !reported.contains(run))
            runs.push_back(run);
    }
    for (const TaskRunId& run : runs)
        this->markRunLost(worker, run, RunLossCause::WorkerRestarted, context);
}

void Dispatcher::expectLateStarts(FleetWorker& worker, CommandContext& context)
{
    for (auto& [run, allocation] : worker.runs) {
        allocation.isStopping = false;
        allocation.isStopConfirmed = false;
        JobExecution* job = this->findJobExecution(run.task.job);
        const TaskExecution* taskExecution = job ? job->taskExecution(run.task) : nullptr;
        if (taskExecution && taskExecution->run == run.run && (taskExecution->stage == TaskStage::Stopping || taskExecution->stage == TaskStage::Lapsed))
            job->setStage(run.task, TaskStage::Unclear, context.now);
    }
}

void Dispatcher::giveUpLapsedRuns(FleetWorker& worker, CommandContext& context)
{
    const bool mayReportEnds = worker.isListed && context.now < worker.leaseEnd + this->options.silentRunRetention;
    std::vector<TaskRunId> runs;
    for (const auto& [run, allocation] : worker.runs) {
        const bool hasLapsed = context.now >= worker.leaseEndOf(allocation);
        if (hasLapsed && (!mayReportEnds || allocation.isLongRunning))
            runs.push_back(run);
        else if (hasLapsed)
            this->markRunLapsed(worker, run, context);
    }
    if (!runs.empty() && !worker.entry.isDraining)
        this->crashSuspects.keepLapsed(worker, context.now);
    for (const TaskRunId& run : runs)
        this->markRunLost(worker, run, RunLossCause::LeaseLapsed, context);
}

void Dispatcher::markRunLapsed(const FleetWorker& worker, const TaskRunId& run, CommandContext& context)
{
    JobExecution* job = this->findJobExecution(run.task.job);
    const TaskExecution* taskExecution = job ? job->taskExecution(run.task) : nullptr;
    const bool isCurrent = taskExecution && taskExecution->run == run.run && taskExecution->worker == worker.entry.id;
    if (!isCurrent || taskExecution->stage == TaskStage::Starting || !mayBeAtWork(taskExecution->stage)) // the end of a start under way says more
        return;
    job->setStage(run.task, TaskStage::Lapsed, context.now);
    this->needsPass = true;
}

void Dispatcher::markRunsLost(FleetWorker& worker, RunLossCause cause, CommandContext& context)
{
    while (!worker.runs.empty())
        this->markRunLost(worker, TaskRunId(worker.runs.begin()->first), cause, context);
}

} // namespace dragonflytray
