#pragma once

// The commands of `Scheduler`. A command may change its state; the handlers are in `commands/`.
//
// Example:
//
//     const SchedulerCommand command = StoreContact { .isAnswering = false };
//     const SchedulerEffects effects = scheduler.handle(command, now);

#include "evacuation/evacuation.h"
#include "scheduling/scheduling_effects.h"
#include "scheduling/stored_rows.h"
#include "scheduling/worker_types.h"
#include <variant>

namespace dragonflytray {

// SubmitJobSteps submits one job. Host and path select the queue; the rest of the path after the queue's prefix is the
// id of the job.
struct SubmitJobSteps {
    ReplyToken token {};
    std::string host;
    std::string path;
    JobDefinition job; // id, queue, cell and acceptedAt are set when the job is accepted
    Duration timeAllowed { 0 }; // that the caller waits for the answer, from now on; 0: not given
};

// RequestCancellation asks to cancel the job that host and path identify.
struct RequestCancellation {
    ReplyToken token {};
    std::string host;
    std::string path;
};

// LookUpJob asks for the phase of a job. If this host does not know the job, it reads it from the store.
struct LookUpJob {
    ReplyToken token {};
    std::string host;
    std::string path;
};

// RefuseQueueQuery answers a caller whose QueueQuery could not be answered with a number, and counts and logs the reason.
struct RefuseQueueQuery {
    ReplyToken token {};
    std::string path;
    ReplyStatus status { ReplyStatus::Refused };
    ReplyReason reason { ReplyReason::None };
};

// StoredRowsRead delivers changed rows from the store's change feed, in the order of their versions.
struct StoredRowsRead {
    std::vector<StoredRowChange> rows;
    RowVersion revision { 0 }; // all changes up to this version have been delivered
    bool isWhole { false }; // the rows are a scan of the whole table
};

// RowsWriteEnded is the result of a WriteStoredRows.
struct RowsWriteEnded {
    std::uint64_t write { 0 }; // number of the write
    TransactionStatus status { TransactionStatus::Unavailable };
    RowVersion revision { 0 }; // of all rows written
    std::vector<StoredRowChange> conflicts; // current state of the rows whose condition failed
};

// JobRowsRead is the result of a ReadJobRows.
struct JobRowsRead {
    JobId job;
    bool isRead { false }; // false: the store did not answer
    std::vector<StoredRowChange> rows;
};

// RostersRead is the result of a ReadRosters.
struct RostersRead {
    std::vector<StoredRowChange> rows; // all rosters
    RowVersion revision { 0 }; // of the store; the rows contain all changes up to this version
};

// WorkersListed delivers changes of the platform's list of workers.
struct WorkersListed {
    std::vector<ListedWorker> changed;
    std::vector<WorkerId> removed;
    bool isWhole { false }; // `changed` is the whole list; all other workers are removed
    RowVersion revision { 0 }; // of the store; all changes of the list up to this version have been delivered
};

// PollEnded is the result of a PollWorker.
struct PollEnded {
    WorkerId worker;
    FencingToken token {}; // of the poll
    Instant sentAt;
    Instant receivedAt {}; // when the answer arrived
    WorkerCallStatus status { WorkerCallStatus::Unclear };
    std::int64_t clock { 0 }; // ms on the worker's steady clock
    WallTime startedAt { 0 }; // start of the worker's process, which identifies its incarnation; 0: not reported
    std::vector<RunningTask> running {}; // all current runs
    std::vector<EndedRun> ended {}; // ends that have not been acknowledged
    bool hasMoreEnds { false }; // ends beyond those in `ended` are reported once these are acknowledged
};

// TaskCallKind is the kind of a call about one run.
enum class TaskCallKind {
    Start,
    Stop,
    SetSpeed,
};

inline constexpr NameTable taskCallKindNames { std::to_array<NameEntry<TaskCallKind>>({
    { TaskCallKind::Start, "start" },
    { TaskCallKind::Stop, "stop" },
    { TaskCallKind::SetSpeed, "pace" },
}) };
static_assert(taskCallKindNames.isWhole(TaskCallKind::SetSpeed));

// TaskCallEnded is the result of a StartTask, StopTask or SetTaskSpeed.
struct TaskCallEnded {
    TaskCallKind kind { TaskCallKind::Start };
    WorkerId worker;
    FencingToken token {}; // of the call
    TaskRunId run;
    WorkerCallStatus status { WorkerCallStatus::Unclear };
};

// AgentContact reports whether a host that delivers orders to workers has answered.
struct AgentContact {
    Endpoint agent;
    bool isAnswering { false };
};

// ConfigurationFollowed delivers the newest version of the operator's configuration.
struct ConfigurationFollowed {
    SchedulingConfiguration configuration;
};

// EvacuationsFollowed delivers a read of the operator's evacuations of data centres. A read without changes shows how recent they are.
struct EvacuationsFollowed {
    EvacuationsDelivered delivered;
};

// StoreContact reports whether the store answered the last read of its change feed.
struct StoreContact {
    bool isAnswering { false };
};

// BeginHandover releases the leases of all cells before a planned shutdown.
struct BeginHandover {
};

// SchedulerTick is sent periodically; timeouts and delays are checked when it is handled.
struct SchedulerTick {
    WallTime wallTime { 0 };
};

using SchedulerCommand = std::variant<SubmitJobSteps, RequestCancellation, LookUpJob, RefuseQueueQuery, StoredRowsRead, RowsWriteEnded, JobRowsRead, RostersRead, WorkersListed, PollEnded, TaskCallEnded, AgentContact, ConfigurationFollowed, EvacuationsFollowed, StoreContact, BeginHandover, SchedulerTick>;

// SchedulerCommandKind enumerates the alternatives of SchedulerCommand in the same order.
enum class SchedulerCommandKind {
    SubmitJobSteps,
    RequestCancellation,
    LookUpJob,
    RefuseQueueQuery,
    StoredRowsRead,
    RowsWriteEnded,
    JobRowsRead,
    RostersRead,
    WorkersListed,
    PollEnded,
    TaskCallEnded,
    AgentContact,
    ConfigurationFollowed,
    EvacuationsFollowed,
    StoreContact,
    BeginHandover,
    Tick,
};

inline constexpr NameTable schedulerCommandNames { std::to_array<NameEntry<SchedulerCommandKind>>({
    { SchedulerCommandKind::SubmitJobSteps, "submit-job-steps" },
    { SchedulerCommandKind::RequestCancellation, "request-cancellation" },
    { SchedulerCommandKind::LookUpJob, "look-up-job" },
    { SchedulerCommandKind::RefuseQueueQuery, "refuse-queue-query" },
    { SchedulerCommandKind::StoredRowsRead, "stored-rows-read" },
    { SchedulerCommandKind::RowsWriteEnded, "rows-write-ended" },
    { SchedulerCommandKind::JobRowsRead, "job-rows-read" },
    { SchedulerCommandKind::RostersRead, "rosters-read" },
    { SchedulerCommandKind::WorkersListed, "workers-listed" },
    { SchedulerCommandKind::PollEnded, "hold-ended" },
    { SchedulerCommandKind::TaskCallEnded, "task-call-ended" },
    { SchedulerCommandKind::AgentContact, "agent-contact" },
    { SchedulerCommandKind::ConfigurationFollowed, "configuration-followed" },
    { SchedulerCommandKind::EvacuationsFollowed, "evacuations-followed" },
    { SchedulerCommandKind::StoreContact, "store-contact" },
    { SchedulerCommandKind::BeginHandover, "begin-handover" },
    { SchedulerCommandKind::Tick, "tick" },
}) };
static_assert(schedulerCommandNames.isWhole(SchedulerCommandKind::Tick));
static_assert(schedulerCommandNames.size() == std::variant_size_v<SchedulerCommand>);

} // namespace dragonflytray
