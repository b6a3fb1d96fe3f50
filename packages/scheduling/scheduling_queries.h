#pragma once

// The queries of `Scheduler`. None changes its state; the answers are computed under `queries/`.

#include "scheduling/client_requests.h"
#include <variant>

namespace dragonflytray {

// QueueQuery asks for the jobs that wait in one queue.
struct QueueQuery {
    std::string host;
    std::string path;
};

// QueueView answers QueueQuery; nothing: no such queue is configured.
struct QueueView {
    bool isConfigured { false }; // some configuration is in force
    std::optional<std::uint64_t> pending;
};

// ReadinessQuery asks whether this host should get new connections.
struct ReadinessQuery {
};

// ReadinessView answers ReadinessQuery.
struct ReadinessView {
    bool isReady { false };
};

// SchedulerSummaryQuery asks for figures for the metrics.
struct SchedulerSummaryQuery {
};

// SchedulerSummary answers SchedulerSummaryQuery.
struct SchedulerSummary {
    std::uint64_t configurationVersion { 0 };
    RowVersion followedVersion { 0 };
    std::int64_t storeAgeMilliseconds { 0 }; // since the store last answered
    std::size_t knownJobs { 0 };
    std::size_t activeJobs { 0 }; // of led cells
    std::size_t runningTasks { 0 }; // of led cells
    std::size_t unrecordedJobs { 0 }; // with progress that is not recorded
    std::size_t ledCells { 0 };
    Epoch highestEpoch { 0 };
    ReplyCounts replies;
    StageTimes stageTimes;
};

using SchedulerQuery = std::variant<QueueQuery, ReadinessQuery, SchedulerSummaryQuery>;
using SchedulerView = std::variant<QueueView, ReadinessView, SchedulerSummary>;

// SchedulerQueryKind names the alternatives of SchedulerQuery, in their order.
enum class SchedulerQueryKind {
    Queue,
    Readiness,
    Summary,
};

inline constexpr NameTable schedulerQueryNames { std::to_array<NameEntry<SchedulerQueryKind>>({
    { SchedulerQueryKind::Queue, "queue" },
    { SchedulerQueryKind::Readiness, "readiness" },
    { SchedulerQueryKind::Summary, "summary" },
}) };
static_assert(schedulerQueryNames.isWhole(SchedulerQueryKind::Summary));

} // namespace dragonflytray
