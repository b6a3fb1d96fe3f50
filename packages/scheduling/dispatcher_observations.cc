// What the runs of tasks show: how long tasks take, and which workers do worse than their peers.

#include "scheduling/dispatcher.h"

#include <cmath>

namespace dragonflytray {

namespace {

    constexpr std::array runResults { RunResult::Done, RunResult::Failed, RunResult::Withdrawn, RunResult::Lost, RunResult::Withdrawn, RunResult::Withdrawn }; // by RunOutcome
    static_assert(runResults.size() == runOutcomeNames.size());

    constexpr std::array conditionEvents { DecisionEvent::WorkerReinstated, DecisionEvent::WorkerReduced, DecisionEvent::WorkerQuarantined }; // by WorkerCondition
    static_assert(conditionEvents.size() == workerConditionNames.size());

    // isObserved() says whether the runs of a step show something about the worker alone: they end by themselves, and neither other
    // members nor other tasks determine their speed.
    bool isObserved(const StepDefinition& step)
    {
        return !step.isLongRunning && !step.isGang && !step.isBestEffort;
    }

    RunTimeKey runTimeKeyOf(const JobDefinition& job, std::uint32_t step)
    {
        return { .queue = job.queue.name.value(), .step = step, .image = job.steps[step].image.value() };
    }

} // namespace

PeerGroupName Dispatcher::peersOf(const FleetWorker& worker)
{
    return PeerGroupName(worker.cell.value() + "/" + worker.entry.service.value());
}

RunResult Dispatcher::runResultOf(RunOutcome outcome)
{
    return runResults[indexOf(outcome)];
}

RunResult Dispatcher::runResultOf(WorkerCallStatus status)
{
    // A start that the worker can't read may be the fault of its job, and one that arrives late that of the way.
    return status == WorkerCallStatus::Unhealthy || status == WorkerCallStatus::NoRoom ? RunResult::Refused : RunResult::Withdrawn;
}

Duration Dispatcher::expectedRunTime(const JobDefinition& job, std::uint32_t step) const
{
    return this->runTimes.expected(runTimeKeyOf(job, step), job.steps[step].estimate);
}

Duration Dispatcher::expectedCriticalPath(const JobDefinition& job) const
{
    return criticalPathOf(job, [&](std::uint32_t step) { return this->expectedRunTime(job, step); });
}

bool Dispatcher::mayProbe(const JobExecution& job, const TaskId& task) const
{
    // A task that has failed has fewer attempts left.
    return this->options.judgesWorkers && isObserved(job.definition().steps[task.step]) && job.failures(task) == 0 && !isCrashSuspect(job, task);
}

void Dispatcher::observeStart(const JobExecution& job, const TaskId& task, FleetWorker& worker, RunAllocation& allocation, Instant now)
{
    const StepDefinition& step = job.definition().steps[task.step];
    allocation.isRunTimeWhole = !step.isBestEffort && job.taskExecution(task)->checkpoint.empty();
    if (!this->options.judgesWorkers || !isObserved(step))
        return;
    const bool isComparable = allocation.isRunTimeWhole && now >= worker.coldUntil;
    const Duration expected = isComparable ? this->expectedRunTime(job.definition(), task.step) : Duration(0);
    allocation.observedRun = this->workerHealth.runStarted(worker.entry.id.value(), peersOf(worker), { .expected = expected, .limit = expected > Duration(0) ? expected + job.slack : Duration(0) }, now);
    worker.mayProbe = false;
}

void Dispatcher::observeEnd(FleetWorker& worker, const TaskRunId& run, RunResult result, Instant now)
{
    const auto found = worker.runs.find(run);
    if (found == worker.runs.end())
        return;
    const RunAllocation& allocation = found->second;
    const bool isTimed = allocation.sentAt != Instant() && allocation.firstConfirmedAt != Instant();
    const std::optional<Duration> took = isTimed ? std::optional(now - allocation.firstConfirmedAt) : std::nullopt;
    this->workerHealth.runEnded(allocation.observedRun, result, took, now);
    const bool isLearned = (this->options.learnsRunTimes || this->options.judgesWorkers) && result == RunResult::Done && took && allocation.isRunTimeWhole;
    const JobExecution* job = isLearned ? this->findJobExecution(run.task.job) : nullptr;
    if (job && run.task.step < job->definition().steps.size())
        this->runTimes.record(runTimeKeyOf(job->definition(), run.task.step), *took, now);
}

void Dispatcher::judgeWorkers(CommandContext& context)
{
    if (!this->options.judgesWorkers)
        return;
    for (const HealthTransition& transition : this->workerHealth.judge(context.now)) {
        LogDecision line { conditionEvents[indexOf(transition.to)], transition.worker, {}, std::string(healthSignNames.nameOf(transition.sign)), this->followedVersion, toMilliseconds(transition.lasted) };
        line.inputs = { { DecisionInput::ObservedRuns, static_cast<std::int64_t>(transition.runs) }, { DecisionInput::SlownessPercent, std::llround(100 * transition.slowness) }, { DecisionInput::QuarantinedWorkers, static_cast<std::int64_t>(this->workerHealth.count(WorkerCondition::Quarantined)) }, { DecisionInput::SparedWorkers, static_cast<std::int64_t>(this->workerHealth.sparedCount()) } };
        context.add(std::move(line));
        this->needsPass = true;
    }
}

void Dispatcher::applyHealth(Instant now)
{
    const bool hasSuspects = this->workerHealth.hasSuspects();
    if (!hasSuspects && !this->areSuspectsRestricted)
        return;
    this->areSuspectsRestricted = hasSuspects;
    for (auto& [id, worker] : this->fleet.all()) {
        worker.healthShare = this->workerHealth.shareOf(id.value());
        worker.mayProbe = this->workerHealth.mayProbe(id.value(), now);
    }
}

} // namespace dragonflytray
