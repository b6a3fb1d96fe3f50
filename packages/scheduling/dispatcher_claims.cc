// Room that is made for tasks: claims to it, evictions, and workers that short runs leave.

#include "scheduling/placement_pass.h"

#include <cmath>

namespace dragonflytray {

void Dispatcher::placeClaimants(PlacementPass& pass, CommandContext& context)
{
    const std::map<TaskId, RoomClaim> claims = this->roomClaims.all();
    for (const auto& [task, claim] : claims) {
        JobExecution* job = this->findJobExecution(claim.task.job);
        const TaskExecution* taskExecution = job && !isFinal(job->progress().phase) ? job->taskExecution(claim.task) : nullptr;
        FleetWorker* worker = this->fleet.find(claim.worker);
        const bool mayGetTasks = worker && worker->isListed && !worker->entry.isDraining && !worker->isEvacuated && !worker->isSuspect;
        const bool isAwaited = mayGetTasks && taskExecution && (taskExecution->stage == TaskStage::Waiting || taskExecution->stage == TaskStage::Stopping);
        const bool isComplete = isAwaited && taskExecution->stage == TaskStage::Waiting && !this->obstacleTo(*job, claim.task, context.now) && fitsOn(*worker, this->requestFor(*job, claim.task, context.now));
        if (isComplete && this->startWindow.hasRoom())
            this->startTask(*job, claim.task, *worker, job->nextRun(*taskExecution), context);
        else if (isComplete || (isAwaited && context.now < claim.until))
            this->holdRoom(*job, claim, pass);
        else
            this->roomClaims.remove(claim.task);
    }
}

void Dispatcher::holdRoom(const JobExecution& job, const RoomClaim& claim, PlacementPass& pass)
{
    FleetWorker* worker = this->fleet.find(claim.worker);
    const TaskResources need = needOf(job.definition().steps[claim.task.step]);
    const TaskResources room = worker->availableResources();
    const auto smallerOf = [](std::int64_t a, std::int64_t b) { return std::max<std::int64_t>(std::min(a, b), 0); };
    RunAllocation allocation;
    allocation.need = { smallerOf(need.millicores, room.millicores), smallerOf(need.megabytes, room.megabytes), smallerOf(need.accelerators, room.accelerators) };
    pass.heldRoom.add(*worker, claim.task, allocation);
}

void Dispatcher::claimRoom(const JobExecution& job, RoomClaim claim, PlacementPass& pass)
{
    pass.heldRoom.remove(claim.task);
    this->holdRoom(job, claim, pass);
    this->roomClaims.add(std::move(claim));
}

bool Dispatcher::evictFor(const JobExecution& job, const TaskId& task, const PlacementRequest& request, PlacementPass& pass, CommandContext& context)
{
    const int priority = this->queueRuleOf(job).priority;
    const bool isOverdue = this->isOverdue(request.step, *job.taskExecution(task), context.now);
    const EvictionTerms terms { .priority = priority, .restartCostSeconds = this->options.restartCostSeconds, .mayReplaceLongRunning = isOverdue, .minLongRunningTime = request.step.isLongRunning ? this->options.longRunningTurn : this->options.minLongRunningTime };
    const auto eviction = chooseEviction(this->fleet, request, terms);
    if (!eviction) {
        const bool hasOnlyResourceNeeds = !request.isCrashSuspect && !request.avoidsFailingWorkers && request.mayIgnoreDataLocality && request.step.requiredLabel.empty() && request.step.maxPerWorker == 0;
        if (hasOnlyResourceNeeds)
            this->failedEvictionSearches.push_back({ request.cell, request.service, needOf(request.step), request.step.isLongRunning, isOverdue, priority, context.now + this->options.evictionSearchCooldown });
        return false;
    }
    for (const TaskRunId& victim : eviction->victims)
        this->stopRun(*eviction->worker, victim, "evicted", context);
    this->claimRoom(job, { .task = task, .worker = eviction->worker->entry.id, .until = context.now + this->options.roomClaimTimeout }, pass);
    return true;
}

bool Dispatcher::clearWorkerFor(const JobExecution& job, const TaskId& task, PlacementRequest request, PlacementPass& pass)
{
    const std::size_t maxClaims = static_cast<std::size_t>(std::ceil(this->options.maxClearedShare * static_cast<double>(this->fleet.all().size())));
    if (this->roomClaims.clearingCount() >= maxClaims)
        return false;
    request.admits = [this, admits = std::move(request.admits)](const FleetWorker& worker) { return !this->roomClaims.isClaimed(worker.entry.id) && (!admits || admits(worker)); };
    const FleetWorker* worker = chooseWorkerToClear(this->fleet, request, this->options.clearingTimeout);
    if (worker)
        this->claimRoom(job, { .task = task, .worker = worker->entry.id, .until = request.now + this->options.clearingTimeout, .isClearing = true }, pass);
    return worker != nullptr;
}

} // namespace dragonflytray
