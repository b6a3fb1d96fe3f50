#pragma once

// The execution of one job by the leader of its cell: the state of the tasks of every open step, and the progress that is
// recorded in the store.
//
// Example:
//
//     JobExecution execution(record, epoch, mayHaveFormerRuns, acceptedAt);
//     execution.openDueSteps(wallTime, now);
//     for (auto& [number, stepExecution] : execution.openSteps()) { ... }

#include "scheduling/job_cache.h"
#include "scheduling/worker_types.h"
#include <functional>
#include <set>

namespace dragonflytray {

// TaskStage is the state of one task as far as the leader knows it.
enum class TaskStage {
    Waiting, // no run exists
    Unaccounted, // a run that a former leader started may exist
    Starting, // the start was sent and not answered yet
    Unclear, // the start was not answered; the run may or may not exist
    Running,
    Stopping, // a stop was requested; the worker has not reported the end yet
    Lapsed, // its worker does not answer and its lease has expired, so that it does not run; the worker may still report its end
    Done,
};

inline constexpr NameTable taskStageNames { std::to_array<NameEntry<TaskStage>>({
    { TaskStage::Waiting, "waiting" },
    { TaskStage::Unaccounted, "unaccounted" },
    { TaskStage::Starting, "starting" },
    { TaskStage::Unclear, "unclear" },
    { TaskStage::Running, "running" },
    { TaskStage::Stopping, "stopping" },
    { TaskStage::Lapsed, "lapsed" },
    { TaskStage::Done, "done" },
}) };
static_assert(taskStageNames.isWhole(TaskStage::Done));

// mayBeAtWork() returns true if a run of a task in `stage` may be running.
constexpr bool mayBeAtWork(TaskStage stage)
{
    return stage == TaskStage::Starting || stage == TaskStage::Unclear || stage == TaskStage::Running || stage == TaskStage::Stopping;
}

// isOnWorker() returns true if the last run of a task in `stage` belongs to a worker, which may be running it or may report its end.
constexpr bool isOnWorker(TaskStage stage)
{
    return mayBeAtWork(stage) || stage == TaskStage::Lapsed;
}

// PlacementOutcome is the result of trying to start one task, or why it was not tried.
enum class PlacementOutcome {
    Started,
    NoRoom, // nor is there any for the other tasks of the step
    Yielding, // it leaves room to short tasks
    RoomBeingFreed, // it has a claim to room on a worker, or a worker is kept for it
    RunMayExist, // a worker has reported a run of it that is not adopted yet
    LeaseNeeded, // its last run was given up, and this leader may have a successor
    NoAdmittedWorker, // it avoids workers, after failed runs or as a suspect of crashes; this says nothing about other tasks
    CrashNotRecorded, // the store does not hold the crash that is attributed to it yet
    CrashNotJudged, // whether that crash is its own is not decided yet
    CrashBackoff, // its starts are delayed, since it crashes its workers
    GangIncomplete, // other tasks of its gang can't start
    StartsPaused, // what is known of the store is too old to start tasks
    WindowFull, // as many starts are under way as can be delivered
    NotReached, // the last pass ended before it
};

inline constexpr NameTable placementOutcomeNames { std::to_array<NameEntry<PlacementOutcome>>({
    { PlacementOutcome::Started, "started" },
    { PlacementOutcome::NoRoom, "no-room" },
    { PlacementOutcome::Yielding, "yielding" },
    { PlacementOutcome::RoomBeingFreed, "room-being-freed" },
    { PlacementOutcome::RunMayExist, "run-may-exist" },
    { PlacementOutcome::LeaseNeeded, "lease-needed" },
    { PlacementOutcome::NoAdmittedWorker, "no-admitted-worker" },
    { PlacementOutcome::CrashNotRecorded, "crash-not-recorded" },
    { PlacementOutcome::CrashNotJudged, "crash-not-judged" },
    { PlacementOutcome::CrashBackoff, "crash-backoff" },
    { PlacementOutcome::GangIncomplete, "gang-incomplete" },
    { PlacementOutcome::StartsPaused, "starts-paused" },
    { PlacementOutcome::WindowFull, "window-full" },
    { PlacementOutcome::NotReached, "not-reached" },
}) };
static_assert(placementOutcomeNames.isWhole(PlacementOutcome::NotReached));

// TaskExecution is the state of one task of an open step.
struct TaskExecution {
    TaskStage stage { TaskStage::Waiting };
    WorkerId worker; // of the current run
    std::uint64_t run { 0 }; // number of the current or last run
    std::string checkpoint; // the most recent one known; the next run continues from it
    Instant since; // when the stage was entered
    Instant absentSince; // since when it has not run; default: since a time before this leader
    Instant yieldingSince; // since when a long-running task leaves available room to short tasks; default: it does not
    Instant nextSearchAt; // no search for a worker before this, after one whose failure says nothing about other tasks
    bool isRunGivenUp { false }; // the last run was given up without a report of its worker
    std::uint64_t crashGeneration { 0 }; // JobExecution::generation() that contains the last crash attributed to the task
    WorkerId lastFailedWorker; // worker of the last failed run; empty: none
    int speedPercent { 0 }; // as last reported by the worker
};

// StepExecution is the state of one open step in one occurrence.
struct StepExecution {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::vector<TaskExecution> tasks;
    std::uint32_t done { 0 }; // number of tasks in stage Done
    std::uint32_t waiting { 0 }; // number of tasks in stage Waiting
    PlacementOutcome lastOutcome { PlacementOutcome::NoRoom }; // of the last task that was tried and not started
    Instant lastTriedAt {}; // when a pass last tried to start tasks; default: not yet
};

// JobExecution is the state of one job while its cell's leader executes it. Not thread-safe. The record must outlive it.
class JobExecution {
public:
    // The constructor continues from the recorded progress. With `mayHaveFormerRuns`, which is for jobs that were accepted
    // under an earlier leader, tasks begin as Unaccounted until reconcile() is called. The deadlines count from `acceptedAt`.
    JobExecution(const JobRecord& record, Epoch epoch, bool mayHaveFormerRuns, Instant acceptedAt);

