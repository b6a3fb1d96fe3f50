#pragma once

// The commands of `Interference`, which change its state. Their handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// TaskPlaced reports that an attempt of a job runs on a worker. Repeat it to update the cost. A job that was recorded on
// another worker is removed from there; an attempt older than the recorded one is ignored.
struct TaskPlaced {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    BatchClassName batchClass;
    Duration costSinceCheckpoint { 0 }; // work that an eviction without checkpoint would lose
};

// TaskRemoved reports that a job no longer runs on the worker, for whatever reason. Ignored if the job is recorded on
// another worker or on none.
struct TaskRemoved {
    HostName worker;
    JobId job;
};

// RunnerPlaced reports that a runner of a service is on a worker; a repeat is ignored.
struct RunnerPlaced {
    HostName worker;
    ServiceName service;
};

// RunnerRemoved reports that a worker no longer has a runner of a service.
struct RunnerRemoved {
    HostName worker;
    ServiceName service;
};

// LatencyMeasured delivers one delayed measurement of a service on one worker. One that cannot be used is counted in
// InterferenceSummary::rejections.
struct LatencyMeasured {
    ServiceName service;
    HostName worker;
    Instant windowStart;
    Instant windowEnd; // in the past, as the platform measures with a delay
    Duration p99 { 0 };
    std::uint64_t count { 0 }; // requests in the window
    double load { 0 }; // fraction of the runner's slots in use, 0 to 1
};

// InterferenceTick drops expired state and takes at most one mitigation step on each worker. Send it about once a second.
struct InterferenceTick {
};

using InterferenceCommand = std::variant<TaskPlaced, TaskRemoved, RunnerPlaced, RunnerRemoved, LatencyMeasured, ChangeConfiguration, InterferenceTick>;

// InterferenceCommandKind lists the alternatives of InterferenceCommand in the same order.
enum class InterferenceCommandKind {
    TaskPlaced,
    TaskRemoved,
    RunnerPlaced,
    RunnerRemoved,
    LatencyMeasured,
    ChangeConfiguration,
    Tick,
};

inline constexpr NameTable interferenceCommandNames { std::to_array<NameEntry<InterferenceCommandKind>>({
    { InterferenceCommandKind::TaskPlaced, "task-placed" },
    { InterferenceCommandKind::TaskRemoved, "task-gone" },
    { InterferenceCommandKind::RunnerPlaced, "runner-placed" },
    { InterferenceCommandKind::RunnerRemoved, "runner-gone" },
    { InterferenceCommandKind::LatencyMeasured, "latency-measured" },
    { InterferenceCommandKind::ChangeConfiguration, "change-configuration" },
    { InterferenceCommandKind::Tick, "tick" },
}) };
static_assert(interferenceCommandNames.isWhole(InterferenceCommandKind::Tick));
static_assert(interferenceCommandNames.size() == std::variant_size_v<InterferenceCommand>);

} // namespace dragonflytray
