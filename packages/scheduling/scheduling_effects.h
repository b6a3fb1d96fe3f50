#pragma once

// The effects of `Scheduler`, which its owner has to carry out in the order given.
//
// Example:
//
//     for (const SchedulerEffect& effect : scheduler.handle(command, now))
//         std::visit([&](const auto& value) { this->carryOut(value); }, effect);

#include "scheduling/stored_rows.h"
#include "scheduling/worker_types.h"
#include <variant>

namespace dragonflytray {

// StoredRowCondition requires that a row has exactly this version.
struct StoredRowCondition {
    StoredRowKey key;
    RowVersion version { 0 }; // 0: the row must be absent
};

// StoredRowPut creates or replaces one row.
struct StoredRowPut {
    StoredRowKey key;
    StoredRow value;
};

// WriteStoredRows is one transaction in one partition. It has no effect unless all conditions hold. Answered by
// RowsWriteEnded.
struct WriteStoredRows {
    std::uint64_t write { 0 }; // number, unique within this process
    std::uint32_t partition { 0 };
    std::vector<StoredRowCondition> conditions;
    std::vector<StoredRowPut> puts;
    std::vector<StoredRowKey> removals;
};

// ReadJobRows reads the rows of one job. Answered by JobRowsRead.
struct ReadJobRows {
    JobId job;
};

// WorkerAddress is the destination of a call to a worker, with the fencing token of the call.
struct WorkerAddress {
    WorkerId worker; // another worker at the endpoint rejects the call
    Endpoint endpoint;
    FencingToken token {};
    Endpoint agent {}; // host that delivers the call; port 0: this host does
};

// PollWorker is a long poll of a worker: it extends the lease of all its runs, acknowledges ends and asks for a report.
// Answered by PollEnded.
struct PollWorker {
    WorkerAddress to;
    std::optional<std::int64_t> deadline; // new end of the lease in ms on the worker's clock; none: unchanged
    std::uint64_t acknowledged { 0 }; // ends up to this number are recorded and may be forgotten
    Duration wait { 0 }; // how long the worker may delay its answer until a run ends
};

// StartTask starts one run. Answered by TaskCallEnded.
struct StartTask {
    WorkerAddress to;
    TaskRunId run;
    std::string spec; // of the job
    std::string checkpoint; // from which the run continues; empty: from the beginning
    std::int64_t deadline { 0 }; // in ms on the worker's clock: it rejects a later start, and the run ends then unless a poll extends its lease
    Instant expiresAt {}; // the call must not be sent after this; it ends as Expired instead
};

// StopTask ends one run, and prevents its start if it arrives first. Answered by TaskCallEnded.
struct StopTask {
    WorkerAddress to;
    TaskRunId run;
};

// SetTaskSpeed limits the speed of one run. Answered by TaskCallEnded.
struct SetTaskSpeed {
    WorkerAddress to;
    TaskRunId run;
    int percent { 100 }; // of its full speed
};

// ReplyStatus is the result of a call of a caller.
enum class ReplyStatus {
    Accepted, // the job is stored
    Cancelled, // the cancellation request is stored, or the job has ended
    JobFound,
    QueueFound,
    NoSuchJob,
    NoSuchQueue,
    Malformed, // the request is invalid; nothing was done
    Refused, // certainly not stored, now or later
    Unclear, // may be stored; the caller has to repeat the call with the same id
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

// ReplyReason is the reason why a call was not successful.
enum class ReplyReason {
    None,
    NoConfiguration, // no configuration has been received yet
    JobsNotRead, // the stored jobs have not been read yet, or not recently enough to be counted
    StoreUnavailable,
    StoreUnclear, // the store may or may not have executed a write
    TooManyPending, // too many calls wait for the store
    TooManyCancellations, // of jobs that are not stored
    UnknownId,
    UnknownRoute, // no queue matches host and path
    BadRequest,
    Hopeless, // the job would miss its late limit even in the best case
};

inline constexpr NameTable replyReasonNames { std::to_array<NameEntry<ReplyReason>>({
    { ReplyReason::None, "none" },
    { ReplyReason::NoConfiguration, "no-configuration" },
    { ReplyReason::JobsNotRead, "jobs-not-read" },
    { ReplyReason::StoreUnavailable, "store-unavailable" },
    { ReplyReason::StoreUnclear, "store-unclear" },
    { ReplyReason::TooManyPending, "too-many-pending" },
    { ReplyReason::TooManyCancellations, "too-many-cancellations" },
    { ReplyReason::UnknownId, "unknown-id" },
    { ReplyReason::UnknownRoute, "unknown-route" },
    { ReplyReason::BadRequest, "bad-request" },
    { ReplyReason::Hopeless, "hopeless" },
}) };
static_assert(replyReasonNames.isWhole(ReplyReason::Hopeless));

// ReplyToClient answers one call of a caller.
struct ReplyToClient {
    ReplyToken token {};
    ReplyStatus status { ReplyStatus::Refused };
    ReplyReason reason { ReplyReason::None };
    JobPhase phase { JobPhase::Queued }; // of JobFound
    std::uint64_t pending { 0 }; // of QueueFound: accepted jobs of which no task has started
    Duration retryAfter { 0 }; // of Refused, and of Unclear with advice while the store is lost: when to repeat the call; 0: not said
};

// ReadRosters reads the rosters of all cells, which only a new leader needs: they grow with the workers, and change whenever one comes,
// leaves or falls silent. Answered by RostersRead once the store has answered, unless another ReadRosters comes first.
struct ReadRosters {
};

// FollowWorkers starts or stops the reading of the list of workers, which only leaders need.
struct FollowWorkers {
    bool shouldFollow { false };
};

// DecisionEvent is the type of a line of the decision log.
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
    StartsPaused, // what the leader knows of the store is too old to start tasks
    StartsResumed,
    LeadershipBegun, // the leader has read the jobs of its cell and takes over the runs of its predecessors
    CellReconciled, // every run of former leaders is accounted for, so that tasks may be started again
    EndIgnored, // a worker reported the end of a run of a job that is not in execution here
    CancellationsChecked, // the change feed is late, and the cancellations of running jobs were read from the store
    WorkerCrashed, // another incarnation has answered where a worker was
    TaskSuspected, // the crash of a worker is attributed to a run
    TaskCleared, // a run of a suspect has settled
    CrashJudged, // whether the crash is the run's own
    TaskGivenUp,
    AgentLost, // a host that delivers orders for this leader has failed, and others take over its workers
    HostForgotten, // the row of a host that has not answered for long is removed
    EvacuationLearned, // of a data centre, by this host
    EvacuationInForce, // the leader starts nothing there any more
    EvacuationWithdrawn,
    WorkerReduced, // a worker does worse than its peers and gets less work, or is no longer quarantined
    WorkerQuarantined, // the same, and gets one probe at a time
    WorkerReinstated, // it does as well as its peers again
    TaskWaiting, // a task has not run for long; the outcome says why
    QueueDelayed, // jobs of a queue wait for those of others at its priority, since it has taken more than they have
    JobHopeless, // a new job would miss its late limit even in the best case, by the forecast of its cell
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
    { DecisionEvent::StartsPaused, "starts-paused" },
    { DecisionEvent::StartsResumed, "starts-resumed" },
    { DecisionEvent::LeadershipBegun, "leadership-begun" },
    { DecisionEvent::CellReconciled, "cell-reconciled" },
    { DecisionEvent::EndIgnored, "end-ignored" },
    { DecisionEvent::CancellationsChecked, "cancellations-checked" },
    { DecisionEvent::WorkerCrashed, "worker-crashed" },
    { DecisionEvent::TaskSuspected, "task-suspected" },
    { DecisionEvent::TaskCleared, "task-cleared" },
    { DecisionEvent::CrashJudged, "crash-judged" },
    { DecisionEvent::TaskGivenUp, "task-given-up" },
    { DecisionEvent::AgentLost, "agent-lost" },
    { DecisionEvent::HostForgotten, "host-forgotten" },
    { DecisionEvent::EvacuationLearned, "evacuation-learned" },
    { DecisionEvent::EvacuationInForce, "evacuation-in-force" },
    { DecisionEvent::EvacuationWithdrawn, "evacuation-withdrawn" },
    { DecisionEvent::WorkerReduced, "worker-reduced" },
    { DecisionEvent::WorkerQuarantined, "worker-quarantined" },
    { DecisionEvent::WorkerReinstated, "worker-reinstated" },
    { DecisionEvent::TaskWaiting, "task-waiting" },
    { DecisionEvent::QueueDelayed, "queue-delayed" },
    { DecisionEvent::JobHopeless, "job-hopeless" },
}) };
static_assert(decisionEventNames.isWhole(DecisionEvent::JobHopeless));

