#pragma once

// The commands of `Scheduler`. Each may change its state; the handlers are under `commands/`.

#include "scheduling/scheduling_effects.h"
#include "scheduling/stored_rows.h"
#include "scheduling/worker_types.h"
#include <variant>

namespace dragonflytray {

// SubmitJobSteps hands over one job. The queue follows from host and path, whose rest is the job's id.
struct SubmitJobSteps {
    ReplyToken token {};
    std::string host;
    std::string path;
    JobDefinition job; // without id, queue, cell and acceptance
};

// RequestCancellation asks for the end of one job.
struct RequestCancellation {
    ReplyToken token {};
    std::string host;
    std::string path;
};

// LookUpJob asks for the phase of a job, from the store if this host does not know it.
struct LookUpJob {
    ReplyToken token {};
    std::string host;
    std::string path;
};

// StoredRowsRead brings changed rows in the order of their versions, as followed from `revision`.
struct StoredRowsRead {
    std::vector<StoredRowChange> rows;
    RowVersion revision { 0 }; // every change up to it is known now
    bool isWhole { false }; // the rows are the whole table, read anew
};

// RowsWriteEnded is the end of a WriteStoredRows.
struct RowsWriteEnded {
    std::uint64_t write { 0 };
    TransactionStatus status { TransactionStatus::Unavailable };
    RowVersion revision { 0 }; // of every row written
    std::vector<StoredRowChange> conflicts; // rows whose condition failed, as they stand
};

// JobRowsRead is the end of a ReadJobRows.
struct JobRowsRead {
    JobId job;
    bool isRead { false };
    std::vector<StoredRowChange> rows;
};

// WorkersListed brings changed entries of the list; a removed worker is listed by its id alone.
struct WorkersListed {
    std::vector<ListedWorker> changed;
    std::vector<WorkerId> removed;
    bool isWhole { false }; // entries that are not named are gone
    Instant askedAt {}; // changes up to here are included
};

// PollEnded is the end of a PollWorker.
struct PollEnded {
    WorkerId worker;
    Epoch epoch { 0 };
    Instant sentAt;
    WorkerCallStatus status { WorkerCallStatus::Unclear };
    std::int64_t clock { 0 }; // ms on the worker's steady clock
    WallTime startedAt { 0 }; // 0: not told
    std::vector<RunningTask> running {};
    std::vector<EndedRun> ended {};
};

// TaskCallKind says which call ended.
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

// TaskCallEnded is the end of a StartTask, StopTask or SetTaskSpeed.
struct TaskCallEnded {
    TaskCallKind kind { TaskCallKind::Start };
    WorkerId worker;
    Epoch epoch { 0 };
    TaskRunId run;
    WorkerCallStatus status { WorkerCallStatus::Unclear };
};

// ConfigurationFollowed brings the operator's newest version.
struct ConfigurationFollowed {
    SchedulingConfiguration configuration;
};

// StoreContact says whether the store answered the last call to follow it.
struct StoreContact {
    bool isAnswering { false };
};

// BeginHandover gives up every lease, before a planned stop.
struct BeginHandover {
};

// SchedulerTick lets time pass.
struct SchedulerTick {
    WallTime wallTime { 0 };
};

using SchedulerCommand = std::variant<SubmitJobSteps, RequestCancellation, LookUpJob, StoredRowsRead, RowsWriteEnded, JobRowsRead, WorkersListed, PollEnded, TaskCallEnded, ConfigurationFollowed, StoreContact, BeginHandover, SchedulerTick>;

// SchedulerCommandKind names the alternatives of SchedulerCommand, in their order.
enum class SchedulerCommandKind {
    SubmitJobSteps,
    RequestCancellation,
    LookUpJob,
    StoredRowsRead,
    RowsWriteEnded,
    JobRowsRead,
    WorkersListed,
    PollEnded,
    TaskCallEnded,
    ConfigurationFollowed,
    StoreContact,
    BeginHandover,
    Tick,
};

inline constexpr NameTable schedulerCommandNames { std::to_array<NameEntry<SchedulerCommandKind>>({
    { SchedulerCommandKind::SubmitJobSteps, "submit-job-steps" },
    { SchedulerCommandKind::RequestCancellation, "request-cancellation" },
    { SchedulerCommandKind::LookUpJob, "look-up-job" },
    { SchedulerCommandKind::StoredRowsRead, "stored-rows-read" },
    { SchedulerCommandKind::RowsWriteEnded, "rows-write-ended" },
    { SchedulerCommandKind::JobRowsRead, "job-rows-read" },
    { SchedulerCommandKind::WorkersListed, "workers-listed" },
    { SchedulerCommandKind::PollEnded, "hold-ended" },
    { SchedulerCommandKind::TaskCallEnded, "task-call-ended" },
    { SchedulerCommandKind::ConfigurationFollowed, "configuration-followed" },
    { SchedulerCommandKind::StoreContact, "store-contact" },
    { SchedulerCommandKind::BeginHandover, "begin-handover" },
    { SchedulerCommandKind::Tick, "tick" },
}) };
static_assert(schedulerCommandNames.isWhole(SchedulerCommandKind::Tick));
static_assert(schedulerCommandNames.size() == std::variant_size_v<SchedulerCommand>);

} // namespace dragonflytray
