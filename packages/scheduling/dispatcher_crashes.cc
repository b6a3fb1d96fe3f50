// Crashes of workers: the tasks to which they are attributed, and the placement of suspects apart from other new runs.

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

bool Dispatcher::isCrashSuspect(const JobExecution& job, const TaskId& task)
{
    return job.suspectedCrashes(job.crashSuspectOf(task)) > 0;
}

WorkerEnd Dispatcher::endOf(const FleetWorker& worker, const PollEnded& end, Instant now) const
{
    if (worker.entry.isDraining)
        return { .worker = worker.entry.id }; // it has left as announced
    std::optional<Instant> successorBegan;
    if (end.status == WorkerCallStatus::Ok) {
        // The clock of an incarnation counts from its start. One that began before the last answer of its predecessor counts otherwise.
        const Instant began = end.receivedAt - std::chrono::milliseconds(end.clock);
        if (began + this->options.fleet.clockMargin >= worker.lastAnswer)
            successorBegan = began;
    }
    WorkerEnd workerEnd = this->crashSuspects.endOf(worker, now, successorBegan);
    std::erase_if(workerEnd.exposedRuns, [&](const TaskRunId& run) {
        return std::any_of(end.running.begin(), end.running.end(), [&](const RunningTask& running) { return running.id == run; })
            || std::any_of(end.ended.begin(), end.ended.end(), [&](const EndedRun& ended) { return ended.id == run; });
    });
    return workerEnd;
}

void Dispatcher::recordContactLoss(const FleetWorker& worker, Instant now)
{
    if (worker.entry.isDraining)
        return;
    if (this->options.judgesWorkers)
        this->workerHealth.contactLost(worker.entry.id.value(), peersOf(worker), now);
    const WorkerEnd end = this->crashSuspects.endOf(worker, now, std::nullopt);
    this->crashVerdicts.contactLost({ .worker = worker.entry.id, .earliest = end.earliest, .latest = end.latest, .isExplained = end.isAtOnceAfterStart });
}

std::vector<TaskRunId> Dispatcher::crashSuspectsAmong(std::vector<TaskRunId> runs)
{
    std::erase_if(runs, [&](const TaskRunId& run) {
        JobExecution* job = this->findJobExecution(run.task.job);
        return !job || isFinal(job->progress().phase) || !job->taskExecution(run.task) || job->isDone(run.task);
    });
    // A task that was a suspect before explains the crash.
    const auto wasSuspect = [&](const TaskRunId& run) { return isCrashSuspect(*this->findJobExecution(run.task.job), run.task); };
    if (std::any_of(runs.begin(), runs.end(), wasSuspect))
        std::erase_if(runs, [&](const TaskRunId& run) { return !wasSuspect(run); });
    return runs;
}

void Dispatcher::attributeLapsedRuns(const FleetWorker& worker, bool isOtherIncarnation, WallTime startedAt, CommandContext& context)
{
    for (const CrashSuspects::LapsedRuns& lapsed : this->crashSuspects.takeLapsed(worker)) {
        const bool isOtherStart = lapsed.startedAt != 0 && startedAt != 0 && startedAt != lapsed.startedAt;
        if (isOtherIncarnation || isOtherStart || lapsed.end.worker != worker.entry.id)
            this->attributeCrash(worker, lapsed.end, context);
    }
}

void Dispatcher::attributeCrash(const FleetWorker& worker, const WorkerEnd& end, CommandContext& context)
{
    const std::vector<TaskRunId> suspects = this->crashSuspectsAmong(end.exposedRuns);
    if (suspects.empty() && worker.entry.isDraining)
        return;
    LogDecision crashed { DecisionEvent::WorkerCrashed, worker.entry.id.value(), {}, "other-incarnation", this->addressOf(worker, context.now).token.epoch, toMilliseconds(context.now - worker.lastAnswer) };
    crashed.inputs = { { DecisionInput::Suspects, static_cast<std::int64_t>(suspects.size()) }, { DecisionInput::ExposedRuns, static_cast<std::int64_t>(end.exposedRuns.size()) } };
    context.add(std::move(crashed));
    const Instant dueAt = std::max(end.noticedAt + this->options.crashVerdicts.noticeTimeout, context.now + this->options.crashVerdicts.confirmationTimeout);
    for (const TaskRunId& run : suspects) {
        JobExecution* job = this->findJobExecution(run.task.job);
        const TaskId suspect = job->crashSuspectOf(run.task);
        if (isFinal(job->progress().phase) || !job->countCrash(suspect, run.run))
            continue;
        LogDecision suspected { DecisionEvent::TaskSuspected, formatRun(run), worker.entry.id.value(), "worker-crashed", job->version(), context.wallTime - job->definition().acceptedAt };
        suspected.inputs = { { DecisionInput::Crashes, job->suspectedCrashes(suspect) } };
        context.add(std::move(suspected));
        this->markDirty(*job);
        this->crashVerdicts.charge({ .run = run, .suspect = suspect, .worker = end.worker, .earliest = end.earliest, .latest = end.latest, .isAlone = end.isAlone, .dueAt = dueAt });
    }
    this->judgeCrashes(context);
}

