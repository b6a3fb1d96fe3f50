#pragma once

// The commands of `Batch`, which change its state. The handlers are under `commands/`.
//
// Example:
//
//     BatchEffects effects = batch.handle(CancelJob { token, JobId("j1") }, now);

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// SubmitJob submits one job. A repeat with the same id is answered with the recorded job.
struct SubmitJob {
    ReplyToken token {};
    Job job;
};

// CancelJob requests the cancellation of one job. A running attempt is stopped first.
struct CancelJob {
    ReplyToken token {};
    JobId job;
};

// WorkerReported is a worker's answer to ContactWorker. It lists every attempt that the worker knows.
struct WorkerReported {
    HostName worker;
    Epoch epoch { 0 }; // of the ContactWorker that it answers
    std::vector<TaskReport> reports;
};

// WorkerUnreachable says that a ContactWorker was not answered. The worker may have received it.
struct WorkerUnreachable {
    HostName worker;
    Epoch epoch { 0 };
};

// BatchTick triggers whatever is due by time. Send it about every 100 ms.
struct BatchTick {
};

using BatchCommand = std::variant<SubmitJob, CancelJob, TransactionResult, RowsRead, WorkerReported, WorkerUnreachable, ChangeHosts, ChangeConfiguration, BatchTick>;

// BatchCommandKind names the alternatives of BatchCommand in the same order.
enum class BatchCommandKind {
    SubmitJob,
    CancelJob,
    TransactionResult,
    RowsRead,
    WorkerReported,
    WorkerUnreachable,
    ChangeHosts,
    ChangeConfiguration,
    Tick,
};

inline constexpr NameTable batchCommandNames { std::to_array<NameEntry<BatchCommandKind>>({
    { BatchCommandKind::SubmitJob, "submit-job" },
    { BatchCommandKind::CancelJob, "cancel-job" },
    { BatchCommandKind::TransactionResult, "transaction-result" },
    { BatchCommandKind::RowsRead, "rows-read" },
    { BatchCommandKind::WorkerReported, "worker-reported" },
    { BatchCommandKind::WorkerUnreachable, "worker-unreachable" },
    { BatchCommandKind::ChangeHosts, "change-hosts" },
    { BatchCommandKind::ChangeConfiguration, "change-configuration" },
    { BatchCommandKind::Tick, "tick" },
}) };
static_assert(batchCommandNames.isWhole(BatchCommandKind::Tick));
static_assert(batchCommandNames.size() == std::variant_size_v<BatchCommand>);

} // namespace dragonflytray
