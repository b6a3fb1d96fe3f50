// How the dispatcher takes the reports of workers: lives, runs, and ends.

#include "scheduling/dispatcher.h"

namespace dragonflytray {

void Dispatcher::holdEnded(const HoldEnded& end, CommandContext& context)
{
    FleetWorker* worker = this->fleet.find(end.worker);
    if (!worker)
        return;
    worker->isHolding = false;
    const auto cell = this->cells.find(worker->cell);
    if (cell == this->cells.end())
        return;
    if (end.epoch != cell->second.epoch) {
        worker->nextHold = context.now;
        return;
    }
    if (end.status == WorkerCallStatus::Fenced) {
        this->metHigherEpoch = end.epoch;
        return;
    }
    if (end.status != WorkerCallStatus::Ok)
        return this->suspect(*worker, end, context);
    this->adoptLife(*worker, end, context);
    for (const EndedRun& run : end.ended) {
        if (run.number > worker->notedEnd)
            this->noteEnd(*worker, run, context);
    }
    this->compareRuns(*worker, end, context);
    this->paceFills(*worker, context);
    this->acknowledge(*worker, context);
    worker->nextHold = worker->owed.empty() ? context.now : context.now + this->options.owedHold;
    this->placeTasks(context);
    if (context.now >= worker->nextHold)
        this->hold(*worker, context);
}

void Dispatcher::adoptLife(FleetWorker& worker, const HoldEnded& end, CommandContext& context)
{
    if (end.born != 0 && worker.entry.born != 0 && end.born != worker.entry.born) {
        this->loseRuns(worker, "worker-restarted", context);
        worker.notedEnd = 0;
        worker.acknowledged = 0;
        worker.owed.clear();
    }
    if (end.born != 0)
        worker.entry.born = end.born;
    if (worker.isSuspect)
        context.add(LogDecision { DecisionEvent::WorkerTrusted, worker.entry.id.value(), {}, "answered", end.epoch, toMilliseconds(context.now - worker.lastAnswer) });
    worker.isSuspect = false;
    if (!worker.isFenced) // a former leader may have granted leases up to now
        this->fleet.granted(worker, context.now);
    worker.isFenced = true;
    worker.clock = end.clock;
    worker.clockSeen = context.now;
    worker.lastAnswer = context.now;
    this->needsPass = true;
}

void Dispatcher::suspect(FleetWorker& worker, const HoldEnded& end, CommandContext& context)
{
    if (end.status == WorkerCallStatus::OtherLife) {
        // The life that was meant has left this address, and nothing outlives it.
        this->loseRuns(worker, "worker-replaced", context);
        worker.isListed = false;
        return;
    }
    if (end.status == WorkerCallStatus::NotSent) {
        worker.leaseEnd = worker.leaseBeforeHold;
        if (worker.entry.isDraining && !worker.isListed) // it has left, and nothing outlives it
            this->loseRuns(worker, "worker-left", context);
    }
    if (!worker.isSuspect)
        context.add(LogDecision { DecisionEvent::WorkerSuspected, worker.entry.id.value(), {}, std::string(workerCallStatusNames.nameOf(end.status)), end.epoch, toMilliseconds(context.now - worker.lastAnswer) });
    worker.isSuspect = true;
    worker.nextHold = context.now + this->options.holdRetry;
}

void Dispatcher::noteEnd(FleetWorker& worker, const EndedRun& end, CommandContext& context)
{
    worker.notedEnd = end.number;
    this->needsPass = true;
    const TaskId& task = end.id.task;
    this->fleet.release(worker, end.id);
    this->strays.erase(end.id);
    JobRun* job = this->findRun(task.job);
    if (!job || task.step >= job->definition().steps.size() || task.index >= job->definition().steps[task.step].count) {
        worker.owed.push_back({ end.number, task.job, 0, context.now });
        this->owing.insert(worker.entry.id);
        return;
    }
    context.add(LogDecision { DecisionEvent::TaskEnded, formatRun(end.id), worker.entry.id.value(), std::string(runOutcomeNames.nameOf(end.outcome)), job->version(), context.wallTime - job->definition().acceptedAt });
    if (const TaskSlot* slot = job->slot(task); slot && slot->run == end.id.run && end.outcome == RunOutcome::Done)
        context.stageTimes[Stage::Run].record(context.now - slot->since);
    if (end.outcome == RunOutcome::Done)
        this->endDone(*job, task, context);
    else if (end.outcome == RunOutcome::Failed)
        this->endFailed(*job, worker, end, context);
    else
        this->freeSlot(*job, end.id, end.checkpoint, context);
    if (end.outcome == RunOutcome::Done)
        worker.failuresInRow = 0;
    if (job->definition().steps[task.step].isGang && end.outcome != RunOutcome::Done)
        this->resetGang(*job, task, context);
    this->markDirty(*job);
    worker.owed.push_back({ end.number, task.job, job->generation(), context.now });
    this->owing.insert(worker.entry.id);
    if (!isFinal(job->progress().phase))
        this->advance(*job, context);
}

void Dispatcher::endDone(JobRun& job, const TaskId& task, CommandContext& context)
{
    // Another run of the task may be alive if this end belongs to a run that was believed lost.
    if (TaskSlot* slot = job.slot(task); slot && isOnWorker(slot->stage)) {
        FleetWorker* other = this->fleet.find(slot->worker);
        if (other && other->runs.contains({ task, slot->run }))
            this->stopRun(*other, { task, slot->run }, "task-done", context);
    }
    if (job.definition().steps[task.step].isGang)
        job.markGangDone(task, context.now);
    else
        job.markDone(task, context.now);
}

void Dispatcher::endFailed(JobRun& job, FleetWorker& worker, const EndedRun& end, CommandContext& context)
{
    const TaskId& task = end.id.task;
    ++worker.failuresInRow;
    if (worker.failuresInRow >= this->options.failuresToRest) {
        worker.restUntil = context.now + this->options.failureRest;
        context.add(LogDecision { DecisionEvent::WorkerSuspected, worker.entry.id.value(), {}, "failures", worker.failuresInRow, 0 });
    }
    const bool isNew = job.countFailure(task, end.id.run);
    if (TaskSlot* slot = job.slot(task))
        slot->failedOn = worker.entry.id;
    this->freeSlot(job, end.id, end.checkpoint, context);
    const bool isLasting = job.definition().steps[task.step].isLasting;
    // Workers that have not answered yet may know of more failures.
    if (const TaskSlot* slot = job.slot(task); slot && slot->stage == TaskStage::Waiting && job.mayHaveUnknownRuns() && !isLasting)
        job.setStage(task, TaskStage::Unaccounted, context.now);
    if (isNew && !isLasting && job.failures(task) >= this->ruleOf(job).maxAttempts && !isFinal(job.progress().phase))
        this->finish(job, JobPhase::Failed, context);
}

void Dispatcher::freeSlot(JobRun& job, const TaskRunId& run, const std::string& checkpoint, CommandContext& context)
{
    job.keepCheckpoint(run.task, checkpoint);
    TaskSlot* slot = job.slot(run.task);
    if (!slot || slot->stage == TaskStage::Done)
        return;
    const bool isCurrent = slot->run == run.run || slot->stage == TaskStage::Waiting || slot->stage == TaskStage::Unaccounted;
    if (run.run > slot->run)
        slot->run = run.run;
    if (isCurrent && slot->stage != TaskStage::Unaccounted)
        job.setStage(run.task, TaskStage::Waiting, context.now);
}

void Dispatcher::resetGang(JobRun& job, const TaskId& task, CommandContext& context)
{
    UnitRun* unit = job.unit(task.occurrence, task.step);
    for (std::uint32_t index = 0; unit && index < unit->tasks.size(); ++index) {
        TaskSlot& member = unit->tasks[index];
        if (!isOnWorker(member.stage) || member.stage == TaskStage::Stopping)
            continue;
        if (FleetWorker* worker = this->fleet.find(member.worker))
            this->stopRun(*worker, { { task.job, task.occurrence, task.step, index }, member.run }, "gang-broken", context);
    }
}

void Dispatcher::acknowledge(FleetWorker& worker, CommandContext& context)
{
    while (!worker.owed.empty() && this->isRecorded(worker.owed.front())) {
        context.stageTimes[Stage::Record].record(context.now - worker.owed.front().notedAt);
        worker.acknowledged = worker.owed.front().number;
        worker.owed.pop_front();
        if (worker.owed.empty())
            worker.nextHold = {};
    }
}

bool Dispatcher::isRecorded(const OwedEnd& owed) const
{
    const auto found = this->runs.find(owed.job);
    return found == this->runs.end() || found->second->recorded() >= owed.generation;
}

void Dispatcher::compareRuns(FleetWorker& worker, const HoldEnded& end, CommandContext& context)
{
    ++worker.reports;
    for (const RunningTask& task : end.running) {
        const auto charge = worker.runs.find(task.id);
        if (charge != worker.runs.end())
            this->confirmRun(worker, task, charge->second, context);
        else
            this->adoptRun(worker, task, context);
    }
    std::vector<TaskRunId> missing;
    for (const auto& [run, charge] : worker.runs) {
        if (charge.lastReport != worker.reports)
            missing.push_back(run);
    }
    for (const TaskRunId& run : missing)
        this->missRun(worker, run, end, context);
}

bool Dispatcher::isUnwanted(const FleetWorker& worker, const TaskRunId& run)
{
    JobRun* job = this->findRun(run.task.job);
    if (!job || isFinal(job->progress().phase) || job->isDone(run.task))
        return true;
    const TaskSlot* slot = job->slot(run.task);
    return slot && isOnWorker(slot->stage) && (slot->run != run.run || slot->worker != worker.entry.id);
}

void Dispatcher::confirmRun(FleetWorker& worker, const RunningTask& task, RunCharge& charge, CommandContext& context)
{
    charge.lastReport = worker.reports;
    if (charge.confirmedFirst == Instant())
        charge.confirmedFirst = context.now;
    charge.confirmedAt = context.now;
    charge.load = task.load;
    if (!charge.isStopping && this->isUnwanted(worker, task.id))
        return this->stopRun(worker, task.id, "unwanted", context); // an earlier stop had no answer
    JobRun* job = this->findRun(task.id.task.job);
    TaskSlot* slot = job ? job->slot(task.id.task) : nullptr;
    if (!slot || slot->run != task.id.run)
        return;
    if (slot->stage == TaskStage::Starting || slot->stage == TaskStage::Unclear)
        this->noteRunning(*job, task.id.task, context);
    slot->percent = task.percent;
    if (!task.checkpoint.empty())
        slot->checkpoint = task.checkpoint;
}

void Dispatcher::adoptRun(FleetWorker& worker, const RunningTask& task, CommandContext& context)
{
    const TaskId& id = task.id.task;
    JobRun* job = this->findRun(id.job);
    TaskSlot* slot = job && id.step < job->definition().steps.size() ? job->slot(id) : nullptr;
    RunCharge charge = slot ? this->chargeFor(*job, job->definition().steps[id.step]) : RunCharge {};
    charge.confirmedAt = context.now;
    charge.lastReport = worker.reports;
    this->fleet.charge(worker, task.id, charge);
    const bool isWanted = slot && !isFinal(job->progress().phase) && (slot->stage == TaskStage::Unaccounted || (slot->stage == TaskStage::Waiting && slot->run <= task.id.run && !this->hasStray(id)));
    if (!isWanted) {
        this->strays[task.id] = worker.entry.id;
        const bool mayBeWanted = job && !slot && !isFinal(job->progress().phase) && !job->isDone(id);
        if (!mayBeWanted) // a step that is not open here yet may have been opened by the former leader
            this->stopRun(worker, task.id, "unwanted", context);
        return;
    }
    slot->worker = worker.entry.id;
    slot->run = task.id.run;
    if (!task.checkpoint.empty())
        slot->checkpoint = task.checkpoint;
    this->noteRunning(*job, id, context);
    const auto cell = this->cells.find(job->definition().cell);
    if (cell != this->cells.end())
        cell->second.unconfirmed.erase(id);
}

void Dispatcher::adoptStrays(JobRun& job, CommandContext& context)
{
    std::vector<TaskRunId> adopted;
    for (auto stray = this->strays.lower_bound({ { job.definition().id, 0, 0, 0 }, 0 }); stray != this->strays.end() && stray->first.task.job == job.definition().id; ++stray) {
        const TaskRunId& run = stray->first;
        TaskSlot* slot = job.slot(run.task);
        FleetWorker* worker = this->fleet.find(stray->second);
        const bool isFree = slot && (slot->stage == TaskStage::Waiting || slot->stage == TaskStage::Unaccounted);
        if (!isFree || !worker || !worker->runs.contains(run) || worker->runs.at(run).isStopping)
            continue;
        slot->worker = stray->second;
        slot->run = run.run;
        this->fleet.release(*worker, run);
        this->fleet.charge(*worker, run, this->chargeFor(job, job.definition().steps[run.task.step]));
        worker->runs.at(run).confirmedAt = context.now;
        this->noteRunning(job, run.task, context);
        adopted.push_back(run);
    }
    for (const TaskRunId& run : adopted)
        this->strays.erase(run);
}

bool Dispatcher::hasStray(const TaskId& task) const
{
    const auto stray = this->strays.lower_bound({ task, 0 });
    return stray != this->strays.end() && stray->first.task == task;
}

void Dispatcher::missRun(FleetWorker& worker, const TaskRunId& run, const HoldEnded& end, CommandContext& context)
{
    RunCharge& charge = worker.runs.at(run);
    if (charge.isStopping) {
        // A run that was seen, or whose stop was answered, can't come any more. Another may yet be started late.
        const bool isSettled = charge.isStopConfirmed || charge.confirmedFirst != Instant();
        if (isSettled && end.sentAt > charge.stopAskedAt + this->options.stopTimeout && end.sentAt > charge.confirmedAt)
            this->loseRun(worker, run, "stopped", context);
        return;
    }
    if (this->strays.contains(run)) {
        if (end.sentAt > charge.confirmedAt)
            this->loseRun(worker, run, "not-reported", context);
        return;
    }
    JobRun* job = this->findRun(run.task.job);
    const TaskSlot* slot = job ? job->slot(run.task) : nullptr;
    if (!slot || slot->run != run.run)
        return this->stopRun(worker, run, "unwanted", context);
    if (slot->stage == TaskStage::Unclear && end.sentAt > slot->since)
        return this->stopRun(worker, run, "unclear-start", context);
    if (slot->stage == TaskStage::Running && end.sentAt > charge.confirmedAt && end.sentAt > slot->since)
        this->loseRun(worker, run, "not-reported", context);
}

void Dispatcher::paceFills(FleetWorker& worker, CommandContext& context)
{
    this->fillControl.observe(worker, context.now);
    for (const PaceChange& change : this->fillControl.pacesFor(worker, context.now)) {
        context.add(PaceTask { this->addressOf(worker), change.run, change.percent });
        context.add(LogDecision { DecisionEvent::TaskPaced, formatRun(change.run), worker.entry.id.value(), std::to_string(change.percent), 0, 0 });
    }
}

void Dispatcher::loseRun(FleetWorker& worker, const TaskRunId& run, const char* cause, CommandContext& context)
{
    this->fleet.release(worker, run);
    this->strays.erase(run);
    JobRun* job = this->findRun(run.task.job);
    TaskSlot* slot = job ? job->slot(run.task) : nullptr;
    if (!slot || slot->run != run.run || slot->worker != worker.entry.id || !isOnWorker(slot->stage))
        return;
    context.add(LogDecision { DecisionEvent::TaskLost, formatRun(run), worker.entry.id.value(), cause, job->version(), toMilliseconds(context.now - slot->since) });
    const std::string checkpoint = slot->checkpoint;
    this->freeSlot(*job, run, checkpoint, context);
    if (job->definition().steps[run.task.step].isGang)
        this->resetGang(*job, run.task, context);
    this->markDirty(*job);
    this->needsPass = true;
}

void Dispatcher::loseRuns(FleetWorker& worker, const char* cause, CommandContext& context)
{
    while (!worker.runs.empty())
        this->loseRun(worker, TaskRunId(worker.runs.begin()->first), cause, context);
}

} // namespace dragonflytray
