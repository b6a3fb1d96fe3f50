#include "scheduling/job_execution.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Number of runs of one task for which the run numbers of one epoch stay below those of the next.
    constexpr std::uint64_t maxRunsPerEpoch = 1000;

    // A job that misses its objective has reduced value up to this multiple of the objective, and none afterwards.
    constexpr int lateDeadlineFactor = 3;

    // A long-running task is started again however often its workers crash, so that its row needs a bound.
    constexpr std::size_t maxRecordedCrashes = 8; // of one task

} // namespace

Duration criticalPathOf(const JobDefinition& job)
{
    return criticalPathOf(job, [&job](std::uint32_t step) { return job.steps[step].estimate; });
}

Duration criticalPathOf(const JobDefinition& job, const std::function<Duration(std::uint32_t step)>& expectedRunTime)
{
    std::vector<Duration> ends;
    Duration longest(0);
    for (const StepDefinition& step : job.steps) {
        Duration begin(0);
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, earlier < ends.size() ? ends[earlier] : Duration(0));
        ends.push_back(begin + expectedRunTime(static_cast<std::uint32_t>(ends.size())));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Duration objectiveOf(const JobDefinition& job, Duration criticalPath)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(criticalPath) * job.queue.slackFactor) + job.queue.targetLatency;
}

Duration lateLimitOf(const JobDefinition& job)
{
    return lateDeadlineFactor * objectiveOf(job, criticalPathOf(job));
}

JobExecution::JobExecution(const JobRecord& record, Epoch epoch, bool mayHaveFormerRuns, Instant acceptedAt)
    : record(&record)
    , epoch(epoch)
    , acceptedAt(acceptedAt)
    , mayHaveFormerRuns(mayHaveFormerRuns)
    , currentProgress(record.progress)
    , progressVersion(record.progressVersion)
{
    this->currentProgress.epoch = epoch;
    this->recordedGeneration = this->currentProgress.generation;
    this->expectCriticalPath(criticalPathOf(record.definition));
}

void JobExecution::expectCriticalPath(Duration criticalPath)
{
    const Duration objective = objectiveOf(this->definition(), criticalPath);
    this->objectiveDeadline = this->acceptedAt + objective;
    this->lateDeadline = this->acceptedAt + lateDeadlineFactor * objective;
    this->slack = std::max(objective - criticalPath, Duration(0));
}

std::uint32_t JobExecution::stepExecutionNumber(std::uint32_t occurrence, std::uint32_t step) const
{
    return occurrence * static_cast<std::uint32_t>(this->definition().steps.size()) + step;
}

StepProgress& JobExecution::progressOf(std::uint32_t occurrence, std::uint32_t step)
{
    StepProgress& progress = this->currentProgress.stepProgress[this->stepExecutionNumber(occurrence, step)];
    progress.done.resize(this->definition().steps[step].count);
    return progress;
}

const StepProgress* JobExecution::findProgress(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto found = this->currentProgress.stepProgress.find(this->stepExecutionNumber(occurrence, step));
    return found == this->currentProgress.stepProgress.end() ? nullptr : &found->second;
}

bool JobExecution::isStepDone(std::uint32_t occurrence, std::uint32_t step) const
{
    const std::uint32_t count = this->definition().steps[step].count;
    if (count == 0)
        return true;
    const StepProgress* progress = this->findProgress(occurrence, step);
    return progress && std::count(progress->done.begin(), progress->done.end(), true) == static_cast<std::ptrdiff_t>(count);
}

bool JobExecution::mayOpen(std::uint32_t occurrence, std::uint32_t step) const
{
    if (this->stepExecutions.contains(this->stepExecutionNumber(occurrence, step)))
        return false;
    const std::vector<std::uint32_t>& after = this->definition().steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) { return earlier < step && this->isStepDone(occurrence, earlier); });
}

std::optional<WallTime> JobExecution::openDueSteps(WallTime wallTime, Instant now)
{
    const JobDefinition& job = this->definition();
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        const WallTime due = job.repetitions == 0 ? 0 : job.firstDue + static_cast<WallTime>(occurrence) * toMilliseconds(job.interval);
        if (due > wallTime)
            return due;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (this->mayOpen(occurrence, step))
                this->openStep(occurrence, step, now);
        }
    }
    return std::nullopt;
}

