// Relocation: long-running tasks on draining workers are stopped, to be started on workers that have room for them.

#include "scheduling/dispatcher.h"

namespace dragonflytray {

void Dispatcher::relocateFromDrainingWorkers(CommandContext& context)
{
    std::optional<PlannedRoom> plannedRoom;
    for (auto& [id, worker] : this->fleet.all()) {
        if (worker.entry.isDraining && this->cells.contains(worker.cell))
            this->relocateRuns(worker, plannedRoom, context);
    }
}

void Dispatcher::relocateRuns(FleetWorker& worker, std::optional<PlannedRoom>& plannedRoom, CommandContext& context)
{
    const bool isLeavingSoon = context.now >= worker.drainingSince + this->options.relocationGrace;
    std::size_t relocatedRuns = 0;
    for (const auto& [run, allocation] : worker.runs) {
        if (relocatedRuns >= this->options.maxRelocationsPerPass)
            return;
        JobExecution* job = allocation.isStopping ? nullptr : this->findJobExecution(run.task.job);
        const TaskExecution* taskExecution = job ? job->taskExecution(run.task) : nullptr;
        if (!taskExecution || taskExecution->run != run.run || taskExecution->stage != TaskStage::Running || !job->definition().steps[run.task.step].isLongRunning)
            continue;
        FleetWorker* destination = this->findWorker(*job, run.task, context.now);
        if (destination && !plannedRoom) {
            this->planAbsentTasks(plannedRoom.emplace(this->fleet), context.now);
            destination = this->findWorker(*job, run.task, context.now);
        }
        if (!destination && !isLeavingSoon)
            continue;
        if (destination) {
            plannedRoom->add(*destination, run.task, this->allocationFor(*job, job->definition().steps[run.task.step]));
            if (!allocation.isGang) // its members start together
                this->roomClaims.add({ .task = run.task, .worker = destination->entry.id, .until = context.now + this->options.roomClaimTimeout });
        }
        this->stopRun(worker, run, "evacuated", context); // as the log has it; data centres are evacuated in another way
        ++relocatedRuns;
    }
}

void Dispatcher::planAbsentTasks(PlannedRoom& plannedRoom, Instant now)
{
    for (auto& [id, job] : this->jobExecutions) {
        if (!job->definition().isLongRunning() || isFinal(job->progress().phase))
            continue;
        for (auto& [number, stepExecution] : job->openSteps())
            this->planAbsentTasks(*job, stepExecution, plannedRoom, now);
    }
}

void Dispatcher::planAbsentTasks(JobExecution& job, const StepExecution& stepExecution, PlannedRoom& plannedRoom, Instant now)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    for (std::uint32_t index = 0; step.isLongRunning && index < stepExecution.tasks.size(); ++index) {
        const TaskStage stage = stepExecution.tasks[index].stage;
        if (stage != TaskStage::Waiting && stage != TaskStage::Stopping)
            continue;
        const TaskId task { job.definition().id, stepExecution.occurrence, stepExecution.step, index };
        if (this->roomClaims.contains(task))
            continue; // the pass holds its room
        FleetWorker* worker = this->findWorker(job, task, now);
        if (!worker)
            return; // nor for the others of the step
        plannedRoom.add(*worker, task, this->allocationFor(job, step));
    }
}

} // namespace dragonflytray
