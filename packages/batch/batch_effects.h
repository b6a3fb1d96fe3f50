#pragma once

// The effects of `Batch`: the operations that its owner executes, in order.
//
// Example:
//
//     for (BatchEffect& effect : batch.handle(command, now))
//         std::visit([&](auto& value) { this->execute(std::move(value)); }, effect);

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// TaskStart tells a worker to start one attempt. A repeat of the same job and attempt number starts nothing.
struct TaskStart {
    JobId job;
    std::uint32_t attempt { 0 };
    Capacity need;
    Duration declaredRunTime { 0 };
    std::string payload;
    std::string checkpoint;
};

// TaskAttempt names one attempt that a worker has to stop, or whose lease it has to renew.
struct TaskAttempt {
    JobId job;
    std::uint32_t attempt { 0 };
    bool shouldCheckpoint { false }; // before the stop; unused in a renewal
};

// ContactWorker is one message to a worker that renews the leases of running attempts and starts and stops others.
// Answer it exactly once, by WorkerReported or WorkerUnreachable.
struct ContactWorker {
    HostName worker;
    Endpoint endpoint;
    DataCentreName dataCentre;
    Epoch epoch { 0 };
    Duration lease { 0 }; // the worker ends an attempt that is not renewed within it
    std::vector<TaskStart> starts;
    std::vector<TaskAttempt> stops;
    std::vector<TaskAttempt> renewals;
};

// SubmissionStatus is the outcome of a submission or cancellation.
enum class SubmissionStatus {
    Accepted, // recorded in the table
    Repeated, // already recorded; the recorded job is in the reply
    Refused, // not recorded
    Unknown, // may have been recorded; can be repeated with the same id
};

inline constexpr NameTable submissionStatusNames { std::to_array<NameEntry<SubmissionStatus>>({
    { SubmissionStatus::Accepted, "accepted" },
    { SubmissionStatus::Repeated, "repeated" },
    { SubmissionStatus::Refused, "refused" },
    { SubmissionStatus::Unknown, "unknown" },
}) };
static_assert(submissionStatusNames.isWhole(SubmissionStatus::Unknown));

// ReplyToSubmitter answers one submission or cancellation.
struct ReplyToSubmitter {
    ReplyToken token {};
    SubmissionStatus status { SubmissionStatus::Refused };
    RefusalReason reason { RefusalReason::StoreUnavailable }; // meaningful for Refused and Unknown
    Job job;
};

using BatchEffect = std::variant<WriteTransaction, ReadRows, ContactWorker, ReplyToSubmitter>;
using BatchEffects = std::vector<BatchEffect>;

} // namespace dragonflytray
