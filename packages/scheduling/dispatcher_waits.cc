// Why tasks that wait do not run: lines of the decision log, at a bounded rate.

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // WaitingStep is an open step with tasks that do not run, represented by the one that has been absent longest.
    struct WaitingStep {
        JobExecution* job;
        TaskId task;
        const StepExecution* stepExecution;
        const TaskExecution* taskExecution;
        Instant absentSince;
        std::int64_t absentTasks;
        bool isLongRunning;
    };

    bool isAbsent(const TaskExecution& taskExecution, bool isLongRunning)
    {
        const TaskStage stage = taskExecution.stage;
        return stage == TaskStage::Waiting || stage == TaskStage::Unaccounted || stage == TaskStage::Lapsed || (isLongRunning && (stage == TaskStage::Stopping || stage == TaskStage::Unclear));
    }

    // beginOfAbsence() is the time since which the task is known not to run.
    Instant beginOfAbsence(const TaskExecution& taskExecution, bool isLongRunning)
    {
        return isLongRunning && taskExecution.absentSince != Instant() ? taskExecution.absentSince : taskExecution.since;
    }

    std::optional<WaitingStep> longestWaitOf(JobExecution& job, const StepExecution& stepExecution)
    {
        const bool isLongRunning = job.definition().steps[stepExecution.step].isLongRunning;
        std::optional<WaitingStep> longest;
        std::int64_t absentTasks = 0;
        for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index) {
            const TaskExecution& taskExecution = stepExecution.tasks[index];
            if (!isAbsent(taskExecution, isLongRunning))
                continue;
            ++absentTasks;
            const Instant absentSince = beginOfAbsence(taskExecution, isLongRunning);
            if (!longest || absentSince < longest->absentSince)
                longest = WaitingStep { &job, { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, &stepExecution, &taskExecution, absentSince, 0, isLongRunning };
        }
        if (longest)
            longest->absentTasks = absentTasks;
        return longest;
    }

} // namespace

void Dispatcher::reportWaits(CommandContext& context)
{
    if (context.now < this->nextWaitReportAt)
        return;
    this->nextWaitReportAt = context.now + this->options.waitReportInterval;
    std::vector<WaitingStep> waits;
    for (auto& [id, job] : this->jobExecutions) {
        if (isFinal(job->progress().phase))
            continue;
        for (const auto& [number, stepExecution] : job->openSteps()) {
            const auto wait = longestWaitOf(*job, stepExecution);
            if (wait && context.now >= wait->absentSince + this->options.waitReportThreshold)
                waits.push_back(*wait);
        }
    }
    const std::size_t count = std::min(waits.size(), this->options.maxWaitsPerReport);
    std::partial_sort(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(count), waits.end(), [](const WaitingStep& a, const WaitingStep& b) {
        return std::tuple(!a.isLongRunning, a.absentSince, a.job->definition().acceptedAt) < std::tuple(!b.isLongRunning, b.absentSince, b.job->definition().acceptedAt);
    });
    const auto steps = static_cast<std::int64_t>(waits.size());
    waits.resize(count);
    for (const WaitingStep& wait : waits) {
        const TaskStage stage = wait.taskExecution->stage;
        const std::string_view reason = stage == TaskStage::Waiting ? placementOutcomeNames.nameOf(this->obstacleOf(*wait.stepExecution)) : taskStageNames.nameOf(stage);
        LogDecision waiting { DecisionEvent::TaskWaiting, formatRun({ wait.task, wait.taskExecution->run }), wait.taskExecution->worker.value(), std::string(reason), wait.job->version(), toMilliseconds(context.now - wait.absentSince), this->viewAge(context.now) };
        waiting.inputs = { { DecisionInput::AbsentTasks, wait.absentTasks }, { DecisionInput::WaitingSteps, steps }, { DecisionInput::NeededMillicores, wait.job->definition().steps[wait.task.step].need.millicores } };
        this->addBestEffortInputs(*wait.job, wait.task, context.now, waiting);
        context.add(std::move(waiting));
    }
}

void Dispatcher::addBestEffortInputs(JobExecution& job, const TaskId& task, Instant now, LogDecision& line)
{
    if (!job.definition().steps[task.step].isBestEffort)
        return;
    const PlacementRequest request = this->requestFor(job, task, now);
    const BestEffortRoom room = countBestEffortRoom(this->fleet, request);
    const std::array inputs {
        DecisionInputValue { DecisionInput::WorkersWithMemory, room.withMemory },
        DecisionInputValue { DecisionInput::WorkersWithIdleCores, room.withIdleCores },
        DecisionInputValue { DecisionInput::WorkersWithHeadroom, room.withHeadroom },
        DecisionInputValue { DecisionInput::WorkersWithReportedHeadroom, room.withReportedHeadroom },
        DecisionInputValue { DecisionInput::ServingWorkers, room.serving },
        DecisionInputValue { DecisionInput::MinSpeedPercent, request.minSpeedPercent },
    };
    line.inputs.insert(line.inputs.end(), inputs.begin(), inputs.end());
}

PlacementOutcome Dispatcher::obstacleOf(const StepExecution& stepExecution) const
{
    if (this->areStartsPaused)
        return PlacementOutcome::StartsPaused;
    if (stepExecution.lastTriedAt != Instant() && stepExecution.lastTriedAt == this->lastPass)
        return stepExecution.lastOutcome;
    return this->startWindow.hasRoom() ? PlacementOutcome::NotReached : PlacementOutcome::WindowFull;
}

} // namespace dragonflytray
