#pragma once

// Jobs made of steps of tasks, as the scheduler sees them.
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

using QueueName = StrongId<struct QueueNameTag>;
using CellName = StrongId<struct CellNameTag>; // workers under one leader
using WorkerId = StrongId<struct WorkerIdTag>; // one incarnation series of a worker
using ImageName = StrongId<struct ImageNameTag>;

// WallTime is milliseconds since 1970, as callers and operators give it.
using WallTime = std::int64_t;

// TaskResources is what a task occupies or a worker offers.
struct TaskResources {
    std::int64_t millicores { 0 };
    std::int64_t megabytes { 0 };
    std::int64_t accelerators { 0 };

    auto operator<=>(const TaskResources&) const = default;

    TaskResources& operator+=(const TaskResources& other);
    TaskResources& operator-=(const TaskResources& other);

    // fitsIn() says whether every part is covered by `room`.
    bool fitsIn(const TaskResources& room) const;
};

// StepDefinition is a set of equal tasks of a job.
struct StepDefinition {
    std::uint32_t count { 0 };
    TaskResources need;
    Duration estimate { 0 }; // declared by the submitter; often far off
    std::vector<std::uint32_t> after {}; // earlier steps that must be done first
    bool isCheckpointing { false };
    bool isGang { false }; // tasks work only while all of them run
    bool isSameRack { false }; // slower when spread over racks
    bool mayRunCopies { false };
    bool isLongRunning { false }; // runs until the job is cancelled
    bool isBestEffort { false }; // uses processors that others leave idle
    std::string requiredLabel {};
    std::string nearLabel {}; // rack that holds the data
    std::uint32_t maxPerWorker { 0 }; // 0: no limit
    std::uint32_t disruptionBudget { 0 }; // 0: not declared
    ImageName image {};
    Duration latencyTarget { 0 }; // of long-running tasks; 0: none

    bool operator==(const StepDefinition&) const = default;
};

// QueueRule is what the configuration says about one queue.
struct QueueRule {
    QueueName name;
    std::string host; // callers name it, with the path prefix, to choose the queue
    std::string pathPrefix;
    ServiceName service; // whose workers run the tasks
    int priority { 0 }; // 0 comes first
    std::uint32_t maxAttempts { 1 };
    double slackFactor { 1 };
    Duration targetLatency { 0 };
    bool needsAdvice { false }; // a policy service must allow each worker

    bool operator==(const QueueRule&) const = default;
};

// SchedulingConfiguration is one whole version.
struct SchedulingConfiguration {
    std::uint64_t version { 0 };
    std::vector<QueueRule> queues;

    // findQueue() is the queue with the longest matching prefix, or nothing. Linear in the queues.
    const QueueRule* findQueue(std::string_view host, std::string_view path) const;

    bool operator==(const SchedulingConfiguration&) const = default;
};

// JobDefinition is the part of an accepted job that never changes.
struct JobDefinition {
    JobId id;
    QueueRule queue; // as in force when the job was accepted
    std::string spec; // handed to workers as it is
    std::vector<StepDefinition> steps;
    std::uint32_t repetitions { 0 }; // 0: once, at once
    WallTime firstDue { 0 };
    Duration interval { 0 };
    CellName cell; // whose leader runs the job
    WallTime acceptedAt { 0 };

    // occurrences() is how often the steps run.
    std::uint32_t occurrences() const { return this->repetitions == 0 ? 1 : this->repetitions; }

    // isLongRunning() says whether the job ends only by cancellation.
    bool isLongRunning() const;
};

// TaskId names one task of one occurrence.
struct TaskId {
    JobId job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    auto operator<=>(const TaskId&) const = default;
};

// TaskRunId names one start of a task. Run numbers grow with each start.
struct TaskRunId {
    TaskId task;
    std::uint64_t run { 0 };

    auto operator<=>(const TaskRunId&) const = default;
};

// RunOutcome says how a run ended.
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member ended
    GangIncomplete, // the other members did not come
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

// JobPhase is where a job stands for its caller.
enum class JobPhase {
    Queued,
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

// isFinal() says whether a job in `phase` runs nothing any more.
constexpr bool isFinal(JobPhase phase)
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

} // namespace dragonflytray
