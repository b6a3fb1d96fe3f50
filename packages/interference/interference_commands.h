#pragma once

// The commands of `Interference`. Each changes its state; the handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// TaskPlaced says that an attempt of a job holds a worker. Repeat it to refresh the cost. A job that was
// on another worker has left that one.
struct TaskPlaced {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    BatchClassName batchClass;
    Duration costSinceCheckpoint { 0 }; // work that an eviction without checkpoint would lose
};

// TaskRemoved says that a job holds its worker no longer, for whatever reason.
struct TaskRemoved {
    HostName worker;
    JobId job;
};

// RunnerPlaced says that a worker carries a runner of a service.
struct RunnerPlaced {
    HostName worker;
    ServiceName service;
};

// RunnerRemoved says that a worker carries a runner of a service no longer.
struct RunnerRemoved {
    HostName worker;
    ServiceName service;
};

// LatencyMeasured brings one lagged measurement of a service on one worker.
struct LatencyMeasured {
    ServiceName service;
    HostName worker;
    Instant windowStart;
    Instant windowEnd; // in the past by the lag of the platform
    Duration p99 { 0 };
    std::uint64_t count { 0 }; // requests in the window
    double load { 0 }; // share of the runner's slots in use, 0 to 1
};

// InterferenceTick lets time pass. Send it about once a second.
struct InterferenceTick {
};

using InterferenceCommand = std::variant<TaskPlaced, TaskRemoved, RunnerPlaced, RunnerRemoved, LatencyMeasured, ChangeConfiguration, InterferenceTick>;

// InterferenceCommandKind names the alternatives of InterferenceCommand, in their order.
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
