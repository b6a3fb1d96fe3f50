// The order in which the dispatcher serves waiting tasks, and the starts and evictions that follow.

#include "scheduling/dispatcher.h"

#include <algorithm>
#include <limits>

namespace dragonflytray {

namespace {

    // UrgencyClass orders jobs of one priority.
    enum class UrgencyClass {
        InTime,
        LongRunning,
        Late, // counts for less
        Worthless, // counts for nothing any more
    };

    UrgencyClass urgencyOf(const JobExecution& job, Instant now)
    {
        if (job.definition().isLongRunning())
            return UrgencyClass::LongRunning;
        if (now <= job.objectiveDeadline)
            return UrgencyClass::InTime;
        return now <= job.lateDeadline ? UrgencyClass::Late : UrgencyClass::Worthless;
    }

    // rankOf() puts what is late behind everything else, whatever its priority.
    int rankOf(UrgencyClass urgency, int priority)
    {
        constexpr int lateRank = 1000;
        const int isLate = urgency == UrgencyClass::Late ? 1 : urgency == UrgencyClass::Worthless ? 2
                                                                                                  : 0;
        return isLate * lateRank + 2 * priority + (urgency == UrgencyClass::LongRunning ? 1 : 0);
    }

} // namespace

// Pass remembers what found no room, so that no larger task is tried.
struct Dispatcher::Pass {
    struct Misfit {
        const CellName* cell;
        ServiceName service;
        TaskResources need;
        bool isBestEffort { false };
        ImageName image {};
    };
    std::vector<Misfit> misfits;
    std::size_t count { 0 };
    std::size_t evictions { 0 };

    bool isHopeless(const CellName& cell, const ServiceName& service, const StepDefinition& step) const
    {
        return std::any_of(this->misfits.begin(), this->misfits.end(), [&](const Misfit& misfit) {
            return misfit.isBestEffort == step.isBestEffort && (!step.isBestEffort || misfit.image == step.image) && *misfit.cell == cell && misfit.service == service && misfit.need.fitsIn(step.need);
        });
    }
};

std::vector<JobExecution*> Dispatcher::orderedJobs(Instant now)
{
    struct Entry {
        int rank;
        Instant deadline;
        JobExecution* job;
    };
    std::vector<Entry> entries;
    for (auto& [id, job] : this->jobExecutions) {
        const auto cell = this->cells.find(job->definition().cell);
        if (job->waiting() == 0 || isFinal(job->progress().phase) || cell == this->cells.end())
            continue;
        entries.push_back({ rankOf(urgencyOf(*job, now), this->ruleOf(*job).priority), job->objectiveDeadline, job.get() });
    }
    std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
        return std::tie(a.rank, a.deadline) < std::tie(b.rank, b.deadline);
    });
    std::vector<JobExecution*> jobs;
    jobs.reserve(entries.size());
    for (const Entry& entry : entries)
        jobs.push_back(entry.job);
    return jobs;
}

void Dispatcher::placeTasks(CommandContext& context)
{
    if (context.now < this->lastPass + (this->needsPass ? this->options.passPause : this->options.passInterval))
        return;
    this->needsPass = false;
    this->lastPass = context.now;
    Pass pass;
    for (JobExecution* job : this->orderedJobs(context.now)) {
        if (pass.count >= this->options.misfitsInPass)
            break;
        for (auto& [number, stepExecution] : job->openSteps()) {
            if (stepExecution.waiting > 0)
                this->placeStep(*job, stepExecution, pass, context);
        }
    }
}

void Dispatcher::placeStep(JobExecution& job, StepExecution& stepExecution, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    if (step.isGang)
        return this->placeGang(job, stepExecution, pass, context);
    for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index) {
        const TaskExecution& taskExecution = stepExecution.tasks[index];
        const TaskId task { job.definition().id, stepExecution.occurrence, stepExecution.step, index };
        if (taskExecution.stage != TaskStage::Waiting || this->hasOrphanedRun(task))
            continue;
        if (this->placeTask(job, task, pass, context) == Fit::NoRoom)
            return;
    }
}

RunCharge Dispatcher::chargeFor(const JobExecution& job, const StepDefinition& step) const
{
    RunCharge charge = chargeOf(step);
    charge.priority = this->ruleOf(job).priority;
    return charge;
}

