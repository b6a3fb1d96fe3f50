#include "scheduling/job_run.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Run numbers that one leader may use for a task before they meet those of the next epoch.
    constexpr std::uint64_t runsInEpoch = 1000;

    // A job counts for less up to this multiple of its objective, and for nothing after it.
    constexpr int lateFactor = 3;

} // namespace

Duration chainOf(const JobDefinition& job)
{
    std::vector<Duration> ends;
    Duration longest(0);
    for (const StepDefinition& step : job.steps) {
        Duration begin(0);
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, earlier < ends.size() ? ends[earlier] : Duration(0));
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

JobRun::JobRun(const JobRecord& record, Epoch epoch, bool mayHaveRuns, Instant now)
    : record(&record)
    , epoch(epoch)
    , mayHaveRuns(mayHaveRuns)
    , state(record.progress)
    , progressVersion(record.progressVersion)
{
    this->state.epoch = epoch;
    this->recordedGeneration = this->state.generation;
    const QueueRule& queue = record.definition.queue;
    const auto chain = std::chrono::duration<double, std::nano>(chainOf(record.definition));
    const auto objective = std::chrono::duration_cast<Duration>(chain * queue.slackFactor) + queue.targetLatency;
    this->objectiveEnd = now + objective;
    this->lateEnd = now + lateFactor * objective;
    this->slack = std::max(objective - chainOf(record.definition), Duration(0));
}

std::uint32_t JobRun::unitNumber(std::uint32_t occurrence, std::uint32_t step) const
{
    return occurrence * static_cast<std::uint32_t>(this->definition().steps.size()) + step;
}

UnitProgress& JobRun::progressOf(std::uint32_t occurrence, std::uint32_t step)
{
    UnitProgress& progress = this->state.units[this->unitNumber(occurrence, step)];
    progress.done.resize(this->definition().steps[step].count);
    return progress;
}

const UnitProgress* JobRun::findProgress(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto found = this->state.units.find(this->unitNumber(occurrence, step));
    return found == this->state.units.end() ? nullptr : &found->second;
}

bool JobRun::isStepDone(std::uint32_t occurrence, std::uint32_t step) const
{
    const std::uint32_t count = this->definition().steps[step].count;
    if (count == 0)
        return true;
    const UnitProgress* progress = this->findProgress(occurrence, step);
    return progress && std::count(progress->done.begin(), progress->done.end(), true) == static_cast<std::ptrdiff_t>(count);
}

bool JobRun::isOpenable(std::uint32_t occurrence, std::uint32_t step) const
{
    if (this->units.contains(this->unitNumber(occurrence, step)))
        return false;
    const std::vector<std::uint32_t>& after = this->definition().steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) { return earlier < step && this->isStepDone(occurrence, earlier); });
}

std::optional<WallTime> JobRun::openDueUnits(WallTime wallTime, Instant now)
{
    const JobDefinition& job = this->definition();
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        const WallTime due = job.repetitions == 0 ? 0 : job.firstDue + static_cast<WallTime>(occurrence) * toMilliseconds(job.interval);
        if (due > wallTime)
            return due;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (this->isOpenable(occurrence, step))
                this->openUnit(occurrence, step, now);
        }
    }
    return std::nullopt;
}

void JobRun::openUnit(std::uint32_t occurrence, std::uint32_t step, Instant now)
{
    const StepDefinition& definition = this->definition().steps[step];
    UnitRun unit { .occurrence = occurrence, .step = step, .tasks = std::vector<TaskSlot>(definition.count) };
    const UnitProgress* progress = this->findProgress(occurrence, step);
    for (std::uint32_t index = 0; index < definition.count; ++index) {
        TaskSlot& slot = unit.tasks[index];
        slot.since = now;
        slot.stage = this->mayHaveRuns ? TaskStage::Unaccounted : TaskStage::Waiting;
        if (progress) {
            if (index < progress->done.size() && progress->done[index])
                slot.stage = TaskStage::Done;
            if (const auto saved = progress->checkpoints.find(index); saved != progress->checkpoints.end())
                slot.checkpoint = saved->second;
            if (const auto failed = progress->failures.find(index); failed != progress->failures.end())
                slot.run = *failed->second.rbegin();
        }
        unit.done += slot.stage == TaskStage::Done ? 1 : 0;
        unit.waiting += slot.stage == TaskStage::Waiting ? 1 : 0;
    }
    this->waitingTasks += unit.waiting;
    this->units.emplace(this->unitNumber(occurrence, step), std::move(unit));
}

void JobRun::settle(const std::set<TaskId>& unconfirmed, Instant now)
{
    this->mayHaveRuns = false;
    this->allTasks([&](const TaskId& task, const TaskSlot& slot) {
        if (slot.stage == TaskStage::Unaccounted && !unconfirmed.contains(task))
            this->setStage(task, TaskStage::Waiting, now);
        else if (slot.stage == TaskStage::Waiting && unconfirmed.contains(task))
            this->setStage(task, TaskStage::Unaccounted, now);
    });
}