// DecisionInput is a quantity on which a decision rests.
enum class DecisionInput {
    ListedWorkers,
    FencedWorkers, // that have answered under the epoch of the leader
    UnlistedWorkers, // known here but not listed
    UnconfirmedTasks, // that may have runs of former leaders
    UnknownWorkers, // on which any task may run, since they have not answered this leader
    Jobs,
    UnlistedMilliseconds, // since the worker was last listed
    LeaseMilliseconds, // left of the lease that was granted to the worker; negative: since its end
    HasAnswered, // 1: the worker has answered this leader
    EndNumber,
    CancelledJobs,
    Suspects, // runs to which the crash of a worker is attributed
    Crashes, // attributed to the task
    ProvenCrashes, // those of them that nothing else explains
    CoincidentLosses, // of other workers, about when the worker was lost
    ExposedRuns, // that may have ended the worker, of jobs that are over too
    AbsentTasks, // of the step that do not run
    WaitingSteps, // with such tasks
    NeededMillicores, // by each task of the step
    WorkersWithMemory, // that accept the task and have room for what it reserves
    WorkersWithIdleCores, // the same, with enough idle cores for a best-effort task
    WorkersWithHeadroom, // the same, on which a best-effort task harms no serving task
    WorkersWithReportedHeadroom, // the same by the last reports alone, without the least headroom seen before
    ServingWorkers, // those of WorkersWithMemory on which serving tasks run
    MinSpeedPercent, // of its full speed, below which a best-effort task is not started
    HeadroomPercent, // latency target / reported tail latency, the least of the serving runs on the worker
    EvacuatedDataCentres,
    EvacuatedRuns, // on workers of evacuated data centres
    MissedMilliseconds, // since a serving run on the worker was reported to miss its target; 0: from this report on, or none does
    RetryAfterMilliseconds, // until a refused caller should come back
    ObservedRuns, // that ended on the worker since its condition last changed
    SlownessPercent, // of the peers' run times
    QuarantinedWorkers,
    SparedWorkers, // that only the limit of quarantined workers keeps out of quarantine
    DebtCoreMilliseconds, // of a queue, as QueueShares::debtOf()
    UsedMillicores, // by the tasks of a queue
    EarliestEndMilliseconds, // of a new job, from now, in the best case
    LateLimitMilliseconds, // of a new job
};