std::uint32_t Dispatcher::sameStepRuns(const TaskId& task, const WorkerId& id)
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
    // A failed run of a long-running task costs no attempt; it may go back to where it was.
    return {
        .step = step,
        .bestEffortControl = this->bestEffortControl,
        .image = this->bestEffortControl.numberOf(step.image),
        .cell = job.definition().cell,
        .service = this->ruleOf(job).service,
        .now = now,
        .avoid = step.isLongRunning ? WorkerId() : taskExecution.lastFailedWorker,
        .avoidsFailing = !step.isLongRunning && job.failures(task) > 0,
        .mayLeaveData = step.nearLabel.empty() || now >= taskExecution.since + this->options.dataLocalityTimeout,
        .rack = {},
        .sameStepRuns = [this, task](const WorkerId& worker) { return this->sameStepRuns(task, worker); },
    };
}

FleetWorker* Dispatcher::findWorker(JobExecution& job, const TaskId& task, Instant now)
{
    return chooseWorker(this->fleet, this->requestFor(job, task, now));
}

Dispatcher::Fit Dispatcher::placeTask(JobExecution& job, const TaskId& task, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[task.step];
    const QueueRule& rule = this->ruleOf(job);
    TaskExecution& taskExecution = *job.taskExecution(task);
    const bool mayYield = this->mayYield(step, taskExecution, context.now);
    if (mayYield && this->isYielding(taskExecution, context.now))
        return Fit::Waits;
    if (context.now < taskExecution.nextSearchAt)
        return Fit::NoRoom;
    const bool isPlain = step.requiredLabel.empty() && step.maxPerWorker == 0 && step.nearLabel.empty();
    const bool isHopeless = isPlain && pass.isHopeless(job.definition().cell, rule.service, step);
    const bool isMakingRoom = context.now < taskExecution.roomExpectedAt;
    const bool maySearch = !isMakingRoom && pass.evictions < this->options.evictionsInPass && this->mayEvictFor(job, step, taskExecution, context.now);
    if (isHopeless && !maySearch)
        return isMakingRoom ? Fit::Waits : Fit::NoRoom;
    const PlacementRequest request = this->requestFor(job, task, context.now);
    FleetWorker* worker = isHopeless ? nullptr : chooseWorker(this->fleet, request);
    if (worker && mayYield && taskExecution.yieldingSince == Instant()) {
        taskExecution.yieldingSince = context.now;
        return Fit::Waits;
    }
    if (worker) {
        this->start(job, task, *worker, job.nextRun(taskExecution), context);
        return Fit::Started;
    }
    taskExecution.yieldingSince = {};
    if (!isHopeless)
        ++pass.count;
    if (!isHopeless && isPlain && taskExecution.lastFailedWorker.isEmpty())
        pass.misfits.push_back({ &job.definition().cell, rule.service, step.need, step.isBestEffort, step.image });
    if (!isPlain)
        taskExecution.nextSearchAt = context.now + this->options.searchCooldown;
    if (!maySearch)
        return isMakingRoom ? Fit::Waits : Fit::NoRoom;
    ++pass.evictions;
    return this->evictFor(job, taskExecution, request, context) ? Fit::Waits : Fit::NoRoom;
}