UnitRun* JobRun::unit(std::uint32_t occurrence, std::uint32_t step)
{
    const auto found = this->units.find(this->unitNumber(occurrence, step));
    return found == this->units.end() ? nullptr : &found->second;
}

TaskSlot* JobRun::slot(const TaskId& task)
{
    UnitRun* unit = task.step < this->definition().steps.size() ? this->unit(task.occurrence, task.step) : nullptr;
    return unit && task.index < unit->tasks.size() ? &unit->tasks[task.index] : nullptr;
}

void JobRun::setStage(const TaskId& task, TaskStage stage, Instant now)
{
    UnitRun* unit = this->unit(task.occurrence, task.step);
    TaskSlot& slot = unit->tasks[task.index];
    if (slot.stage == TaskStage::Waiting) {
        --unit->waiting;
        --this->waitingTasks;
    }
    slot.stage = stage;
    slot.since = now;
    if (stage == TaskStage::Waiting) {
        ++unit->waiting;
        ++this->waitingTasks;
    }
}

bool JobRun::markDone(const TaskId& task, Instant now)
{
    UnitProgress& progress = this->progressOf(task.occurrence, task.step);
    if (progress.done[task.index])
        return false;
    progress.done[task.index] = true;
    progress.checkpoints.erase(task.index);
    this->touch();
    if (TaskSlot* slot = this->slot(task); slot && slot->stage != TaskStage::Done) {
        this->setStage(task, TaskStage::Done, now);
        ++this->unit(task.occurrence, task.step)->done;
    }
    return true;
}

void JobRun::markGangDone(const TaskId& task, Instant now)
{
    TaskId member = task;
    for (member.index = 0; member.index < this->definition().steps[task.step].count; ++member.index)
        this->markDone(member, now);
}

bool JobRun::countFailure(const TaskId& task, std::uint64_t run)
{
    if (!this->progressOf(task.occurrence, task.step).failures[task.index].insert(run).second)
        return false;
    this->touch();
    return true;
}

void JobRun::keepCheckpoint(const TaskId& task, const std::string& checkpoint)
{
    TaskSlot* slot = this->slot(task);
    if (checkpoint.empty() || !slot || slot->stage == TaskStage::Done)
        return;
    slot->checkpoint = checkpoint;
    std::string& saved = this->progressOf(task.occurrence, task.step).checkpoints[task.index];
    if (saved == checkpoint)
        return;
    saved = checkpoint;
    this->touch();
}

std::uint32_t JobRun::failures(const TaskId& task) const
{
    const UnitProgress* progress = this->findProgress(task.occurrence, task.step);
    if (!progress)
        return 0;
    const auto found = progress->failures.find(task.index);
    return found == progress->failures.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

bool JobRun::isDone(const TaskId& task) const
{
    const UnitProgress* progress = this->findProgress(task.occurrence, task.step);
    return progress && task.index < progress->done.size() && progress->done[task.index];
}

std::uint64_t JobRun::nextRun(const TaskSlot& slot) const
{
    return std::max(slot.run, (this->epoch - 1) * runsInEpoch) + 1;
}

void JobRun::setPhase(JobPhase phase, WallTime wallTime)
{
    if (this->state.phase == phase)
        return;
    this->state.phase = phase;
    this->state.endedAt = isFinal(phase) ? wallTime : 0;
    this->touch();
}

bool JobRun::isComplete() const
{
    const JobDefinition& job = this->definition();
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!this->isStepDone(occurrence, step))
                return false;
        }
    }
    return true;
}

void JobRun::noteRecorded(std::uint64_t generation, RowVersion version)
{
    this->recordedGeneration = std::max(this->recordedGeneration, generation);
    this->progressVersion = std::max(this->progressVersion, version);
}

void JobRun::mergeProgress(const JobProgress& other, RowVersion version, Instant now)
{
    this->progressVersion = std::max(this->progressVersion, version);
    const auto steps = static_cast<std::uint32_t>(this->definition().steps.size());
    for (const auto& [number, unit] : other.units) {
        TaskId task { this->definition().id, number / steps, number % steps, 0 };
        for (task.index = 0; task.index < unit.done.size(); ++task.index) {
            if (unit.done[task.index])
                this->markDone(task, now);
        }
        for (const auto& [index, failures] : unit.failures)
            this->progressOf(task.occurrence, task.step).failures[index].insert(failures.begin(), failures.end());
    }
    if (isFinal(other.phase)) {
        this->state.phase = other.phase;
        this->state.endedAt = other.endedAt;
    }
    this->state.generation = std::max(this->state.generation, other.generation) + 1;
}

} // namespace dragonflytray
