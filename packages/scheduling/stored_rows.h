#pragma once

// What the scheduler keeps in the platform's table, as typed rows. The encoding is the adapter's.
//
// A job has up to three rows in one partition that its id alone determines: the definition, inserted if
// absent when the job is accepted; the progress, written by the leader of the job's cell; a request to
// cancel, inserted by whichever host takes it. A cell has one lease row.

#include "scheduling/job_types.h"
#include <optional>
#include <set>
#include <variant>

namespace dragonflytray {

// StoredRowKind is the kind of a row.
enum class StoredRowKind {
    Definition,
    Progress,
    Cancellation,
    CellLease,
};

inline constexpr NameTable storedRowKindNames { std::to_array<NameEntry<StoredRowKind>>({
    { StoredRowKind::Definition, "definition" },
    { StoredRowKind::Progress, "progress" },
    { StoredRowKind::Cancellation, "cancellation" },
    { StoredRowKind::CellLease, "cell-lease" },
}) };
static_assert(storedRowKindNames.isWhole(StoredRowKind::CellLease));

// The number of partitions over which jobs are spread. One takes 200 transactions a second on the users'
// platform, and a commit carries all that has gathered for its partition.
inline constexpr std::uint32_t jobPartitions = 4;

// The partition of cell leases, apart from those of jobs.
inline constexpr std::uint32_t leasePartition = jobPartitions;

// StoredRowKey names one row.
struct StoredRowKey {
    StoredRowKind kind { StoredRowKind::Definition };
    std::string name; // id of the job, or name of the cell

    auto operator<=>(const StoredRowKey&) const = default;
};

// partitionOf() is the partition of a row; the same on every host and for every release.
std::uint32_t partitionOf(const StoredRowKey& key);

// TaskFailures is the failed runs of one task, each by its number: ends may be reported in any order.
using TaskFailures = std::set<std::uint64_t>;

// StepProgress is what is recorded of one step in one occurrence.
struct StepProgress {
    std::vector<bool> done {}; // by task
    std::map<std::uint32_t, TaskFailures> failures {}; // by task; tasks without are left out
    std::map<std::uint32_t, std::string> checkpoints {}; // by task, of runs that were lost or stopped

    bool operator==(const StepProgress&) const = default;
};

// JobProgress is the part of an accepted job that changes.
struct JobProgress {
    JobPhase phase { JobPhase::Queued };
    Epoch epoch { 0 }; // of the leader that wrote it
    std::uint64_t generation { 0 }; // grows with each change by that leader
    WallTime endedAt { 0 }; // once final
    std::map<std::uint32_t, StepProgress> stepProgress {}; // by occurrence * steps + step; absent: nothing has ended

    bool operator==(const JobProgress&) const = default;
};

// CancellationRequest marks a job for its end.
struct CancellationRequest {
    WallTime requestedAt { 0 };

    bool operator==(const CancellationRequest&) const = default;
};

// CellLease names the leader of a cell and what it last said about its cell.
struct CellLease {
    HostName holder; // empty: given up
    Epoch epoch { 0 };
    std::uint64_t renewalCount { 0 }; // grows with each renewal
    std::int64_t capacityMillicores { 0 }; // of the workers that take tasks
    std::vector<std::string> labels {}; // that some worker of the cell carries
    std::vector<TaskId> unconfirmed {}; // may run on workers that do not answer or are not listed

    bool operator==(const CellLease&) const = default;
};

using StoredRow = std::variant<JobDefinition, JobProgress, CancellationRequest, CellLease>;

// StoredRowChange is one row as read. No value: the row was removed or can't be read.
struct StoredRowChange {
    StoredRowKey key;
    RowVersion version { 0 };
    std::optional<StoredRow> value;
};

} // namespace dragonflytray
