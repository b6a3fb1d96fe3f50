#pragma once

// Workers as the platform lists them, and what they report about their runs.
//
// Example:
//
//     RunningTask running { .id = { task, 3 }, .checkpoint = "c-17", .percent = 100, .load = 2500 };

#include "scheduling/job_types.h"
#include <algorithm>
#include <optional>

namespace dragonflytray {

// FencingToken orders the calls of all leaders to a worker, which does nothing for a lower token than it has seen. A leader that
// learns of a restart sends a higher one, so that calls which were meant for the former incarnation have no effect on the next.
struct FencingToken {
    Epoch epoch { 0 }; // of the leader
    std::uint32_t restarts { 0 }; // of workers, that the leader had seen when it last learnt of the incarnation of this one

    auto operator<=>(const FencingToken&) const = default;
};

// toNumber() returns a token as a number of the same order, as messages carry it. fencingTokenOf() is its inverse.
inline constexpr std::uint32_t fencingTokenRestartBits = 20;
constexpr std::uint64_t toNumber(const FencingToken& token)
{
    constexpr std::uint64_t maxRestarts = (std::uint64_t { 1 } << fencingTokenRestartBits) - 1;
    return (token.epoch << fencingTokenRestartBits) | std::min<std::uint64_t>(token.restarts, maxRestarts);
}
constexpr FencingToken fencingTokenOf(std::uint64_t number)
{
    return { .epoch = number >> fencingTokenRestartBits, .restarts = static_cast<std::uint32_t>(number & ((std::uint64_t { 1 } << fencingTokenRestartBits) - 1)) };
}

// ListedWorker is one entry of the platform's list of workers.
struct ListedWorker {
    WorkerId id;
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    std::vector<std::string> labels;
    std::string rack;
    TaskResources capacity;
    bool isDraining { false };
    Duration coldTime { 0 }; // for which it remains slow after its start, as of when the entry was written
    WallTime startedAt { 0 }; // start of this incarnation; 0: not given

    bool operator==(const ListedWorker&) const = default;
};

// RunningTask is one run that a worker reports as running.
struct RunningTask {
    TaskRunId id;
    std::string checkpoint;
    int percent { 0 }; // of its full speed
    std::int64_t load { 0 }; // long-running task: tail latency in ms; other: millicores in use
};

// EndedRun is one run that ended on a worker, reported until the end is acknowledged.
struct EndedRun {
    std::uint64_t number { 0 }; // counts up from 1 in each incarnation of the worker
    TaskRunId id;
    RunOutcome outcome { RunOutcome::Failed };
    std::string checkpoint;
};

// WorkerCallStatus is the result of a call to a worker.
enum class WorkerCallStatus {
    Ok,
    Fenced, // the worker has answered a leader with a higher epoch
    StaleRun, // a run of the task with this number or a higher one has ended or was stopped there
    TooLate, // the start arrived after its deadline
    NoRoom,
    NoTicket,
    Rejected, // the worker could not understand the call
    Unhealthy, // the worker refused the call and did nothing
    OtherIncarnation, // another incarnation of the worker answered
    NotSent, // not sent, so not executed
    Expired, // not sent, since it waited too long for earlier calls to the worker
    Unclear, // no usable answer: it may have been executed, or may still be
};

inline constexpr NameTable workerCallStatusNames { std::to_array<NameEntry<WorkerCallStatus>>({
    { WorkerCallStatus::Ok, "ok" },
    { WorkerCallStatus::Fenced, "fenced" },
    { WorkerCallStatus::StaleRun, "stale-run" },
    { WorkerCallStatus::TooLate, "too-late" },
    { WorkerCallStatus::NoRoom, "no-room" },
    { WorkerCallStatus::NoTicket, "no-ticket" },
    { WorkerCallStatus::Rejected, "rejected" },
    { WorkerCallStatus::Unhealthy, "unhealthy" },
    { WorkerCallStatus::OtherIncarnation, "other-life" },
    { WorkerCallStatus::NotSent, "not-sent" },
    { WorkerCallStatus::Expired, "expired" },
    { WorkerCallStatus::Unclear, "unclear" },
}) };
static_assert(workerCallStatusNames.isWhole(WorkerCallStatus::Unclear));

// RunLossCause is why a leader takes a run for lost.
enum class RunLossCause {
    LeaseLapsed,
    WorkerRestarted, // another incarnation of the worker has answered
    WorkerReplaced, // another worker has answered at its address
    NotReported, // the worker has answered and no longer has it
    Stopped, // the same after a stop
    NeverBegun, // the same after the deadline of its start, which was not confirmed: the worker rejects that start from now on
};

inline constexpr NameTable runLossCauseNames { std::to_array<NameEntry<RunLossCause>>({
    { RunLossCause::LeaseLapsed, "lease-lapsed" },
    { RunLossCause::WorkerRestarted, "worker-restarted" },
    { RunLossCause::WorkerReplaced, "worker-replaced" },
    { RunLossCause::NotReported, "not-reported" },
    { RunLossCause::Stopped, "stopped" },
    { RunLossCause::NeverBegun, "never-begun" },
}) };
static_assert(runLossCauseNames.isWhole(RunLossCause::NeverBegun));

// isReportedLoss() returns true if the incarnation that had the run has answered this leader without it. Any other loss may be
// known better by a successor, which may have read the end of the run before another incarnation answered, or go on extending
// its lease.
constexpr bool isReportedLoss(RunLossCause cause)
{
    return cause == RunLossCause::NotReported || cause == RunLossCause::Stopped || cause == RunLossCause::NeverBegun;
}

} // namespace dragonflytray
