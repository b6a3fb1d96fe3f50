#pragma once

// The effects of `Scheduler`: what its owner has to carry out, in order.

#include "scheduling/stored_rows.h"
#include "scheduling/worker_types.h"
#include <variant>

namespace dragonflytray {

// StoredRowCondition holds while the row is at exactly this version; 0: while it is absent.
struct StoredRowCondition {
    StoredRowKey key;
    RowVersion version { 0 };
};

// StoredRowPut replaces or creates one row.
struct StoredRowPut {
    StoredRowKey key;
    StoredRow value;
};

// WriteStoredRows is one transaction in one partition. Answered by RowsWriteEnded.
struct WriteStoredRows {
    std::uint64_t write { 0 };
    std::uint32_t partition { 0 };
    std::vector<StoredRowCondition> conditions;
    std::vector<StoredRowPut> puts;
    std::vector<StoredRowKey> removals;
};

// ReadJobRows reads the rows of one job. Answered by JobRowsRead.
struct ReadJobRows {
    JobId job;
};

// WorkerAddress is where a call to a worker goes, and for whom it is meant.
struct WorkerAddress {
    WorkerId worker;
    Endpoint endpoint;
    Epoch epoch { 0 };
};

// PollWorker extends the lease of everything on a worker, acknowledges ends and asks for a report.
// Answered by PollEnded.
struct PollWorker {
    WorkerAddress to;
    std::optional<std::int64_t> deadline; // on the worker's clock, ms; none: the lease stays as it is
    std::uint64_t acknowledged { 0 }; // ends up to this number are recorded
    Duration wait { 0 }; // how long the worker may wait for an end
};

// StartTask starts one run. Answered by TaskCallEnded.
struct StartTask {
    WorkerAddress to;
    TaskRunId run;
    std::string spec;
    std::string checkpoint;
    std::int64_t deadline { 0 }; // on the worker's clock, ms
};

// StopTask ends one run, and keeps it from starting later. Answered by TaskCallEnded.
struct StopTask {
    WorkerAddress to;
    TaskRunId run;
};

// SetTaskSpeed lets one run work at a share of its speed. Answered by TaskCallEnded.
struct SetTaskSpeed {
    WorkerAddress to;
    TaskRunId run;
    int percent { 100 };
};

// ReplyStatus is the answer to a caller.
enum class ReplyStatus {
    Accepted, // the job is stored
    Cancelled, // the request to cancel is stored, or the job has ended
    JobFound,
    QueueFound,
    NoSuchJob,
    NoSuchQueue,
    Malformed, // the request can't be understood; nothing was done
    Refused, // surely not stored, and never will be
    Unclear, // may be stored; the caller has to ask again with the same id
};

inline constexpr NameTable replyStatusNames { std::to_array<NameEntry<ReplyStatus>>({
    { ReplyStatus::Accepted, "accepted" },
    { ReplyStatus::Cancelled, "cancelled" },
    { ReplyStatus::JobFound, "job-found" },
    { ReplyStatus::QueueFound, "queue-found" },
    { ReplyStatus::NoSuchJob, "no-such-job" },
    { ReplyStatus::NoSuchQueue, "no-such-queue" },
    { ReplyStatus::Malformed, "malformed" },
    { ReplyStatus::Refused, "refused" },
    { ReplyStatus::Unclear, "unclear" },
}) };
static_assert(replyStatusNames.isWhole(ReplyStatus::Unclear));

// ReplyReason says why a reply is not what the caller wanted.
enum class ReplyReason {
    None,
    NoConfiguration,
    StoreUnavailable,
    StoreUnclear,
    TooManyPending,
    UnknownId,
    UnknownRoute,
    BadRequest,
};

inline constexpr NameTable replyReasonNames { std::to_array<NameEntry<ReplyReason>>({
    { ReplyReason::None, "none" },
    { ReplyReason::NoConfiguration, "no-configuration" },
    { ReplyReason::StoreUnavailable, "store-unavailable" },
    { ReplyReason::StoreUnclear, "store-unclear" },
    { ReplyReason::TooManyPending, "too-many-pending" },
    { ReplyReason::UnknownId, "unknown-id" },
    { ReplyReason::UnknownRoute, "unknown-route" },
    { ReplyReason::BadRequest, "bad-request" },
}) };
static_assert(replyReasonNames.isWhole(ReplyReason::BadRequest));

// ReplyToClient ends one call of a caller.
struct ReplyToClient {
    ReplyToken token {};
    ReplyStatus status { ReplyStatus::Refused };
    ReplyReason reason { ReplyReason::None };
    JobPhase phase { JobPhase::Queued }; // of JobFound
    std::uint64_t pending { 0 }; // of QueueFound: accepted jobs of which no task has started
    Duration retryAfter { 0 }; // of Refused
};

// FollowWorkers switches the reading of the workers' list on or off.
struct FollowWorkers {
    bool shouldFollow { false };
};

// DecisionEvent is what a line of the decision log is about.
enum class DecisionEvent {
    JobAccepted,
    JobRefused,
    JobUnclear,
    JobCompleted,
    JobFailed,
    JobCancelled,
    TaskStarted,
    TaskEnded,
    TaskStopped,
    TaskLost,
    TaskSpeedChanged,
    LeadershipAcquired,
    LeadershipLost,
    WorkerSuspected,
    WorkerTrusted,
    WorkerGone,
    ConfigurationApplied,
    StoreLost,
    StoreRegained,
    WriteRetried,
};

inline constexpr NameTable decisionEventNames { std::to_array<NameEntry<DecisionEvent>>({
    { DecisionEvent::JobAccepted, "job-accepted" },
    { DecisionEvent::JobRefused, "job-refused" },
    { DecisionEvent::JobUnclear, "job-unclear" },
    { DecisionEvent::JobCompleted, "job-completed" },
    { DecisionEvent::JobFailed, "job-failed" },
    { DecisionEvent::JobCancelled, "job-cancelled" },
    { DecisionEvent::TaskStarted, "task-started" },
    { DecisionEvent::TaskEnded, "task-ended" },
    { DecisionEvent::TaskStopped, "task-stopped" },
    { DecisionEvent::TaskLost, "task-lost" },
    { DecisionEvent::TaskSpeedChanged, "task-paced" },
    { DecisionEvent::LeadershipAcquired, "leadership-taken" },
    { DecisionEvent::LeadershipLost, "leadership-lost" },
    { DecisionEvent::WorkerSuspected, "worker-suspected" },
    { DecisionEvent::WorkerTrusted, "worker-trusted" },
    { DecisionEvent::WorkerGone, "worker-gone" },
    { DecisionEvent::ConfigurationApplied, "configuration-taken" },
    { DecisionEvent::StoreLost, "store-lost" },
    { DecisionEvent::StoreRegained, "store-regained" },
    { DecisionEvent::WriteRetried, "write-retried" },
}) };
static_assert(decisionEventNames.isWhole(DecisionEvent::WriteRetried));

// LogDecision is one line of the decision log.
struct LogDecision {
    DecisionEvent event { DecisionEvent::TaskStarted };
    std::string subject; // id of the job, task run, worker or cell
    std::string worker; // empty: none
    std::string outcome;
    std::uint64_t version { 0 }; // of the inputs: epoch, row version or configuration version
    std::int64_t ageMilliseconds { 0 }; // of the job, the run or the inputs
};

using SchedulerEffect = std::variant<WriteStoredRows, ReadJobRows, PollWorker, StartTask, StopTask, SetTaskSpeed, ReplyToClient, FollowWorkers, LogDecision>;
using SchedulerEffects = std::vector<SchedulerEffect>;

} // namespace dragonflytray
