// The order in which the dispatcher serves waiting tasks, and the starts and evictions that follow.

#include "scheduling/dispatcher.h"

#include <algorithm>
#include <limits>

namespace dragonflytray {

namespace {

    // UrgencyClass orders jobs of one priority.
    enum class UrgencyClass {
        InTime,
        Lasting,
        Late, // counts for less
        Worthless, // counts for nothing any more
    };

    UrgencyClass urgencyOf(const JobRun& job, Instant now)
    {
        if (job.definition().isLasting())
            return UrgencyClass::Lasting;
        if (now <= job.objectiveEnd)
            return UrgencyClass::InTime;
        return now <= job.lateEnd ? UrgencyClass::Late : UrgencyClass::Worthless;
    }

    // rankOf() puts what is late behind everything else, whatever its priority.
    int rankOf(UrgencyClass urgency, int priority)
    {
        constexpr int lateRank = 1000;
        const int isLate = urgency == UrgencyClass::Late ? 1 : urgency == UrgencyClass::Worthless ? 2
                                                                                                  : 0;
        return isLate * lateRank + 2 * priority + (urgency == UrgencyClass::Lasting ? 1 : 0);
    }

} // namespace

// Pass remembers what found no room, so that no larger task is tried.
struct Dispatcher::Pass {
    struct Misfit {
        const CellName* cell;
        ServiceName service;
        TaskResources need;
        bool isFilling { false };
        ImageName image {};
    };
    std::vector<Misfit> misfits;
    std::size_t count { 0 };
    std::size_t evictions { 0 };

    bool isHopeless(const CellName& cell, const ServiceName& service, const StepDefinition& step) const
    {
        return std::any_of(this->misfits.begin(), this->misfits.end(), [&](const Misfit& misfit) {
            return misfit.isFilling == step.isFilling && (!step.isFilling || misfit.image == step.image) && *misfit.cell == cell && misfit.service == service && misfit.need.fitsIn(step.need);
        });
    }
};

std::vector<JobRun*> Dispatcher::orderedJobs(Instant now)
{
    struct Entry {
        int rank;
        Instant deadline;
        JobRun* job;
    };
    std::vector<Entry> entries;
    for (auto& [id, job] : this->runs) {
        const auto cell = this->cells.find(job->definition().cell);
        if (job->waiting() == 0 || isFinal(job->progress().phase) || cell == this->cells.end())
            continue;
        entries.push_back({ rankOf(urgencyOf(*job, now), this->ruleOf(*job).priority), job->objectiveEnd, job.get() });
    }
    std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
        return std::tie(a.rank, a.deadline) < std::tie(b.rank, b.deadline);
    });
    std::vector<JobRun*> jobs;
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
    for (JobRun* job : this->orderedJobs(context.now)) {
        if (pass.count >= this->options.misfitsInPass)
            break;
        for (auto& [number, unit] : job->openUnits()) {
            if (unit.waiting > 0)
                this->placeUnit(*job, unit, pass, context);
        }
    }
}

void Dispatcher::placeUnit(JobRun& job, UnitRun& unit, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[unit.step];
    if (step.isGang)
        return this->placeGang(job, unit, pass, context);
    for (std::uint32_t index = 0; index < unit.tasks.size(); ++index) {
        const TaskSlot& slot = unit.tasks[index];
        const TaskId task { job.definition().id, unit.occurrence, unit.step, index };
        if (slot.stage != TaskStage::Waiting || this->hasStray(task))
            continue;
        if (this->placeTask(job, task, pass, context) == Fit::NoRoom)
            return;
    }
}

RunCharge Dispatcher::chargeFor(const JobRun& job, const StepDefinition& step) const
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