void JobExecution::openStep(std::uint32_t occurrence, std::uint32_t step, Instant now)
{
    const StepDefinition& definition = this->definition().steps[step];
    StepExecution stepExecution { .occurrence = occurrence, .step = step, .tasks = std::vector<TaskExecution>(definition.count) };
    const StepProgress* progress = this->findProgress(occurrence, step);
    for (std::uint32_t index = 0; index < definition.count; ++index) {
        TaskExecution& taskExecution = stepExecution.tasks[index];
        taskExecution.since = now;
        taskExecution.absentSince = this->mayHaveFormerRuns ? Instant() : now;
        taskExecution.stage = this->mayHaveFormerRuns ? TaskStage::Unaccounted : TaskStage::Waiting;
        if (progress) {
            if (index < progress->done.size() && progress->done[index])
                taskExecution.stage = TaskStage::Done;
            if (const auto saved = progress->checkpoints.find(index); saved != progress->checkpoints.end())
                taskExecution.checkpoint = saved->second;
            if (const auto failed = progress->failures.find(index); failed != progress->failures.end())
                taskExecution.run = *failed->second.rbegin();
            if (const auto crashed = progress->crashes.find(index); crashed != progress->crashes.end() && !crashed->second.runs.empty())
                taskExecution.run = std::max(taskExecution.run, *crashed->second.runs.rbegin());
        }
        stepExecution.done += taskExecution.stage == TaskStage::Done ? 1 : 0;
        stepExecution.waiting += taskExecution.stage == TaskStage::Waiting ? 1 : 0;
    }
    if (this->waitingTasks == 0 && this->tasksAtWork == 0)
        this->lastIdleSince = now;
    this->waitingTasks += stepExecution.waiting;
    this->stepExecutions.emplace(this->stepExecutionNumber(occurrence, step), std::move(stepExecution));
}

void JobExecution::reconcile(const std::set<TaskId>& unconfirmed, Instant now)
{
    this->mayHaveFormerRuns = false;
    this->forEachTask([&](const TaskId& task, const TaskExecution& taskExecution) {
        if (taskExecution.stage == TaskStage::Unaccounted && !unconfirmed.contains(task))
            this->setStage(task, TaskStage::Waiting, now);
        else if (taskExecution.stage == TaskStage::Waiting && unconfirmed.contains(task))
            this->setStage(task, TaskStage::Unaccounted, now);
    });
}

StepExecution* JobExecution::stepExecution(std::uint32_t occurrence, std::uint32_t step)
{
    const auto found = this->stepExecutions.find(this->stepExecutionNumber(occurrence, step));
    return found == this->stepExecutions.end() ? nullptr : &found->second;
}

TaskExecution* JobExecution::taskExecution(const TaskId& task)
{
    StepExecution* stepExecution = task.step < this->definition().steps.size() ? this->stepExecution(task.occurrence, task.step) : nullptr;
    return stepExecution && task.index < stepExecution->tasks.size() ? &stepExecution->tasks[task.index] : nullptr;
}

const TaskExecution* JobExecution::taskExecution(const TaskId& task) const
{
    if (task.step >= this->definition().steps.size())
        return nullptr;
    const auto found = this->stepExecutions.find(this->stepExecutionNumber(task.occurrence, task.step));
    return found != this->stepExecutions.end() && task.index < found->second.tasks.size() ? &found->second.tasks[task.index] : nullptr;
}

void JobExecution::setStage(const TaskId& task, TaskStage stage, Instant now)
{
    StepExecution* stepExecution = this->stepExecution(task.occurrence, task.step);
    TaskExecution& taskExecution = stepExecution->tasks[task.index];
    if (taskExecution.stage == TaskStage::Waiting) {
        --stepExecution->waiting;
        --this->waitingTasks;
    }
    if (taskExecution.stage == TaskStage::Running)
        taskExecution.absentSince = now;
    if (mayBeAtWork(taskExecution.stage))
        --this->tasksAtWork;
    if (mayBeAtWork(stage))
        ++this->tasksAtWork;
    const bool mayHaveRun = taskExecution.stage == TaskStage::Running || taskExecution.stage == TaskStage::Stopping;
    if (mayHaveRun && this->tasksAtWork == 0)
        this->lastIdleSince = now;
    taskExecution.stage = stage;
    taskExecution.since = now;
    if (stage == TaskStage::Waiting) {
        ++stepExecution->waiting;
        ++this->waitingTasks;
    }
}

