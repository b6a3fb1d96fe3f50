// Placement: the order in which the dispatcher tries waiting tasks, their starts, and evictions.

#include "scheduling/placement_pass.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

namespace dragonflytray {

namespace {

    // UrgencyClass says how a job stands against its objective.
    enum class UrgencyClass {
        OnTime,
        LongRunning,
        Late, // past its objective: completion counts for less
        Expired, // completion counts for nothing
    };

    UrgencyClass urgencyOf(const JobExecution& job, Instant now)
    {
        if (job.definition().isLongRunning())
            return UrgencyClass::LongRunning;
        if (now <= job.objectiveDeadline)
            return UrgencyClass::OnTime;
        return now <= job.lateDeadline ? UrgencyClass::Late : UrgencyClass::Expired;
    }

    constexpr int searchCooldownPasses = 4; // at least; tasks that find no room leave searches to others

    // rankOf() is the place of a job in the order of placement; the least comes first. Late jobs come after all others,
    // whatever their priority; at one priority, long-running jobs come after the others.
    int rankOf(UrgencyClass urgency, int priority)
    {
        constexpr int lateRank = 1000;
        const int lateness = urgency == UrgencyClass::Late ? 1 : urgency == UrgencyClass::Expired ? 2
                                                                                                  : 0;
        return lateness * lateRank + 2 * priority + (urgency == UrgencyClass::LongRunning ? 1 : 0);
    }

    bool hasBestEffortStep(const JobExecution& job)
    {
        const std::vector<StepDefinition>& steps = job.definition().steps;
        return std::any_of(steps.begin(), steps.end(), [](const StepDefinition& step) { return step.isBestEffort; });
    }

    // leastRecentTry() returns when the step of the job that has not been tried for longest was tried; zero: never.
    Instant leastRecentTry(JobExecution& job)
    {
        Instant least = Instant::max();
        for (const auto& [number, stepExecution] : job.openSteps()) {
            if (stepExecution.waiting > 0)
                least = std::min(least, stepExecution.lastTriedAt);
        }
        return least;
    }

    // avoidsFailedWorkers() says whether a task prefers workers without failed runs. A long-running task has no limit of attempts, so it
    // may return to the worker on which it failed.
    bool avoidsFailedWorkers(const JobExecution& job, const TaskId& task)
    {
        return !job.definition().steps[task.step].isLongRunning && job.failures(task) > 0;
    }

} // namespace

Dispatcher::PlacementOrder Dispatcher::placementOrder(Instant now)
{
    struct Entry {
        int rank;
        Instant deadline;
        JobExecution* job;
    };
    std::vector<Entry> entries;
    std::vector<std::pair<Instant, JobExecution*>> overdue;
    for (auto& [id, job] : this->jobExecutions) {
        const auto cell = this->cells.find(job->definition().cell);
        if (job->waiting() == 0 || isFinal(job->progress().phase) || cell == this->cells.end())
            continue;
        // Among jobs of one rank, best-effort jobs that have waited too long take turns.
        const bool takesTurn = hasBestEffortStep(*job) && this->hasWaitedTooLong(*job, now);
        const Instant deadline = takesTurn ? job->idleSince() : job->objectiveDeadline;
        entries.push_back({ rankOf(urgencyOf(*job, now), this->queueRuleOf(*job).priority), deadline, job.get() });
        if (const auto since = this->overdueSince(*job, now))
            overdue.emplace_back(*since, job.get());
    }
    std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
        return std::tie(a.rank, a.deadline) < std::tie(b.rank, b.deadline);
    });
    std::stable_sort(overdue.begin(), overdue.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    PlacementOrder order;
    order.jobs.reserve(entries.size());
    for (const Entry& entry : entries)
        order.jobs.push_back(entry.job);
    for (const auto& [since, job] : overdue)
        order.overdueJobs.push_back(job);
    return order;
}

Duration Dispatcher::passInterval() const
{
    const std::chrono::duration<double> affordable = this->lastPassCost / (this->options.maxPlacementShare * this->options.processorShare);
    const Duration wanted = this->needsPass ? this->options.minPassInterval : this->options.idlePassInterval;
    return std::max(wanted, std::chrono::duration_cast<Duration>(affordable));
}