PlacementRequest Dispatcher::requestFor(JobRun& job, const TaskId& task, Instant now)
{
    const StepDefinition& step = job.definition().steps[task.step];
    const TaskSlot& slot = *job.slot(task);
    // A failed run of a lasting task costs no attempt; it may go back to where it was.
    return {
        .step = step,
        .fills = this->fillControl,
        .image = this->fillControl.numberOf(step.image),
        .cell = job.definition().cell,
        .service = this->ruleOf(job).service,
        .now = now,
        .avoid = step.isLasting ? WorkerId() : slot.failedOn,
        .avoidsFailing = !step.isLasting && job.failures(task) > 0,
        .mayLeaveData = step.nearLabel.empty() || now >= slot.since + this->options.dataPatience,
        .rack = {},
        .sameStepRuns = [this, task](const WorkerId& worker) { return this->sameStepRuns(task, worker); },
    };
}

FleetWorker* Dispatcher::findWorker(JobRun& job, const TaskId& task, Instant now)
{
    return chooseWorker(this->fleet, this->requestFor(job, task, now));
}

Dispatcher::Fit Dispatcher::placeTask(JobRun& job, const TaskId& task, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[task.step];
    const QueueRule& rule = this->ruleOf(job);
    TaskSlot& slot = *job.slot(task);
    const bool mayYield = this->mayYield(step, slot, context.now);
    if (mayYield && this->isYielding(slot, context.now))
        return Fit::Waits;
    if (context.now < slot.nextLook)
        return Fit::NoRoom;
    const bool isPlain = step.requiredLabel.empty() && step.maxPerWorker == 0 && step.nearLabel.empty();
    const bool isHopeless = isPlain && pass.isHopeless(job.definition().cell, rule.service, step);
    const bool isMakingRoom = context.now < slot.roomDue;
    const bool maySearch = !isMakingRoom && pass.evictions < this->options.evictionsInPass && this->mayEvictFor(job, step, slot, context.now);
    if (isHopeless && !maySearch)
        return isMakingRoom ? Fit::Waits : Fit::NoRoom;
    const PlacementRequest request = this->requestFor(job, task, context.now);
    FleetWorker* worker = isHopeless ? nullptr : chooseWorker(this->fleet, request);
    if (worker && mayYield && slot.roomSince == Instant()) {
        slot.roomSince = context.now;
        return Fit::Waits;
    }
    if (worker) {
        this->start(job, task, *worker, job.nextRun(slot), context);
        return Fit::Started;
    }
    slot.roomSince = {};
    if (!isHopeless)
        ++pass.count;
    if (!isHopeless && isPlain && slot.failedOn.isEmpty())
        pass.misfits.push_back({ &job.definition().cell, rule.service, step.need, step.isFilling, step.image });
    if (!isPlain)
        slot.nextLook = context.now + this->options.searchRest;
    if (!maySearch)
        return isMakingRoom ? Fit::Waits : Fit::NoRoom;
    ++pass.evictions;
    return this->evictFor(job, slot, request, context) ? Fit::Waits : Fit::NoRoom;
}

bool Dispatcher::mayYield(const StepDefinition& step, const TaskSlot& slot, Instant now) const
{
    const bool isAwayLong = now >= slot.since + this->options.lastingLimit;
    return step.isLasting && !isAwayLong && now < this->lastShortStart + this->options.shortWorkMemory;
}

bool Dispatcher::isYielding(const TaskSlot& slot, Instant now) const
{
    return slot.roomSince != Instant() && now < slot.roomSince + this->options.lastingPatience;
}