void Dispatcher::judgeCrashes(CommandContext& context)
{
    for (const JudgedCrash& judged : this->crashVerdicts.takeDue(context.now)) {
        const CrashCharge& charge = judged.charge;
        JobExecution* job = this->findJobExecution(charge.suspect.job);
        if (!job || isFinal(job->progress().phase))
            continue;
        if (judged.verdict == CrashVerdict::Coincident)
            job->revokeCrash(charge.suspect, charge.run.run);
        else if (judged.verdict == CrashVerdict::Proven)
            job->proveCrash(charge.suspect, charge.run.run);
        LogDecision line { DecisionEvent::CrashJudged, formatRun(charge.run), charge.worker.value(), std::string(crashVerdictNames.nameOf(judged.verdict)), job->version(), context.wallTime - job->definition().acceptedAt };
        line.inputs = { { DecisionInput::Crashes, job->suspectedCrashes(charge.suspect) }, { DecisionInput::ProvenCrashes, job->provenCrashes(charge.suspect) }, { DecisionInput::CoincidentLosses, static_cast<std::int64_t>(judged.coincidentLosses) } };
        context.add(std::move(line));
        this->markDirty(*job);
        this->needsPass = true;
        this->giveUpCrashedTasks(*job, context);
    }
}

void Dispatcher::giveUpCrashedTasks(JobExecution& job, CommandContext& context)
{
    for (const TaskId& suspect : job.crashSuspects()) {
        const bool mayGiveUp = !job.definition().steps[suspect.step].isLongRunning && !this->crashVerdicts.isPending(suspect);
        if (mayGiveUp && this->isCrashLimitReached(job, suspect) && !isFinal(job.progress().phase))
            this->giveUp(job, suspect, context);
    }
}

bool Dispatcher::isCrashLimitReached(const JobExecution& job, const TaskId& suspect) const
{
    return job.provenCrashes(suspect) >= this->options.crashes.maxProvenCrashes || job.suspectedCrashes(suspect) >= this->options.crashes.maxCrashes;
}

void Dispatcher::giveUp(JobExecution& job, const TaskId& suspect, CommandContext& context)
{
    LogDecision givenUp { DecisionEvent::TaskGivenUp, formatRun({ suspect, job.lastCrashedRun(suspect) }), {}, "workers-crashed", job.version(), context.wallTime - job.definition().acceptedAt };
    givenUp.inputs = { { DecisionInput::Crashes, job.suspectedCrashes(suspect) }, { DecisionInput::ProvenCrashes, job.provenCrashes(suspect) } };
    context.add(std::move(givenUp));
    this->finish(job, JobPhase::Failed, context);
}

void Dispatcher::settleRuns(FleetWorker& worker, const PollEnded& end, CommandContext& context)
{
    for (const TaskRunId& run : this->crashSuspects.settle(worker, end.receivedAt)) {
        JobExecution* job = this->findJobExecution(run.task.job);
        if (!job || !job->taskExecution(run.task) || !this->isWholeRunSettled(*job, run) || !job->acquit(job->crashSuspectOf(run.task), run.run))
            continue;
        context.add(LogDecision { DecisionEvent::TaskCleared, formatRun(run), worker.entry.id.value(), "settled", job->version(), context.wallTime - job->definition().acceptedAt });
        this->markDirty(*job);
    }
}

bool Dispatcher::isWholeRunSettled(JobExecution& job, const TaskRunId& run)
{
    if (!job.definition().steps[run.task.step].isGang)
        return true;
    const std::vector<TaskExecution>& members = job.stepExecution(run.task.occurrence, run.task.step)->tasks;
    TaskRunId member = run;
    for (member.task.index = 0; member.task.index < members.size(); ++member.task.index) {
        const FleetWorker* worker = this->fleet.find(members[member.task.index].worker);
        if (!worker || !worker->runs.contains(member) || !worker->runs.at(member).isSettled)
            return false;
    }
    return true;
}

std::optional<PlacementOutcome> Dispatcher::crashObstacleTo(JobExecution& job, const TaskId& task, Instant now) const
{
    const TaskId suspect = job.crashSuspectOf(task);
    if (job.suspectedCrashes(suspect) == 0)
        return std::nullopt;
    if (!isCrashRecorded(job, task))
        return PlacementOutcome::CrashNotRecorded;
    if (this->crashVerdicts.isPending(suspect))
        return PlacementOutcome::CrashNotJudged;
    const bool isBackingOff = this->isCrashLimitReached(job, suspect) && now < job.taskExecution(task)->since + this->options.crashes.restartBackoff;
    return isBackingOff ? std::optional(PlacementOutcome::CrashBackoff) : std::nullopt;
}

std::function<bool(const FleetWorker&)> Dispatcher::admissionOf(const JobExecution& job, const TaskId& task) const
{
    const bool isSuspect = isCrashSuspect(job, task);
    if (!isSuspect && !this->crashSuspects.hasIsolations())
        return {};
    // The members of a gang start together, so they can't wait for workers one by one.
    const bool needsSettledWorker = isSuspect && !job.definition().steps[task.step].isGang;
    return [this, candidate = CrashSuspects::Candidate { job.crashSuspectOf(task), needsSettledWorker }](const FleetWorker& worker) {
        return this->crashSuspects.admits(worker, candidate);
    };
}

bool Dispatcher::isCrashRecorded(JobExecution& job, const TaskId& task)
{
    const TaskExecution* suspect = job.taskExecution(job.crashSuspectOf(task));
    return !suspect || job.recorded() >= suspect->crashGeneration;
}

bool Dispatcher::reserveWorker(JobExecution& job, const TaskId& task, Instant now)
{
    if (this->crashSuspects.hasReservation(task))
        return true;
    if (!this->crashSuspects.mayReserve(this->fleet.all().size()))
        return false;
    PlacementRequest request = this->requestFor(job, task, now);
    request.admits = [this](const FleetWorker& worker) { return !this->crashSuspects.isIsolated(worker.entry.id); };
    const FleetWorker* worker = chooseWorker(this->fleet, request);
    if (worker)
        this->crashSuspects.reserve(worker->entry.id, task, now);
    return worker != nullptr;
}

} // namespace dragonflytray