bool Dispatcher::mayYield(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const
{
    const bool isAwayLong = now >= taskExecution.since + this->options.longRunningYieldTimeout;
    return step.isLongRunning && !isAwayLong && now < this->lastShortStart + this->options.shortWorkMemory;
}

bool Dispatcher::isYielding(const TaskExecution& taskExecution, Instant now) const
{
    return taskExecution.yieldingSince != Instant() && now < taskExecution.yieldingSince + this->options.longRunningYieldDelay;
}

void Dispatcher::placeGang(JobExecution& job, StepExecution& stepExecution, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[stepExecution.step];
    if (stepExecution.waiting < stepExecution.tasks.size() - stepExecution.done)
        return;
    // Members are charged one by one, so that each sees the room that the others leave.
    std::vector<std::pair<std::uint32_t, FleetWorker*>> members;
    std::string rack;
    std::uint64_t run = 0;
    for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index) {
        const TaskId task { job.definition().id, stepExecution.occurrence, stepExecution.step, index };
        run = std::max(run, job.nextRun(stepExecution.tasks[index]));
        PlacementRequest request { .step = step, .bestEffortControl = this->bestEffortControl, .image = this->bestEffortControl.numberOf(step.image), .cell = job.definition().cell, .service = this->ruleOf(job).service, .now = context.now, .avoid = {}, .rack = rack, .sameStepRuns = [&](const WorkerId& worker) { return this->sameStepRuns(task, worker); } };
        FleetWorker* worker = chooseWorker(this->fleet, request);
        if (!worker)
            break;
        if (step.isSameRack)
            rack = worker->entry.rack;
        this->fleet.charge(*worker, { task, 0 }, chargeOf(step));
        members.emplace_back(index, worker);
    }
    for (const auto& [index, worker] : members)
        this->fleet.release(*worker, { { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, 0 });
    if (members.size() < stepExecution.tasks.size()) {
        ++pass.count;
        return;
    }
    const std::string checkpoint = stepExecution.tasks.front().checkpoint;
    for (const auto& [index, worker] : members) {
        stepExecution.tasks[index].checkpoint = checkpoint; // all members have to carry the same
        this->start(job, { job.definition().id, stepExecution.occurrence, stepExecution.step, index }, *worker, run, context);
    }
}

void Dispatcher::start(JobExecution& job, const TaskId& task, FleetWorker& worker, std::uint64_t run, CommandContext& context)
{
    TaskExecution& taskExecution = *job.taskExecution(task);
    context.stageTimes[Stage::Wait].record(context.now - taskExecution.since);
    taskExecution.worker = worker.entry.id;
    taskExecution.run = run;
    taskExecution.yieldingSince = {};
    taskExecution.nextSearchAt = {};
    const StepDefinition& step = job.definition().steps[task.step];
    if (!step.isLongRunning && !step.isBestEffort)
        this->lastShortStart = context.now;
    job.setStage(task, TaskStage::Starting, context.now);
    const TaskRunId id { task, run };
    this->fleet.charge(worker, id, this->chargeFor(job, step));
    this->bestEffortControl.summarize(worker);
    this->fleet.granted(worker, context.now);
    context.add(StartTask { .to = this->addressOf(worker), .run = id, .spec = job.definition().spec, .checkpoint = taskExecution.checkpoint, .deadline = worker.deadlineAt(context.now, this->fleet.lease()).value_or(0) });
    context.add(LogDecision { DecisionEvent::TaskStarted, formatRun(id), worker.entry.id.value(), "placed", worker.lastHandledEnd, context.wallTime - job.definition().acceptedAt });
}

bool Dispatcher::mayEvictFor(const JobExecution& job, const StepDefinition& step, const TaskExecution& taskExecution, Instant now)
{
    const bool isWorthIt = step.isLongRunning || urgencyOf(job, now) == UrgencyClass::InTime;
    const auto evictionDelay = std::chrono::duration_cast<Duration>(this->options.evictionDelayShare * job.slack);
    if (step.isBestEffort || !isWorthIt || now < taskExecution.since + evictionDelay)
        return false;
    std::erase_if(this->vainEvictions, [now](const VainEviction& vain) { return vain.until <= now; });
    const TaskResources need = needOf(step);
    const int priority = this->ruleOf(job).priority;
    return std::none_of(this->vainEvictions.begin(), this->vainEvictions.end(), [&](const VainEviction& vain) {
        return vain.isLongRunning == step.isLongRunning && vain.priority <= priority && vain.need.fitsIn(need);
    });
}

bool Dispatcher::evictFor(const JobExecution& job, TaskExecution& taskExecution, const PlacementRequest& request, CommandContext& context)
{
    const int priority = this->ruleOf(job).priority;
    const auto eviction = chooseEviction(this->fleet, request, { .priority = priority, .restartLoss = this->options.restartLoss });
    if (!eviction) {
        const bool isPlain = request.mayLeaveData && request.step.requiredLabel.empty() && request.step.maxPerWorker == 0;
        if (isPlain)
            this->vainEvictions.push_back({ needOf(request.step), request.step.isLongRunning, priority, context.now + this->options.evictionSearchCooldown });
        return false;
    }
    taskExecution.roomExpectedAt = context.now + this->options.evictionInterval;
    for (const TaskRunId& victim : eviction->victims)
        this->stopRun(*eviction->worker, victim, "evicted", context);
    return true;
}

} // namespace dragonflytray