void Dispatcher::placeGang(JobRun& job, UnitRun& unit, Pass& pass, CommandContext& context)
{
    const StepDefinition& step = job.definition().steps[unit.step];
    if (unit.waiting < unit.tasks.size() - unit.done)
        return;
    // Members are charged one by one, so that each sees the room that the others leave.
    std::vector<std::pair<std::uint32_t, FleetWorker*>> members;
    std::string rack;
    std::uint64_t run = 0;
    for (std::uint32_t index = 0; index < unit.tasks.size(); ++index) {
        const TaskId task { job.definition().id, unit.occurrence, unit.step, index };
        run = std::max(run, job.nextRun(unit.tasks[index]));
        PlacementRequest request { .step = step, .fills = this->fillControl, .image = this->fillControl.numberOf(step.image), .cell = job.definition().cell, .service = this->ruleOf(job).service, .now = context.now, .avoid = {}, .rack = rack, .sameStepRuns = [&](const WorkerId& worker) { return this->sameStepRuns(task, worker); } };
        FleetWorker* worker = chooseWorker(this->fleet, request);
        if (!worker)
            break;
        if (step.isSameRack)
            rack = worker->entry.rack;
        this->fleet.charge(*worker, { task, 0 }, chargeOf(step));
        members.emplace_back(index, worker);
    }
    for (const auto& [index, worker] : members)
        this->fleet.release(*worker, { { job.definition().id, unit.occurrence, unit.step, index }, 0 });
    if (members.size() < unit.tasks.size()) {
        ++pass.count;
        return;
    }
    const std::string checkpoint = unit.tasks.front().checkpoint;
    for (const auto& [index, worker] : members) {
        unit.tasks[index].checkpoint = checkpoint; // all members have to carry the same
        this->start(job, { job.definition().id, unit.occurrence, unit.step, index }, *worker, run, context);
    }
}

void Dispatcher::start(JobRun& job, const TaskId& task, FleetWorker& worker, std::uint64_t run, CommandContext& context)
{
    TaskSlot& slot = *job.slot(task);
    context.stageTimes[Stage::Wait].record(context.now - slot.since);
    slot.worker = worker.entry.id;
    slot.run = run;
    slot.roomSince = {};
    slot.nextLook = {};
    const StepDefinition& step = job.definition().steps[task.step];
    if (!step.isLasting && !step.isFilling)
        this->lastShortStart = context.now;
    job.setStage(task, TaskStage::Starting, context.now);
    const TaskRunId id { task, run };
    this->fleet.charge(worker, id, this->chargeFor(job, step));
    this->fillControl.summarize(worker);
    this->fleet.granted(worker, context.now);
    context.add(StartTask { .to = this->addressOf(worker), .run = id, .spec = job.definition().spec, .checkpoint = slot.checkpoint, .deadline = worker.deadlineAt(context.now, this->fleet.lease()).value_or(0) });
    context.add(LogDecision { DecisionEvent::TaskStarted, formatRun(id), worker.entry.id.value(), "placed", worker.notedEnd, context.wallTime - job.definition().acceptedAt });
}

bool Dispatcher::mayEvictFor(const JobRun& job, const StepDefinition& step, const TaskSlot& slot, Instant now)
{
    const bool isWorthIt = step.isLasting || urgencyOf(job, now) == UrgencyClass::InTime;
    const auto patience = std::chrono::duration_cast<Duration>(this->options.evictionPatience * job.slack);
    if (step.isFilling || !isWorthIt || now < slot.since + patience)
        return false;
    std::erase_if(this->vainEvictions, [now](const VainEviction& vain) { return vain.until <= now; });
    const TaskResources need = needOf(step);
    const int priority = this->ruleOf(job).priority;
    return std::none_of(this->vainEvictions.begin(), this->vainEvictions.end(), [&](const VainEviction& vain) {
        return vain.isLasting == step.isLasting && vain.priority <= priority && vain.need.fitsIn(need);
    });
}

bool Dispatcher::evictFor(const JobRun& job, TaskSlot& slot, const PlacementRequest& request, CommandContext& context)
{
    const int priority = this->ruleOf(job).priority;
    const auto eviction = chooseEviction(this->fleet, request, { .priority = priority, .restartLoss = this->options.restartLoss });
    if (!eviction) {
        const bool isPlain = request.mayLeaveData && request.step.requiredLabel.empty() && request.step.maxPerWorker == 0;
        if (isPlain)
            this->vainEvictions.push_back({ needOf(request.step), request.step.isLasting, priority, context.now + this->options.evictionRest });
        return false;
    }
    slot.roomDue = context.now + this->options.evictionInterval;
    for (const TaskRunId& victim : eviction->victims)
        this->stopRun(*eviction->worker, victim, "evicted", context);
    return true;
}

} // namespace dragonflytray
