#pragma once

// One job as its cell's leader runs it: the tasks of every step that is open, and what is not yet recorded.
//
// Example:
//
//     JobExecution execution(record, epoch);
//     execution.openDueSteps(wallTime);
//     for (StepExecution* stepExecution : execution.openSteps()) { ... }

#include "scheduling/job_cache.h"
#include "scheduling/worker_types.h"
#include <set>

namespace dragonflytray {

// TaskStage is where one task stands for the leader.
enum class TaskStage {
    Waiting, // no run can exist
    Unaccounted, // a run of a former leader may exist
    Starting, // sent; no answer yet
    Unclear, // the start had no answer
    Running,
    Stopping, // told to stop; its end is not listed yet
    Done,
};

inline constexpr NameTable taskStageNames { std::to_array<NameEntry<TaskStage>>({
    { TaskStage::Waiting, "waiting" },
    { TaskStage::Unaccounted, "unaccounted" },
    { TaskStage::Starting, "starting" },
    { TaskStage::Unclear, "unclear" },
    { TaskStage::Running, "running" },
    { TaskStage::Stopping, "stopping" },
    { TaskStage::Done, "done" },
}) };
static_assert(taskStageNames.isWhole(TaskStage::Done));

// isOnWorker() says whether a task in `stage` occupies a worker.
constexpr bool isOnWorker(TaskStage stage)
{
    return stage == TaskStage::Starting || stage == TaskStage::Unclear || stage == TaskStage::Running || stage == TaskStage::Stopping;
}

// TaskExecution is one task.
struct TaskExecution {
    TaskStage stage { TaskStage::Waiting };
    WorkerId worker; // of the current run
    std::uint64_t run { 0 }; // number of the current or last run
    std::string checkpoint; // newest known
    Instant since; // when the stage was entered
    Instant roomExpectedAt; // runs have been stopped for it, and are gone by then
    Instant yieldingSince; // of a long-running task that leaves its room to short work: since when
    Instant nextSearchAt; // no search for room before, after one in vain that says nothing of other tasks
    WorkerId lastFailedWorker; // where the last failed run was
    int speedPercent { 0 }; // as last reported
};

// StepExecution is one step in one occurrence.
struct StepExecution {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::vector<TaskExecution> tasks;
    std::uint32_t done { 0 };
    std::uint32_t waiting { 0 };
};

// JobExecution is the running state of one job. Not thread-safe. The record must outlive it.
class JobExecution {
public:
    // The tasks of a job that was recorded under an earlier leader begin as Unaccounted.
    JobExecution(const JobRecord& record, Epoch epoch, bool mayHaveRuns, Instant now);

    // openDueSteps() opens every step whose earlier steps are done and whose time has come. It returns the
    // time at which the next occurrence is due, or nothing.
    std::optional<WallTime> openDueSteps(WallTime wallTime, Instant now);

    // reconcile() notes that no run of a former leader is left; tasks that wait for one may start.
    void reconcile(const std::set<TaskId>& unconfirmed, Instant now);

    // mayHaveUnknownRuns() says whether runs and ends of a former leader may not be known yet.
    bool mayHaveUnknownRuns() const { return this->mayHaveRuns; }

    // stepExecution() is the open step in that occurrence, or null.
    StepExecution* stepExecution(std::uint32_t occurrence, std::uint32_t step);

    // taskExecution() is the task, or null when its step is not open.
    TaskExecution* taskExecution(const TaskId& task);

    // setStage() moves one task and keeps the counts.
    void setStage(const TaskId& task, TaskStage stage, Instant now);

    // markDone() records the end of one task; false when it was done already.
    bool markDone(const TaskId& task, Instant now);

    // markGangDone() records the end of all tasks of a gang.
    void markGangDone(const TaskId& task, Instant now);

    // countFailure() counts a failed run; false when the run was counted already.
    bool countFailure(const TaskId& task, std::uint64_t run);

    // updateCheckpoint() remembers the newest checkpoint of a task, for its next run.
    void updateCheckpoint(const TaskId& task, const std::string& checkpoint);

    // failures() is how often runs of the task have failed.
    std::uint32_t failures(const TaskId& task) const;

    // isDone() says whether the task's end is handled.
    bool isDone(const TaskId& task) const;

    // nextRun() is the number for the next start of a task.
    std::uint64_t nextRun(const TaskExecution& taskExecution) const;

    // setPhase() moves the job; a final phase is recorded as soon as possible.
    void setPhase(JobPhase phase, WallTime wallTime);

    // isComplete() says whether every task of every occurrence is done.
    bool isComplete() const;

    // forEachTask() calls `visit` with each open task's name and execution.
    template <typename Visit>
    void forEachTask(Visit visit)
    {
        for (auto& [number, stepExecution] : this->stepExecutions) {
            for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index)
                visit(TaskId { this->definition().id, stepExecution.occurrence, stepExecution.step, index }, stepExecution.tasks[index]);
        }
    }

    const JobDefinition& definition() const { return this->record->definition; }
    const JobProgress& progress() const { return this->state; }
    std::map<std::uint32_t, StepExecution>& openSteps() { return this->stepExecutions; }
    std::uint32_t waiting() const { return this->waitingTasks; }

    // generation() grows with each change of the progress, and recorded() is what the store has of it.
    std::uint64_t generation() const { return this->state.generation; }
    std::uint64_t recorded() const { return this->recordedGeneration; }
    bool isDirty() const { return this->state.generation > this->recordedGeneration; }

    // isEndObserved() says whether the end of the job has come back from the store.
    bool isEndObserved() const { return isFinal(this->record->progress.phase); }

    // markRecorded() notes what the store holds.
    void markRecorded(std::uint64_t generation, RowVersion version);

    // mergeProgress() takes over what another leader recorded meanwhile.
    void mergeProgress(const JobProgress& other, RowVersion version, Instant now);

    // version() is the version of the progress row as last known.
    RowVersion version() const { return this->progressVersion; }

    // objectiveDeadline is when the job should be complete to count in full, and lateDeadline when it counts no more.
    Instant objectiveDeadline;
    Instant lateDeadline;

    // slack is how much longer than its longest chain of estimated work the job may take to count in full.
    Duration slack { 0 };

private:
    std::uint32_t stepExecutionNumber(std::uint32_t occurrence, std::uint32_t step) const;
    StepProgress& progressOf(std::uint32_t occurrence, std::uint32_t step);
    const StepProgress* findProgress(std::uint32_t occurrence, std::uint32_t step) const;
    bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    bool isOpenable(std::uint32_t occurrence, std::uint32_t step) const;
    void openStep(std::uint32_t occurrence, std::uint32_t step, Instant now);
    void touch() { ++this->state.generation; }

    const JobRecord* record;
    Epoch epoch;
    bool mayHaveRuns;
    JobProgress state;
    RowVersion progressVersion { 0 };
    std::uint64_t recordedGeneration { 0 };
    std::map<std::uint32_t, StepExecution> stepExecutions; // open ones, by number
    std::uint32_t waitingTasks { 0 };
};

// criticalPathOf() is the longest chain of estimated work through the steps of a job.
Duration criticalPathOf(const JobDefinition& job);

} // namespace dragonflytray
