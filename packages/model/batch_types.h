#pragma once

// Jobs, their states and their attempts as decisions see them.

#include "model/host.h"
#include "model/priority.h"
#include <vector>

namespace dragonflytray {

// JobState is where a job stands. The allowed transitions are in `batch/transitions.h`.
enum class JobState {
    Queued, // accepted and recorded; no attempt holds a worker
    Starting, // reserved on a worker; the start is not confirmed
    Running, // confirmed by the worker, under a lease
    Evicting, // told to checkpoint and stop; the end is not confirmed
    Finished, // the result is recorded
    Failed, // out of attempts
    Cancelled, // ended at the submitter's wish
    Parked, // can't run as declared; waits for an operator
};

inline constexpr NameTable jobStateNames { std::to_array<NameEntry<JobState>>({
    { JobState::Queued, "queued" },
    { JobState::Starting, "starting" },
    { JobState::Running, "running" },
    { JobState::Evicting, "evicting" },
    { JobState::Finished, "finished" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Parked, "parked" },
}) };
static_assert(jobStateNames.isWhole(JobState::Parked));

// isTerminal() says whether a job in `state` never runs again.
constexpr bool isTerminal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled;
}

// Job is one accepted piece of batch work: what the table's row holds.
struct Job {
    JobId id;
    TeamName team;
    BatchClassName batchClass;
    Priority priority { Priority::Normal };
    Capacity need; // as declared by the submitter
    Duration declaredRunTime { 0 };
    std::string payload;
    DataCentreName dataCentre; // where it may run; empty until claimed
    JobState state { JobState::Queued };
    std::uint32_t attempt { 0 }; // number of the current or last attempt; 0 before the first
    HostName worker; // holder of the current attempt
    Epoch epoch { 0 }; // leader epoch that made the last transition
    std::uint32_t failures { 0 }; // attempts that count against the limit
    std::uint32_t evictions { 0 };
    std::string checkpoint; // object key; empty: from the start
    std::string result; // set when finished
    std::string reason; // why it waits, failed or is parked; for a person
    bool isCancelRequested { false }; // the current attempt is ended, and none follows
    std::vector<HostName> failedOn; // distinct workers on which an attempt failed
};

// isHeld() says whether a job in `state` has an attempt that may run on a worker.
constexpr bool isHeld(JobState state)
{
    return state == JobState::Starting || state == JobState::Running || state == JobState::Evicting;
}

// TaskPhase is what a worker says about one attempt.
enum class TaskPhase {
    Running,
    Finished,
    Failed,
    Stopped, // checkpointed and stopped, or its lease lapsed
    Unknown, // the worker has no such attempt
};

inline constexpr NameTable taskPhaseNames { std::to_array<NameEntry<TaskPhase>>({
    { TaskPhase::Running, "running" },
    { TaskPhase::Finished, "finished" },
    { TaskPhase::Failed, "failed" },
    { TaskPhase::Stopped, "stopped" },
    { TaskPhase::Unknown, "unknown" },
}) };
static_assert(taskPhaseNames.isWhole(TaskPhase::Unknown));

// TaskReport is a worker's lagging report about one attempt.
struct TaskReport {
    JobId job;
    std::uint32_t attempt { 0 };
    TaskPhase phase { TaskPhase::Unknown };
    std::string result; // set when finished
    std::string checkpoint; // last checkpoint; may be empty
    Capacity usage; // measured, with the platform's lag
};

} // namespace dragonflytray
