// Placement of one task or gang: the search for a worker, the start, and evictions.

#include "scheduling/placement_pass.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflytray {

namespace {

    constexpr int searchCooldownPasses = 4; // at least; tasks that find no room leave searches to others

    // avoidsFailedWorkers() says whether a task prefers workers without failed runs. A long-running task has no limit of attempts, so it
    // may return to the worker on which it failed.
    bool avoidsFailedWorkers(const JobExecution& job, const TaskId& task)
    {
        return !job.definition().steps[task.step].isLongRunning && job.failures(task) > 0;
    }

} // namespace

int Dispatcher::minSpeedPercentFor(const JobExecution& job, const StepDefinition& step, Instant now) const
{
    return step.isBestEffort && this->hasWaitedTooLong(job, now) ? this->options.bestEffort.minSpeedPercent : 100;
}

void Dispatcher::placeStep(JobExecution& job, StepExecution& stepExecution, bool areOverdue, PlacementPass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    if (areOverdue && !step.isLongRunning)
        return;
    stepExecution.lastTriedAt = context.now;
    if (step.isGang) {
        if (areOverdue == this->isOverdue(step, stepExecution.tasks.front(), context.now))
            stepExecution.lastOutcome = this->placeGang(job, stepExecution, pass, context);
        return;
    }
    for (std::uint32_t index = 0; index < stepExecution.tasks.size() && this->startWindow.hasRoom(); ++index) {
        const TaskExecution& taskExecution = stepExecution.tasks[index];
        if (taskExecution.stage != TaskStage::Waiting || this->isOverdue(step, taskExecution, context.now) != areOverdue)
            continue;
        const PlacementOutcome outcome = this->placeTask(job, { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, pass, context);
        if (outcome != PlacementOutcome::Started)
            stepExecution.lastOutcome = outcome;
        if (outcome == PlacementOutcome::NoRoom)
            return; // nor is there any for the others
    }
}

bool Dispatcher::mayStartAgain(const JobExecution& job, const TaskExecution& taskExecution, Instant now) const
{
    return !taskExecution.isRunGivenUp || now < this->cells.at(job.definition().cell).leaseEnd;
}

RunAllocation Dispatcher::allocationFor(const JobExecution& job, const StepDefinition& step) const
{
    RunAllocation allocation = allocationOf(step);
    allocation.priority = this->queueRuleOf(job).priority;
    return allocation;
}

std::uint32_t Dispatcher::countRunsOfStep(const TaskId& task, const WorkerId& id)
{
    const FleetWorker* worker = this->fleet.find(id);
    const TaskRunId first { { task.job, task.occurrence, task.step, 0 }, 0 };
    const TaskRunId last { { task.job, task.occurrence, task.step, std::numeric_limits<std::uint32_t>::max() }, std::numeric_limits<std::uint64_t>::max() };
    return static_cast<std::uint32_t>(std::distance(worker->runs.lower_bound(first), worker->runs.upper_bound(last)));
}

PlacementRequest Dispatcher::requestFor(JobExecution& job, const TaskId& task, Instant now)
{
    const StepDefinition& step = job.definition().steps[task.step];
    const TaskExecution& taskExecution = *job.taskExecution(task);
    // A long-running task has no limit of attempts, so it may return to the worker on which it failed.
    const bool hasFailed = avoidsFailedWorkers(job, task);
    const bool hasFailedRecently = hasFailed && now < taskExecution.since + this->options.failureAvoidanceTimeout;
    return {
        .step = step,
        .bestEffortControl = this->bestEffortControl,
        .image = this->bestEffortControl.imageNumber(step.image),
        .cell = job.definition().cell,
        .service = this->queueRuleOf(job).service,
        .now = now,
        .avoidedWorker = hasFailedRecently ? taskExecution.lastFailedWorker : WorkerId(),
        .avoidsFailingWorkers = hasFailed,
        .failureAvoidanceTimeout = this->options.failureAvoidanceTimeout,
        .mayIgnoreDataLocality = this->mayIgnoreDataLocality(step, taskExecution, now),
        .rack = {},
        .countRunsOfStep = [this, task](const WorkerId& worker) { return this->countRunsOfStep(task, worker); },
        .admits = this->admissionOf(job, task),
        .minSpeedPercent = this->minSpeedPercentFor(job, step, now),
        .mayProbe = this->mayProbe(job, task),
        .isCrashSuspect = isCrashSuspect(job, task),
    };
}

bool Dispatcher::mayIgnoreDataLocality(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const
{
    return step.nearLabel.empty() || now >= taskExecution.since + this->options.dataLocalityTimeout;
}

FleetWorker* Dispatcher::findWorker(JobExecution& job, const TaskId& task, Instant now)
{
    return chooseWorker(this->fleet, this->requestFor(job, task, now));
}

std::optional<PlacementOutcome> Dispatcher::obstacleTo(JobExecution& job, const TaskId& task, Instant now) const
{
    if (this->hasOrphanedRun(task))
        return PlacementOutcome::RunMayExist;
    if (!this->mayStartAgain(job, *job.taskExecution(task), now))
        return PlacementOutcome::LeaseNeeded;
    return this->crashObstacleTo(job, task, now);
}

PlacementOutcome Dispatcher::placeTask(JobExecution& job, const TaskId& task, PlacementPass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[task.step];
    const QueueRule& rule = this->queueRuleOf(job);
    TaskExecution& taskExecution = *job.taskExecution(task);
    if (const auto obstacle = this->obstacleTo(job, task, context.now))
        return *obstacle;
    const bool mayYield = this->mayYield(step, taskExecution, context.now);
    if (mayYield && this->isYielding(taskExecution, context.now))
        return PlacementOutcome::Yielding;
    const bool isSuspect = isCrashSuspect(job, task);
    const bool mayAvoidWorkers = isSuspect || avoidsFailedWorkers(job, task);
    const bool hasClaim = this->roomClaims.contains(task);
    const PlacementOutcome failure = hasClaim ? PlacementOutcome::RoomBeingFreed : mayAvoidWorkers ? PlacementOutcome::NoAdmittedWorker
                                                                                                   : PlacementOutcome::NoRoom;
    if (context.now < taskExecution.nextSearchAt)
        return failure;
    const bool hasOnlyResourceNeeds = !mayAvoidWorkers && step.requiredLabel.empty() && step.maxPerWorker == 0 && step.nearLabel.empty();
    const PlacementPass::UnplacedTask unplaced { &job.definition().cell, &rule.service, &step, !this->mayIgnoreDataLocality(step, taskExecution, context.now), this->minSpeedPercentFor(job, step, context.now), this->mayProbe(job, task) };
    const bool isKnownNotToFit = !isSuspect && pass.hasNoRoomFor(unplaced);
    const bool maySearch = !hasClaim && pass.evictionSearches < this->options.maxEvictionSearchesPerPass && this->mayEvictFor(job, step, taskExecution, context.now);
    if (isKnownNotToFit && !maySearch)
        return failure;
    PlacementRequest request = this->requestFor(job, task, context.now);
    pass.searches += isKnownNotToFit ? 0 : 1;
    FleetWorker* worker = isKnownNotToFit ? nullptr : chooseWorker(this->fleet, request);
    if (worker && mayYield && taskExecution.yieldingSince == Instant()) {
        taskExecution.yieldingSince = context.now;
        return PlacementOutcome::Yielding;
    }
    if (worker) {
        pass.heldRoom.remove(task);
        this->startTask(job, task, *worker, job.nextRun(taskExecution), context);
        return PlacementOutcome::Started;
    }
    taskExecution.yieldingSince = {};
    if (isSuspect && this->reserveWorker(job, task, context.now))
        return PlacementOutcome::RoomBeingFreed;
    if (!isKnownNotToFit)
        ++pass.unplacedCount;
    if (!isKnownNotToFit && !mayAvoidWorkers && step.maxPerWorker == 0)
        pass.unplacedTasks.push_back(unplaced);
    if (!hasOnlyResourceNeeds)
        taskExecution.nextSearchAt = context.now + std::max(this->options.searchCooldown, searchCooldownPasses * this->passInterval());
    if (!maySearch)
        return failure;
    ++pass.evictionSearches;
    request.mayProbe = false;
    const bool isRoomClaimed = this->evictFor(job, task, request, pass, context) || (this->isOverdue(step, taskExecution, context.now) && this->clearWorkerFor(job, task, request, pass));
    return isRoomClaimed ? PlacementOutcome::RoomBeingFreed : failure;
}

bool Dispatcher::mayYield(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const
{
    return step.isLongRunning && !this->isOverdue(step, taskExecution, now) && now < this->lastShortTaskStart + this->options.shortTaskWindow;
}

bool Dispatcher::isYielding(const TaskExecution& taskExecution, Instant now) const
{
    return taskExecution.yieldingSince != Instant() && now < taskExecution.yieldingSince + this->options.longRunningYieldDelay;
}

PlacementOutcome Dispatcher::placeGang(JobExecution& job, StepExecution& stepExecution, PlacementPass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    if (stepExecution.waiting < stepExecution.tasks.size() - stepExecution.done)
        return PlacementOutcome::GangIncomplete;
    const bool mayStart = std::all_of(stepExecution.tasks.begin(), stepExecution.tasks.end(), [&](const TaskExecution& member) { return this->mayStartAgain(job, member, context.now); });
    if (!mayStart)
        return PlacementOutcome::LeaseNeeded;
    if (const auto obstacle = this->crashObstacleTo(job, { job.definition().id, stepExecution.occurrence, stepExecution.step, 0 }, context.now))
        return *obstacle;
    TaskExecution& first = stepExecution.tasks.front();
    if (context.now < first.nextSearchAt)
        return PlacementOutcome::NoRoom;
    std::set<std::string> excludedRacks;
    std::vector<FleetWorker*> workers = this->findGangWorkers(job, stepExecution, excludedRacks, context.now);
    while (step.isSameRack && !workers.empty() && workers.size() < stepExecution.tasks.size()) {
        excludedRacks.insert(workers.front()->entry.rack);
        workers = this->findGangWorkers(job, stepExecution, excludedRacks, context.now);
    }
    if (workers.size() < stepExecution.tasks.size()) {
        first.nextSearchAt = context.now + this->options.searchCooldown;
        ++pass.unplacedCount;
        return PlacementOutcome::NoRoom;
    }
    std::uint64_t run = 0;
    for (const TaskExecution& member : stepExecution.tasks)
        run = std::max(run, job.nextRun(member));
    const std::string checkpoint = first.checkpoint;
    for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index) {
        stepExecution.tasks[index].checkpoint = checkpoint; // a gang resumes from one checkpoint
        this->startTask(job, { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, *workers[index], run, context);
    }
    return PlacementOutcome::Started;
}

std::vector<FleetWorker*> Dispatcher::findGangWorkers(JobExecution& job, const StepExecution& stepExecution, const std::set<std::string>& excludedRacks, Instant now)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    std::vector<FleetWorker*> workers;
    std::string rack;
    // Room is allocated for the members one by one, so that each sees what the others leave, and released before the start.
    for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index) {
        const TaskId task { job.definition().id, stepExecution.occurrence, stepExecution.step, index };
        const auto admits = [&excludedRacks, admission = this->admissionOf(job, task)](const FleetWorker& worker) { return !excludedRacks.contains(worker.entry.rack) && (!admission || admission(worker)); };
        const PlacementRequest request { .step = step, .bestEffortControl = this->bestEffortControl, .image = this->bestEffortControl.imageNumber(step.image), .cell = job.definition().cell, .service = this->queueRuleOf(job).service, .now = now, .avoidedWorker = {}, .rack = rack, .countRunsOfStep = [&](const WorkerId& worker) { return this->countRunsOfStep(task, worker); }, .admits = admits, .minSpeedPercent = this->minSpeedPercentFor(job, step, now) };
        FleetWorker* worker = chooseWorker(this->fleet, request);
        if (!worker)
            break;
        if (step.isSameRack)
            rack = worker->entry.rack;
        this->fleet.allocate(*worker, { task, 0 }, allocationOf(step));
        workers.push_back(worker);
    }
    for (std::uint32_t index = 0; index < workers.size(); ++index)
        this->fleet.release(*workers[index], { { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, 0 });
    return workers;
}

void Dispatcher::startTask(JobExecution& job, const TaskId& task, FleetWorker& worker, std::uint64_t run, CommandContext& context)
{
    TaskExecution& taskExecution = *job.taskExecution(task);
    context.stageTimes[Stage::Wait].record(context.now - taskExecution.since);
    const bool wasAbsent = this->isOverdue(job.definition().steps[task.step], taskExecution, context.now);
    taskExecution.worker = worker.entry.id;
    taskExecution.run = run;
    taskExecution.isRunGivenUp = false;
    taskExecution.yieldingSince = {};
    this->roomClaims.remove(task);
    taskExecution.nextSearchAt = {};
    const StepDefinition& step = job.definition().steps[task.step];
    if (!step.isLongRunning && !step.isBestEffort)
        this->lastShortTaskStart = context.now;
    job.setStage(task, TaskStage::Starting, context.now);
    const TaskRunId id { task, run };
    RunAllocation allocation = this->allocationFor(job, step);
    this->observeStart(job, task, worker, allocation, context.now);
    allocation.sentAt = context.now;
    allocation.startDeadline = worker.deadlineAt(context.now, this->options.startValidity);
    const std::int64_t deadline = allocation.startDeadline.value_or(0);
    if (wasAbsent)
        allocation.returnedAt = context.now;
    if (step.isBestEffort)
        allocation.speedPercent = this->bestEffortControl.harmlessPercent(worker, this->bestEffortControl.imageNumber(step.image), step.need.millicores);
    this->fleet.allocate(worker, id, std::move(allocation));
    if (isCrashSuspect(job, task))
        this->crashSuspects.isolate(worker.entry.id, job.crashSuspectOf(task));
    this->bestEffortControl.summarizeServing(worker);
    const Instant expiresAt = context.now + this->options.startValidity;
    this->fleet.recordStart(worker, context.now, expiresAt);
    const WorkerAddress address = this->addressOf(worker, context.now);
    const std::size_t bytes = this->chargeStart(job, taskExecution, address.agent);
    this->startWindow.sent(bytes);
    this->startsUnderWay[id] = { bytes, context.now };
    context.add(StartTask { .to = address, .run = id, .spec = job.definition().spec, .checkpoint = taskExecution.checkpoint, .deadline = deadline, .expiresAt = expiresAt });
    context.add(LogDecision { DecisionEvent::TaskStarted, formatRun(id), worker.entry.id.value(), "placed", this->followedVersion, context.wallTime - job.definition().acceptedAt, this->viewAge(context.now) });
}

bool Dispatcher::mayEvictFor(const JobExecution& job, const StepDefinition& step, const TaskExecution& taskExecution, Instant now)
{
    const bool countsInFull = step.isLongRunning || urgencyOf(job, now) == UrgencyClass::OnTime;
    const auto evictionDelay = std::chrono::duration_cast<Duration>(this->options.evictionDelayShare * job.slack);
    if (step.isBestEffort || !countsInFull || now < taskExecution.since + evictionDelay)
        return false;
    std::erase_if(this->failedEvictionSearches, [now](const FailedEvictionSearch& failed) { return failed.until <= now; });
    const TaskResources need = needOf(step);
    const QueueRule& rule = this->queueRuleOf(job);
    const bool isOverdue = this->isOverdue(step, taskExecution, now);
    return std::none_of(this->failedEvictionSearches.begin(), this->failedEvictionSearches.end(), [&](const FailedEvictionSearch& failed) {
        const bool isSameService = failed.cell == job.definition().cell && failed.service == rule.service;
        const bool isSameKind = failed.isLongRunning == step.isLongRunning && failed.isOverdue == isOverdue;
        return isSameService && isSameKind && failed.priority <= rule.priority && failed.need.fitsIn(need);
    });
}

} // namespace dragonflytray