inline constexpr NameTable decisionInputNames { std::to_array<NameEntry<DecisionInput>>({
    { DecisionInput::ListedWorkers, "listed" },
    { DecisionInput::FencedWorkers, "fenced" },
    { DecisionInput::UnlistedWorkers, "unlisted" },
    { DecisionInput::UnconfirmedTasks, "unconfirmed" },
    { DecisionInput::UnknownWorkers, "unknown" },
    { DecisionInput::Jobs, "jobs" },
    { DecisionInput::UnlistedMilliseconds, "unlistedMs" },
    { DecisionInput::LeaseMilliseconds, "leaseMs" },
    { DecisionInput::HasAnswered, "hasAnswered" },
    { DecisionInput::EndNumber, "endNumber" },
    { DecisionInput::CancelledJobs, "cancelled" },
    { DecisionInput::Suspects, "suspects" },
    { DecisionInput::Crashes, "crashes" },
    { DecisionInput::ProvenCrashes, "provenCrashes" },
    { DecisionInput::CoincidentLosses, "coincident" },
    { DecisionInput::ExposedRuns, "exposed" },
    { DecisionInput::AbsentTasks, "absent" },
    { DecisionInput::WaitingSteps, "waitingSteps" },
    { DecisionInput::NeededMillicores, "needMillicores" },
    { DecisionInput::WorkersWithMemory, "withMemory" },
    { DecisionInput::WorkersWithIdleCores, "withIdleCores" },
    { DecisionInput::WorkersWithHeadroom, "withHeadroom" },
    { DecisionInput::WorkersWithReportedHeadroom, "withReportedHeadroom" },
    { DecisionInput::ServingWorkers, "serving" },
    { DecisionInput::MinSpeedPercent, "minSpeedPercent" },
    { DecisionInput::HeadroomPercent, "headroomPercent" },
    { DecisionInput::EvacuatedDataCentres, "evacuatedDataCentres" },
    { DecisionInput::EvacuatedRuns, "evacuatedRuns" },
    { DecisionInput::MissedMilliseconds, "missedMs" },
    { DecisionInput::RetryAfterMilliseconds, "retryAfterMs" },
    { DecisionInput::ObservedRuns, "observedRuns" },
    { DecisionInput::SlownessPercent, "slownessPercent" },
    { DecisionInput::QuarantinedWorkers, "quarantined" },
    { DecisionInput::SparedWorkers, "spared" },
    { DecisionInput::DebtCoreMilliseconds, "debtCoreMs" },
    { DecisionInput::UsedMillicores, "usedMillicores" },
    { DecisionInput::EarliestEndMilliseconds, "earliestEndMs" },
    { DecisionInput::LateLimitMilliseconds, "lateLimitMs" },
}) };
static_assert(decisionInputNames.isWhole(DecisionInput::LateLimitMilliseconds));

// DecisionInputValue is one input of a decision, as logged.
struct DecisionInputValue {
    DecisionInput input { DecisionInput::ListedWorkers };
    std::int64_t value { 0 };
};

// LogDecision writes one line to the decision log.
struct LogDecision {
    DecisionEvent event { DecisionEvent::TaskStarted };
    std::string subject; // id of the job, run, worker or cell
    std::string worker; // empty: none
    std::string outcome;
    std::uint64_t version { 0 }; // of the input of the decision: epoch, row version or configuration version
    std::int64_t ageMilliseconds { 0 }; // of the job, the run or the input
    std::optional<std::int64_t> viewAgeMilliseconds {}; // age of what the leader knew of the store when it decided
    std::vector<DecisionInputValue> inputs {};
};

using SchedulerEffect = std::variant<WriteStoredRows, ReadJobRows, ReadRosters, PollWorker, StartTask, StopTask, SetTaskSpeed, ReplyToClient, FollowWorkers, LogDecision>;
using SchedulerEffects = std::vector<SchedulerEffect>;

} // namespace dragonflytray
