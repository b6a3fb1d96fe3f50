#pragma once

// The queries of `Scheduler`. They do not change its state; the handlers are in `queries/`.
//
// Example:
//
//     const auto view = std::get<ReadinessView>(scheduler.ask(ReadinessQuery {}, now));

#include "admission/admission.h"
#include "scheduling/client_requests.h"
#include <variant>

namespace dragonflytray {

// AdmissionCounts is the number of decisions about new jobs since the start of the process, by outcome.
using AdmissionCounts = EnumArray<AdmissionOutcome, std::uint64_t, admissionOutcomeNames.size()>;

// QueueQuery asks for the number of pending jobs of the queue that host and path select.
struct QueueQuery {
    std::string host;
    std::string path;
};

// QueueView answers QueueQuery.
struct QueueView {
    ReplyStatus status { ReplyStatus::Refused }; // QueueFound, NoSuchQueue or Refused
    ReplyReason reason { ReplyReason::None }; // why the number is missing
    std::uint64_t pending { 0 }; // of QueueFound: accepted jobs of which no task has started
};

// ReadinessQuery asks whether this host should receive new connections.
struct ReadinessQuery {
};

// ReadinessView answers ReadinessQuery.
struct ReadinessView {
    bool isReady { false };
};

// SchedulerSummaryQuery asks for the values of the metrics.
struct SchedulerSummaryQuery {
};

// SchedulerSummary answers SchedulerSummaryQuery.
struct SchedulerSummary {
    std::uint64_t configurationVersion { 0 };
    RowVersion followedVersion { 0 }; // of the store, up to which all changes have been applied
    std::int64_t storeAgeMilliseconds { 0 }; // since the store last answered
    std::optional<std::int64_t> viewAgeMilliseconds; // see Dispatcher::viewedAt(); nothing if this host leads no cell
    std::size_t knownJobs { 0 }; // in the job cache
    std::size_t activeJobs { 0 }; // in execution, of the cells that this host leads
    std::size_t runningTasks { 0 }; // of the cells that this host leads
    std::size_t unrecordedJobs { 0 }; // with progress that is not recorded yet
    std::size_t ledCells { 0 }; // cells that this host leads
    Epoch highestEpoch { 0 }; // of all cells
    bool isDelegating { false }; // other hosts deliver the orders of this leader
    std::size_t startWindowBytes { 0 }; // of starts that may be under way
    std::size_t startBytesUnderWay { 0 };
    bool followsEvacuations { false }; // of data centres
    std::size_t evacuatedDataCentres { 0 };
    std::size_t evacuatedRuns { 0 }; // on workers there, of the cells that this host leads
    bool judgesWorkers { false };
    std::size_t reducedWorkers { 0 }; // that do worse than their peers and get less work
    std::size_t quarantinedWorkers { 0 };
    std::size_t sparedWorkers { 0 }; // that only the limit of quarantined workers keeps out of quarantine
    bool learnsRunTimes { false };
    std::size_t runTimeKeys { 0 }; // kinds of tasks whose run times are observed
    std::vector<QueueDebt> queueDebts; // as Dispatcher::queueDebts()
    bool refusesHopeless { false }; // jobs that can't succeed are refused here
    AdmissionCounts admissions {};
    ReplyCounts replies;
    std::optional<RetrySummary> retries; // nothing without advice to callers
    StageTimes stageTimes;
};

using SchedulerQuery = std::variant<QueueQuery, ReadinessQuery, SchedulerSummaryQuery>;
using SchedulerView = std::variant<QueueView, ReadinessView, SchedulerSummary>;

// SchedulerQueryKind enumerates the alternatives of SchedulerQuery in the same order.
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