    // openDueSteps() opens every step whose occurrence is due and whose preceding steps are done. It returns the time at
    // which the next occurrence is due, or nothing if all are.
    std::optional<WallTime> openDueSteps(WallTime wallTime, Instant now);

    // reconcile() declares that all runs of former leaders are known. Unaccounted tasks become Waiting, except those in
    // `unconfirmed`, whose runs may still exist; waiting tasks in `unconfirmed` become Unaccounted.
    void reconcile(const std::set<TaskId>& unconfirmed, Instant now);

    // mayHaveUnknownRuns() returns true until reconcile(): runs of a former leader, or their ends, may be unknown.
    bool mayHaveUnknownRuns() const { return this->mayHaveFormerRuns; }

    // stepExecution() returns the step in that occurrence, or null if it is not open.
    StepExecution* stepExecution(std::uint32_t occurrence, std::uint32_t step);

    // taskExecution() returns the task, or null if its step is not open.
    TaskExecution* taskExecution(const TaskId& task);
    const TaskExecution* taskExecution(const TaskId& task) const;

    // setStage() changes the stage of a task of an open step and updates the counts of waiting tasks.
    void setStage(const TaskId& task, TaskStage stage, Instant now);

    // markDone() records that a task is done. It returns false if the task was done already.
    bool markDone(const TaskId& task, Instant now);

    // markGangDone() records that all tasks of the gang of `task` are done.
    void markGangDone(const TaskId& task, Instant now);

    // countFailure() records a failed run. It returns false if this run was counted already, since ends can be reported
    // more than once.
    bool countFailure(const TaskId& task, std::uint64_t run);

    // countCrash() records that the worker of a run has ended, of a suspect as crashSuspectOf() names it. It returns false if this run
    // was counted already, or a later one has settled. Of many, the most recent are kept. proveCrash() records that the crash is the
    // run's own, and revokeCrash() that it is not.
    bool countCrash(const TaskId& suspect, std::uint64_t run);
    void proveCrash(const TaskId& suspect, std::uint64_t run);
    void revokeCrash(const TaskId& suspect, std::uint64_t run);

    // acquit() records that a run of a suspect, or the run of all members of its gang, has settled. It returns false if no crash was
    // attributed to the suspect.
    bool acquit(const TaskId& suspect, std::uint64_t run);

    // updateCheckpoint() stores the most recent checkpoint of a task for its next run. It has no effect if `checkpoint` is
    // empty, or if the task is done or its step is not open.
    void updateCheckpoint(const TaskId& task, const std::string& checkpoint);

    // failures() returns the number of failed runs of the task; of a gang, of the runs in which any of its members failed.
    std::uint32_t failures(const TaskId& task) const;

    // crashSuspectOf() returns the task that stands for `task` where crashes are counted: the first one of its gang, or itself.
    TaskId crashSuspectOf(const TaskId& task) const;

    // suspectedCrashes() returns the number of crashes attributed to a suspect since a run of it has settled; provenCrashes() that
    // of those which nothing else explains.
    std::uint32_t suspectedCrashes(const TaskId& suspect) const;
    std::uint32_t provenCrashes(const TaskId& suspect) const;

    // crashSuspects() returns the suspects with such crashes, and lastCrashedRun() the last run of one of them. Linear in the steps.
    std::vector<TaskId> crashSuspects() const;
    std::uint64_t lastCrashedRun(const TaskId& suspect) const;

    // isDone() returns true if the task is recorded as done.
    bool isDone(const TaskId& task) const;

