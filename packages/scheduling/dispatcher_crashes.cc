// Crashes of workers: the tasks to which they are attributed, and the placement of suspects apart from other new runs.

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

bool Dispatcher::isCrashSuspect(const JobExecution& job, const TaskId& task)
{
    return job.suspectedCrashes(job.crashSuspectOf(task)) > 0;
}

std::vector<TaskRunId> Dispatcher::crashSuspectsOn(const FleetWorker& worker, const PollEnded& end)
{
    if (worker.entry.isDraining)
        return {}; // it has left as announced
    std::vector<TaskRunId> runs = this->crashSuspects.suspectsOn(worker);
    std::erase_if(runs, [&](const TaskRunId& run) {
        return std::any_of(end.running.begin(), end.running.end(), [&](const RunningTask& running) { return running.id == run; })
            || std::any_of(end.ended.begin(), end.ended.end(), [&](const EndedRun& ended) { return ended.id == run; });
    });
    return this->crashSuspectsAmong(std::move(runs));
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

void Dispatcher::attributeLapsedRuns(const FleetWorker& worker, bool isOtherIncarnation, CommandContext& context)
{
    for (const CrashSuspects::LapsedRuns& lapsed : this->crashSuspects.takeLapsed(worker)) {
        if (isOtherIncarnation || lapsed.worker != worker.entry.id)
            this->attributeCrash(worker, this->crashSuspectsAmong(lapsed.runs), context);
    }
}

void Dispatcher::attributeCrash(const FleetWorker& worker, const std::vector<TaskRunId>& suspects, CommandContext& context)
{
    if (suspects.empty() && worker.entry.isDraining)
        return;
    LogDecision crashed { DecisionEvent::WorkerCrashed, worker.entry.id.value(), {}, "other-incarnation", this->addressOf(worker, context.now).token.epoch, toMilliseconds(context.now - worker.lastAnswer) };
    crashed.inputs = { { DecisionInput::Suspects, static_cast<std::int64_t>(suspects.size()) } };
    context.add(std::move(crashed));
    for (const TaskRunId& run : suspects) {
        JobExecution* job = this->findJobExecution(run.task.job);
        const TaskId suspect = job->crashSuspectOf(run.task);
        if (isFinal(job->progress().phase) || !job->countCrash(suspect, run.run))
            continue;
        LogDecision suspected { DecisionEvent::TaskSuspected, formatRun(run), worker.entry.id.value(), "worker-crashed", job->version(), context.wallTime - job->definition().acceptedAt };
        suspected.inputs = { { DecisionInput::Crashes, job->suspectedCrashes(suspect) } };
        context.add(std::move(suspected));
        this->markDirty(*job);
        if (job->suspectedCrashes(suspect) >= this->options.crashes.maxCrashes)
            this->giveUp(*job, run, context);
    }
}

void Dispatcher::giveUp(JobExecution& job, const TaskRunId& run, CommandContext& context)
{
    LogDecision givenUp { DecisionEvent::TaskGivenUp, formatRun(run), {}, "workers-crashed", job.version(), context.wallTime - job.definition().acceptedAt };
    givenUp.inputs = { { DecisionInput::Crashes, job.suspectedCrashes(job.crashSuspectOf(run.task)) } };
    context.add(std::move(givenUp));
    this->finish(job, JobPhase::Failed, context);
}

void Dispatcher::settleRuns(FleetWorker& worker, const PollEnded& end)
{
    for (const TaskRunId& run : this->crashSuspects.settle(worker, end.receivedAt)) {
        JobExecution* job = this->findJobExecution(run.task.job);
        if (job && job->taskExecution(run.task))
            job->acquit(run.task);
    }
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
