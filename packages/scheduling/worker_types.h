#pragma once

// Workers as they list themselves, and what they report about their runs.

#include "scheduling/job_types.h"
#include <optional>

namespace dragonflytray {

// ListedWorker is one whole entry of the platform's list of workers.
struct ListedWorker {
    WorkerId id;
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    std::vector<std::string> labels;
    std::string rack;
    TaskResources capacity;
    bool isDraining { false };
    WallTime startedAt { 0 }; // start of this incarnation; 0: not told

    bool operator==(const ListedWorker&) const = default;
};

// RunningTask is one run that a worker has.
struct RunningTask {
    TaskRunId id;
    std::string checkpoint;
    int percent { 0 }; // share of its speed at which it works
    std::int64_t load { 0 }; // long-running tasks: tail latency in ms; others: millicores in use
};

// EndedRun is one run that ended on a worker.
struct EndedRun {
    std::uint64_t number { 0 }; // counts from 1 in each incarnation of the worker
    TaskRunId id;
    RunOutcome outcome { RunOutcome::Failed };
    std::string checkpoint;
};

// WorkerCallStatus says what became of a call to a worker.
enum class WorkerCallStatus {
    Ok,
    Fenced, // a leader with a higher epoch has been there
    StaleRun, // the run number is not above one that ended or was stopped there
    TooLate, // the start came after its deadline
    NoRoom,
    NoTicket,
    Rejected, // malformed for the worker
    Unhealthy, // the worker did nothing
    OtherIncarnation, // another incarnation answered
    NotSent, // surely not executed
    Unclear, // may have been executed, or may yet be
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
    { WorkerCallStatus::Unclear, "unclear" },
}) };
static_assert(workerCallStatusNames.isWhole(WorkerCallStatus::Unclear));

} // namespace dragonflytray