    // nextRun() returns the run number for the next start of a task. It is higher than those of all former leaders.
    std::uint64_t nextRun(const TaskExecution& taskExecution) const;

    // expectCriticalPath() replaces the estimated run time of the longest chain of steps, from which the objective follows.
    void expectCriticalPath(Duration criticalPath);

    // setPhase() changes the phase of the job. `wallTime` becomes the time of its end if the phase is final, which the recorder
    // writes sooner than other progress.
    void setPhase(JobPhase phase, WallTime wallTime);

    // isComplete() returns true if every task of every occurrence is done.
    bool isComplete() const;

    // forEachTask() calls `visit` with the id and the execution of each task of the open steps.
    template <typename Visit>
    void forEachTask(Visit visit)
    {
        for (auto& [number, stepExecution] : this->stepExecutions) {
            for (std::uint32_t index = 0; index < stepExecution.tasks.size(); ++index)
                visit(TaskId { this->definition().id, stepExecution.occurrence, stepExecution.step, index }, stepExecution.tasks[index]);
        }
    }

    const JobDefinition& definition() const { return this->record->definition; }
    const JobProgress& progress() const { return this->currentProgress; }
    std::map<std::uint32_t, StepExecution>& openSteps() { return this->stepExecutions; }
    // hasTaskAtWork() returns true if a run of some task may be running.
    bool hasTaskAtWork() const { return this->tasksAtWork > 0; }
    // idleSince() returns the time since which no run of the job has been at work, while !hasTaskAtWork(). A start that a worker
    // rejected does not count as work.
    Instant idleSince() const { return this->lastIdleSince; }
    std::uint32_t waiting() const { return this->waitingTasks; }

    // generation() is incremented with each change of the progress by this execution; recorded() is the generation that the store contains.
    // The job is dirty, and has to be recorded, while they differ.
    std::uint64_t generation() const { return this->currentProgress.generation; }
    std::uint64_t recorded() const { return this->recordedGeneration; }
    bool isDirty() const { return this->currentProgress.generation > this->recordedGeneration; }

    // isEndObserved() returns true if the job cache has read a final phase of the job back from the store.
    bool isEndObserved() const { return isFinal(this->record->progress.phase); }

    // markRecorded() records that the store contains this generation, in a row of this version.
    void markRecorded(std::uint64_t generation, RowVersion version);

    // mergeProgress() adds the progress that another leader has recorded meanwhile, as read from a row of this version.
    void mergeProgress(const JobProgress& other, RowVersion version, Instant now);

    // version() returns the last known version of the progress row.
    RowVersion version() const { return this->progressVersion; }

    // A job that completes by objectiveDeadline has its full value, and none after lateDeadline.
    Instant objectiveDeadline;
    Instant lateDeadline;

    // slack is the part of the objective that exceeds the estimated critical path.
    Duration slack { 0 };

    // agentsWithSpec are the agents that have received the spec of the job with a start.
    std::set<Endpoint> agentsWithSpec;

private:
    std::uint32_t stepExecutionNumber(std::uint32_t occurrence, std::uint32_t step) const;
    StepProgress& progressOf(std::uint32_t occurrence, std::uint32_t step);
    const StepProgress* findProgress(std::uint32_t occurrence, std::uint32_t step) const;
    const TaskCrashes* findCrashes(const TaskId& suspect) const;
    bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    bool mayOpen(std::uint32_t occurrence, std::uint32_t step) const;
    void openStep(std::uint32_t occurrence, std::uint32_t step, Instant now);
    void incrementGeneration() { ++this->currentProgress.generation; }

    const JobRecord* record;
    Epoch epoch;
    Instant acceptedAt;
    bool mayHaveFormerRuns;
    JobProgress currentProgress;
    RowVersion progressVersion { 0 };
    std::uint64_t recordedGeneration { 0 };
    std::map<std::uint32_t, StepExecution> stepExecutions; // of open steps, by stepExecutionNumber()
    std::uint32_t waitingTasks { 0 }; // tasks of open steps in stage Waiting
    std::uint32_t tasksAtWork { 0 }; // the same for which mayBeAtWork() holds
    Instant lastIdleSince; // as idleSince()
};

// criticalPathOf() returns the estimated run time of the longest chain of dependent steps of a job.
Duration criticalPathOf(const JobDefinition& job);

// criticalPathOf() with a function returns the same by the run times that it expects of the steps with these indices.
Duration criticalPathOf(const JobDefinition& job, const std::function<Duration(std::uint32_t step)>& expectedRunTime);

// objectiveOf() returns the time within which a job with that critical path has its full value, and lateLimitOf() the time after which
// it has none, by its callers' estimates. Both count from its acceptance on.
Duration objectiveOf(const JobDefinition& job, Duration criticalPath);
Duration lateLimitOf(const JobDefinition& job);

} // namespace dragonflytray
