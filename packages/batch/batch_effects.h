#pragma once

// The effects of `Batch`: what its owner has to carry out, in order.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// TaskStart is one attempt that a worker has to start. Idempotent by job and attempt number.
struct TaskStart {
    JobId job;
    std::uint32_t attempt { 0 };
    Capacity need;
    Duration declaredRunTime { 0 };
    std::string payload;
    std::string checkpoint;
};

// TaskStop is one attempt that a worker has to end.
struct TaskStop {
    JobId job;
    std::uint32_t attempt { 0 };
    bool shouldCheckpoint { false };
};

// ContactWorker renews the lease of every listed attempt and starts and stops others, in one message.
// Answer it with WorkerReported or WorkerUnreachable, exactly once.
struct ContactWorker {
    HostName worker;
    Endpoint endpoint;
    DataCentreName dataCentre;
    Epoch epoch { 0 };
    Duration lease { 0 }; // a worker stops what is not renewed within it
    std::vector<TaskStart> starts;
    std::vector<TaskStop> stops;
    std::vector<TaskStop> renewals;
};

// SubmissionStatus says how a submission or cancellation ended.
enum class SubmissionStatus {
    Accepted, // recorded in the table
    Repeated, // the id was recorded before; the job as it stands follows
    Refused, // surely not recorded
    Unknown, // may have been recorded; repeat with the same id
};

inline constexpr NameTable submissionStatusNames { std::to_array<NameEntry<SubmissionStatus>>({
    { SubmissionStatus::Accepted, "accepted" },
    { SubmissionStatus::Repeated, "repeated" },
    { SubmissionStatus::Refused, "refused" },
    { SubmissionStatus::Unknown, "unknown" },
}) };
static_assert(submissionStatusNames.isWhole(SubmissionStatus::Unknown));

// ReplyToSubmitter ends one submission or cancellation.
struct ReplyToSubmitter {
    ReplyToken token {};
    SubmissionStatus status { SubmissionStatus::Refused };
    RefusalReason reason { RefusalReason::StoreUnavailable }; // of Refused and Unknown
    Job job;
};

using BatchEffect = std::variant<WriteTransaction, ReadRows, ContactWorker, ReplyToSubmitter>;
using BatchEffects = std::vector<BatchEffect>;

} // namespace dragonflytray