bool JobExecution::markDone(const TaskId& task, Instant now)
{
    StepProgress& progress = this->progressOf(task.occurrence, task.step);
    if (progress.done[task.index])
        return false;
    progress.done[task.index] = true;
    progress.checkpoints.erase(task.index);
    this->incrementGeneration();
    if (TaskExecution* taskExecution = this->taskExecution(task); taskExecution && taskExecution->stage != TaskStage::Done) {
        this->setStage(task, TaskStage::Done, now);
        ++this->stepExecution(task.occurrence, task.step)->done;
    }
    return true;
}

void JobExecution::markGangDone(const TaskId& task, Instant now)
{
    TaskId member = task;
    for (member.index = 0; member.index < this->definition().steps[task.step].count; ++member.index)
        this->markDone(member, now);
}

bool JobExecution::countFailure(const TaskId& task, std::uint64_t run)
{
    if (!this->progressOf(task.occurrence, task.step).failures[task.index].insert(run).second)
        return false;
    this->incrementGeneration();
    return true;
}

bool JobExecution::countCrash(const TaskId& suspect, std::uint64_t run)
{
    TaskCrashes& crashes = this->progressOf(suspect.occurrence, suspect.step).crashes[suspect.index];
    if (run <= crashes.settledRun || !crashes.runs.insert(run).second)
        return false;
    if (crashes.runs.size() > maxRecordedCrashes) {
        crashes.provenRuns.erase(*crashes.runs.begin());
        crashes.runs.erase(crashes.runs.begin());
    }
    this->incrementGeneration();
    if (TaskExecution* taskExecution = this->taskExecution(suspect))
        taskExecution->crashGeneration = this->generation();
    return true;
}

void JobExecution::proveCrash(const TaskId& suspect, std::uint64_t run)
{
    TaskCrashes& crashes = this->progressOf(suspect.occurrence, suspect.step).crashes[suspect.index];
    if (crashes.runs.contains(run) && crashes.provenRuns.insert(run).second)
        this->incrementGeneration();
}

void JobExecution::revokeCrash(const TaskId& suspect, std::uint64_t run)
{
    std::map<std::uint32_t, TaskCrashes>& crashes = this->progressOf(suspect.occurrence, suspect.step).crashes;
    const auto found = crashes.find(suspect.index);
    if (found == crashes.end() || found->second.runs.erase(run) == 0)
        return;
    found->second.provenRuns.erase(run);
    if (found->second.empty())
        crashes.erase(found);
    this->incrementGeneration();
}

bool JobExecution::acquit(const TaskId& suspect, std::uint64_t run)
{
    if (this->suspectedCrashes(suspect) == 0)
        return false;
    this->progressOf(suspect.occurrence, suspect.step).crashes[suspect.index].settle(run);
    this->incrementGeneration();
    return true;
}

void JobExecution::updateCheckpoint(const TaskId& task, const std::string& checkpoint)
{
    TaskExecution* taskExecution = this->taskExecution(task);
    if (checkpoint.empty() || !taskExecution || taskExecution->stage == TaskStage::Done)
        return;
    taskExecution->checkpoint = checkpoint;
    std::string& saved = this->progressOf(task.occurrence, task.step).checkpoints[task.index];
    if (saved == checkpoint)
        return;
    saved = checkpoint;
    this->incrementGeneration();
}

