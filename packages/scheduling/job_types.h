#pragma once

// The data model of the scheduler: a job consists of steps, a step of equal tasks, and a task is started as a
// numbered run on a worker. A repeated job executes all its steps once for each occurrence.
//
// Example:
//
//     JobDefinition job { .id = JobId("5c0e7a21d94b36f8"), .steps = { { .count = 4, .need = { .millicores = 500 } } } };

#include "model/model.h"
#include <compare>
#include <map>
#include <string>
#include <vector>

namespace dragonflytray {

using CellName = StrongId<struct CellNameTag>; // a group of workers under one leader
using WorkerId = StrongId<struct WorkerIdTag>; // stays the same when the worker's process restarts
using ImageName = StrongId<struct ImageNameTag>;

// WallTime is a point in time in milliseconds since the Unix epoch. It is used where callers, operators or stored
// rows refer to a time; deadlines within the process use Instant.
using WallTime = std::int64_t;

// TaskResources is the amount of resources that a task reserves or a worker provides.
struct TaskResources {
    std::int64_t millicores { 0 };
    std::int64_t megabytes { 0 };
    std::int64_t accelerators { 0 };

    auto operator<=>(const TaskResources&) const = default;

    TaskResources& operator+=(const TaskResources& other);
    TaskResources& operator-=(const TaskResources& other);

    // fitsIn() returns true if none of the resources exceeds the amount in `available`.
    bool fitsIn(const TaskResources& available) const;
};

// StepDefinition describes a set of equal tasks of a job, as the submitter declared it.
struct StepDefinition {
    std::uint32_t count { 0 }; // tasks
    TaskResources need; // of each task
    Duration estimate { 0 }; // expected run time of a task; often far off
    std::vector<std::uint32_t> after {}; // indices of earlier steps that must complete first
    bool isCheckpointing { false }; // a stopped task continues from its last checkpoint
    bool isGang { false }; // tasks make progress only while all of them run
    bool isSameRack { false }; // slower if the tasks are spread over several racks
    bool mayRunCopies { false }; // two runs of a task may execute at the same time
    bool isLongRunning { false }; // runs until the job is cancelled
    bool isBestEffort { false }; // runs on processors that other tasks leave idle
    std::string requiredLabel {}; // workers without this label are excluded; empty: none
    std::string nearLabel {}; // label of the rack that holds the input data; empty: none
    std::uint32_t maxPerWorker { 0 }; // tasks of this step on one worker; 0: no limit
    std::uint32_t disruptionBudget { 0 }; // 0: not declared
    ImageName image {}; // program of the tasks, by which interference is learned
    Duration latencyTarget { 0 }; // for the tail latency of long-running tasks; 0: none

    bool operator==(const StepDefinition&) const = default;
};

// QueueRule is the configuration of one queue. Callers select a queue by host and path prefix.
struct QueueRule {
    QueueName name;
    std::string host;
    std::string pathPrefix;
    ServiceName service; // whose workers execute the tasks
    int priority { 0 }; // 0 is the most urgent
    std::uint32_t maxAttempts { 1 }; // runs of a task that may fail before the job fails
    double slackFactor { 1 }; // multiple of the estimated critical path that a job may take
    Duration targetLatency { 0 }; // added to that time
    bool needsAdvice { false }; // a policy service must approve each worker

    bool operator==(const QueueRule&) const = default;
};

// SchedulingConfiguration is one complete version of the operator's configuration.
struct SchedulingConfiguration {
    std::uint64_t version { 0 }; // 0: no configuration has been received
    std::vector<QueueRule> queues;

    // findQueue() returns the queue of `host` with the longest path prefix that matches `path`, or null. Linear in the
    // number of queues.
    const QueueRule* findQueue(std::string_view host, std::string_view path) const;

    bool operator==(const SchedulingConfiguration&) const = default;
};

// JobDefinition is the immutable part of an accepted job.
struct JobDefinition {
    JobId id;
    QueueRule queue; // as configured when the job was accepted
    std::string spec; // opaque; passed to workers unchanged
    std::vector<StepDefinition> steps;
    std::uint32_t repetitions { 0 }; // 0: the job runs once, immediately
    WallTime firstDue { 0 }; // of the first occurrence of a repeated job
    Duration interval { 0 }; // between the due times of two occurrences
    CellName cell; // whose leader executes the job
    WallTime acceptedAt { 0 };

    // occurrences() returns how many times the steps are executed.
    std::uint32_t occurrences() const { return this->repetitions == 0 ? 1 : this->repetitions; }

    // isLongRunning() returns true if some step is long-running, so that the job ends only by cancellation.
    bool isLongRunning() const;
};

// TaskId identifies one task of one occurrence of a job.
struct TaskId {
    JobId job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 }; // index in the job's steps
    std::uint32_t index { 0 }; // within the step

    auto operator<=>(const TaskId&) const = default;
};

// TaskRunId identifies one start of a task. Each start of a task gets a higher run number than the one before, also
// across leaders.
struct TaskRunId {
    TaskId task;
    std::uint64_t run { 0 };

    auto operator<=>(const TaskRunId&) const = default;
};

// RunOutcome is the reason why a run ended, as its worker reports it.
enum class RunOutcome {
    Done,
    Failed,
    Stopped, // on request of the leader
    LeaseExpired, // the worker's lease was not renewed in time
    GangBroken, // another member of the gang ended
    GangIncomplete, // the other members of the gang were not started
};

inline constexpr NameTable runOutcomeNames { std::to_array<NameEntry<RunOutcome>>({
    { RunOutcome::Done, "done" },
    { RunOutcome::Failed, "failed" },
    { RunOutcome::Stopped, "stopped" },
    { RunOutcome::LeaseExpired, "lease-expired" },
    { RunOutcome::GangBroken, "gang-broken" },
    { RunOutcome::GangIncomplete, "gang-incomplete" },
}) };
static_assert(runOutcomeNames.isWhole(RunOutcome::GangIncomplete));

// JobPhase is the state of a job as callers see it.
enum class JobPhase {
    Queued, // no task has started
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline constexpr NameTable jobPhaseNames { std::to_array<NameEntry<JobPhase>>({
    { JobPhase::Queued, "queued" },
    { JobPhase::Running, "running" },
    { JobPhase::Completed, "completed" },
    { JobPhase::Failed, "failed" },
    { JobPhase::Cancelled, "cancelled" },
}) };
static_assert(jobPhaseNames.isWhole(JobPhase::Cancelled));

// isFinal() returns true if a job in `phase` has ended.
constexpr bool isFinal(JobPhase phase)
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

} // namespace dragonflytray