bool Dispatcher::isOverdue(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const
{
    return step.isLongRunning && taskExecution.stage == TaskStage::Waiting && now >= taskExecution.absentSince + this->options.longRunningYieldTimeout;
}

std::optional<Instant> Dispatcher::overdueSince(JobExecution& job, Instant now) const
{
    std::optional<Instant> since;
    if (!job.definition().isLongRunning())
        return since;
    for (const auto& [number, stepExecution] : job.openSteps()) {
        const StepDefinition& step = job.definition().steps[stepExecution.step];
        if (stepExecution.waiting == 0)
            continue;
        for (const TaskExecution& taskExecution : stepExecution.tasks) {
            if (this->isOverdue(step, taskExecution, now))
                since = std::min(since.value_or(Instant::max()), taskExecution.absentSince);
        }
    }
    return since;
}

void Dispatcher::placeTasks(CommandContext& context)
{
    if (context.now < this->lastPass + this->passInterval())
        return;
    this->updatePause(context);
    if (this->areStartsPaused)
        return;
    this->needsPass = false;
    this->lastPass = context.now;
    this->crashSuspects.releaseWorkers(this->fleet, context.now);
    PlacementPass pass(this->fleet);
    this->placeClaimants(pass, context);
    // What the window has no room for is decided later, when it can be delivered and by what is known then.
    std::size_t evictionSearches = 0;
    if (this->startWindow.hasRoom()) {
        const PlacementOrder order = this->placementOrder(context.now);
        this->placeJobs(order.overdueJobs, true, pass, context);
        evictionSearches = std::exchange(pass.evictionSearches, 0);
        pass.unplacedCount = 0;
        const std::size_t tried = this->placeJobs(order.jobs, false, pass, context);
        this->placeLongestUntried(std::span(order.jobs).subspan(tried), pass, context);
        evictionSearches += pass.evictionSearches;
    }
    const auto costPerWorker = this->options.passCostPerWorker + this->options.searchCostPerWorker * pass.searches + this->options.evictionSearchCostPerWorker * evictionSearches;
    this->lastPassCost = std::chrono::duration<double>(costPerWorker) * static_cast<double>(this->fleet.all().size());
    this->evacuateWorkers(context);
}

std::size_t Dispatcher::placeJobs(const std::vector<JobExecution*>& jobs, bool areOverdue, PlacementPass& pass, CommandContext& context)
{
    std::size_t tried = 0;
    for (; tried < jobs.size() && pass.unplacedCount < this->options.maxUnplacedTasksPerPass && this->startWindow.hasRoom(); ++tried)
        this->placeJob(*jobs[tried], areOverdue, pass, context);
    return tried;
}

void Dispatcher::placeJob(JobExecution& job, bool areOverdue, PlacementPass& pass, CommandContext& context)
{
    for (auto& [number, stepExecution] : job.openSteps()) {
        if (stepExecution.waiting > 0)
            this->placeStep(job, stepExecution, areOverdue, pass, context);
    }
}

void Dispatcher::placeLongestUntried(std::span<JobExecution* const> jobs, PlacementPass& pass, CommandContext& context)
{
    std::vector<std::pair<Instant, JobExecution*>> byLastTry;
    for (JobExecution* job : jobs)
        byLastTry.emplace_back(leastRecentTry(*job), job);
    std::stable_sort(byLastTry.begin(), byLastTry.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    const std::size_t limit = this->options.maxUnplacedTasksPerPass + this->options.maxUntriedTasksPerPass;
    for (const auto& [triedAt, job] : byLastTry) {
        if (pass.unplacedCount >= limit || !this->startWindow.hasRoom())
            return;
        this->placeJob(*job, false, pass, context);
    }
}

bool Dispatcher::hasWaitedTooLong(const JobExecution& job, Instant now) const
{
    return !job.hasTaskOnWorker() && now >= job.idleSince() + this->options.bestEffortWaitLimit;
}

int Dispatcher::minSpeedPercentFor(const JobExecution& job, const StepDefinition& step, Instant now) const
{
    return step.isBestEffort && this->hasWaitedTooLong(job, now) ? this->options.bestEffort.minSpeedPercent : 100;
}

void Dispatcher::updatePause(CommandContext& context)
{
    const bool isPaused = !this->mayStartTasks(context.now);
    if (isPaused == this->areStartsPaused)
        return;
    this->areStartsPaused = isPaused;
    context.add(LogDecision { isPaused ? DecisionEvent::StartsPaused : DecisionEvent::StartsResumed, "store", {}, {}, this->followedVersion, 0, this->viewAge(context.now) });
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
    if (isCrashSuspect(job, task) && !isCrashRecorded(job, task))
        return PlacementOutcome::CrashNotRecorded;
    return std::nullopt;
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
    const PlacementPass::UnplacedTask unplaced { &job.definition().cell, &rule.service, &step, !this->mayIgnoreDataLocality(step, taskExecution, context.now), this->minSpeedPercentFor(job, step, context.now) };
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
    if (!isCrashRecorded(job, { job.definition().id, stepExecution.occurrence, stepExecution.step, 0 }))
        return PlacementOutcome::CrashNotRecorded;
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
    context.add(StartTask { .to = address, .run = id, .spec = job.definition().spec, .checkpoint = taskExecution.checkpoint, .deadline = worker.deadlineAt(context.now, this->options.startValidity).value_or(0), .expiresAt = expiresAt });
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