std::uint32_t JobExecution::failures(const TaskId& task) const
{
    const StepProgress* progress = this->findProgress(task.occurrence, task.step);
    if (!progress)
        return 0;
    if (this->definition().steps[task.step].isGang) {
        TaskFailures runs; // members share the number of a run
        for (const auto& [index, failures] : progress->failures)
            runs.insert(failures.begin(), failures.end());
        return static_cast<std::uint32_t>(runs.size());
    }
    const auto found = progress->failures.find(task.index);
    return found == progress->failures.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

TaskId JobExecution::crashSuspectOf(const TaskId& task) const
{
    TaskId suspect = task;
    if (this->definition().steps[task.step].isGang)
        suspect.index = 0;
    return suspect;
}

std::uint32_t JobExecution::suspectedCrashes(const TaskId& suspect) const
{
    const TaskCrashes* crashes = this->findCrashes(suspect);
    return crashes ? static_cast<std::uint32_t>(crashes->runs.size()) : 0;
}

std::uint32_t JobExecution::provenCrashes(const TaskId& suspect) const
{
    const TaskCrashes* crashes = this->findCrashes(suspect);
    return crashes ? static_cast<std::uint32_t>(crashes->provenRuns.size()) : 0;
}

std::vector<TaskId> JobExecution::crashSuspects() const
{
    std::vector<TaskId> suspects;
    const auto steps = static_cast<std::uint32_t>(this->definition().steps.size());
    for (const auto& [number, progress] : this->currentProgress.stepProgress) {
        for (const auto& [index, crashes] : progress.crashes) {
            if (!crashes.runs.empty())
                suspects.push_back({ this->definition().id, number / steps, number % steps, index });
        }
    }
    return suspects;
}

std::uint64_t JobExecution::lastCrashedRun(const TaskId& suspect) const
{
    const TaskCrashes* crashes = this->findCrashes(suspect);
    return crashes && !crashes->runs.empty() ? *crashes->runs.rbegin() : 0;
}

const TaskCrashes* JobExecution::findCrashes(const TaskId& suspect) const
{
    const StepProgress* progress = this->findProgress(suspect.occurrence, suspect.step);
    if (!progress || progress->crashes.empty())
        return nullptr;
    const auto found = progress->crashes.find(suspect.index);
    return found == progress->crashes.end() ? nullptr : &found->second;
}

bool JobExecution::isDone(const TaskId& task) const
{
    const StepProgress* progress = this->findProgress(task.occurrence, task.step);
    return progress && task.index < progress->done.size() && progress->done[task.index];
}

std::uint64_t JobExecution::nextRun(const TaskExecution& taskExecution) const
{
    return std::max(taskExecution.run, (this->epoch - 1) * maxRunsPerEpoch) + 1;
}

void JobExecution::setPhase(JobPhase phase, WallTime wallTime)
{
    if (this->currentProgress.phase == phase)
        return;
    this->currentProgress.phase = phase;
    this->currentProgress.endedAt = isFinal(phase) ? wallTime : 0;
    this->incrementGeneration();
}

bool JobExecution::isComplete() const
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

void JobExecution::markRecorded(std::uint64_t generation, RowVersion version)
{
    this->recordedGeneration = std::max(this->recordedGeneration, generation);
    this->progressVersion = std::max(this->progressVersion, version);
}

void JobExecution::mergeProgress(const JobProgress& other, RowVersion version, Instant now)
{
    this->progressVersion = std::max(this->progressVersion, version);
    const auto steps = static_cast<std::uint32_t>(this->definition().steps.size());
    for (const auto& [number, stepProgress] : other.stepProgress) {
        TaskId task { this->definition().id, number / steps, number % steps, 0 };
        for (task.index = 0; task.index < stepProgress.done.size(); ++task.index) {
            if (stepProgress.done[task.index])
                this->markDone(task, now);
        }
        for (const auto& [index, failures] : stepProgress.failures)
            this->progressOf(task.occurrence, task.step).failures[index].insert(failures.begin(), failures.end());
        for (const auto& [index, crashes] : stepProgress.crashes)
            this->progressOf(task.occurrence, task.step).crashes[index].merge(crashes);
    }
    if (isFinal(other.phase)) {
        this->currentProgress.phase = other.phase;
        this->currentProgress.endedAt = other.endedAt;
    }
    this->currentProgress.generation = std::max(this->currentProgress.generation, other.generation) + 1;
}

} // namespace dragonflytray
