#pragma once

// The commands of `Batch`. Each changes its state; the handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// SubmitJob hands over one job. A repeat with the same id is answered with the job as it stands.
struct SubmitJob {
    ReplyToken token {};
    Job job;
};

// CancelJob asks for the end of one job.
struct CancelJob {
    ReplyToken token {};
    JobId job;
};

// WorkerReported brings one worker's answer to ContactWorker: every attempt that it knows of.
struct WorkerReported {
    HostName worker;
    Epoch epoch { 0 }; // of the contact that it answers
    std::vector<TaskReport> reports;
};

// WorkerUnreachable says that a ContactWorker brought no answer; it may have taken effect.
struct WorkerUnreachable {
    HostName worker;
    Epoch epoch { 0 };
};

// BatchTick lets time pass. Send it about every hundred milliseconds.
struct BatchTick {
};

using BatchCommand = std::variant<SubmitJob, CancelJob, TransactionResult, RowsRead, WorkerReported, WorkerUnreachable, ChangeHosts, ChangeConfiguration, BatchTick>;

// BatchCommandKind names the alternatives of BatchCommand, in their order.
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
