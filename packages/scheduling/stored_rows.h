#pragma once

// The rows that the scheduler keeps in the platform's table, as typed values. The entry package encodes them.
//
// A job has up to three rows, all in one partition that depends on the job's id alone: the definition, inserted if
// absent when the job is accepted; the progress, written by the leader of the job's cell; and a cancellation request,
// inserted by the entry host that receives it. A cell has one lease row, and its roster of workers in several rows.
//
// Example:
//
//     const StoredRowKey key { StoredRowKind::Progress, job.id.value() };
//     const std::uint32_t partition = partitionOf(key);

#include "admission/admission.h"
#include "scheduling/job_types.h"
#include <optional>
#include <set>
#include <variant>

namespace dragonflytray {

// StoredRowKind is the type of a row.
enum class StoredRowKind {
    Definition,
    Progress,
    Cancellation,
    CellLease,
    WorkerRoster,
    EntryHost,
};

inline constexpr NameTable storedRowKindNames { std::to_array<NameEntry<StoredRowKind>>({
    { StoredRowKind::Definition, "definition" },
    { StoredRowKind::Progress, "progress" },
    { StoredRowKind::Cancellation, "cancellation" },
    { StoredRowKind::CellLease, "cell-lease" },
    { StoredRowKind::WorkerRoster, "worker-roster" },
    { StoredRowKind::EntryHost, "entry-host" },
}) };
static_assert(storedRowKindNames.isWhole(StoredRowKind::EntryHost));

// jobPartitions is the number of partitions over which jobs are distributed. One partition takes 200 transactions per
// second on the users' platform, and each commit contains everything that has accumulated for its partition.
inline constexpr std::uint32_t jobPartitions = 4;

// leasePartition is the partition of the cell leases and rosters, which contains no jobs.
inline constexpr std::uint32_t leasePartition = jobPartitions;

// StoredRowKey identifies one row.
struct StoredRowKey {
    StoredRowKind kind { StoredRowKind::Definition };
    std::string name; // the job's id, the cell's name for a lease, rosterKey() for a part of a roster, or the name of a host

    auto operator<=>(const StoredRowKey&) const = default;
};

// partitionOf() returns the partition of a row. All hosts and all releases must agree on it, since a repeated submission
// at another host has to find the same row.
std::uint32_t partitionOf(const StoredRowKey& key);

// TaskFailures contains the numbers of the failed runs of one task. Numbers rather than a count, because the ends of runs
// can be reported in any order and more than once.
using TaskFailures = std::set<std::uint64_t>;

// TaskCrashes contains the runs of one task under which their worker ended, so that the task may have crashed it.
struct TaskCrashes {
    std::set<std::uint64_t> runs {}; // all of them
    std::set<std::uint64_t> provenRuns {}; // those that CrashVerdict::Proven was passed on
    std::uint64_t settledRun { 0 }; // this run has settled, so that crashes of it and of earlier ones are void; 0: none

    // empty() returns true if nothing has to be stored.
    bool empty() const { return this->runs.empty() && this->settledRun == 0; }

    // settle() voids the crashes up to a run that has settled. merge() adds what another leader has stored.
    void settle(std::uint64_t run);
    void merge(const TaskCrashes& other);

    bool operator==(const TaskCrashes&) const = default;
};

// StepProgress is the recorded progress of one step in one occurrence.
struct StepProgress {
    std::vector<bool> done {}; // by index of the task
    std::map<std::uint32_t, TaskFailures> failures {}; // by index of the task; only tasks with failures
    std::map<std::uint32_t, std::string> checkpoints {}; // by index of the task; of runs that were lost or stopped
    std::map<std::uint32_t, TaskCrashes> crashes {}; // by index of the task, of a gang by that of its first one; only tasks under which a worker has ended

    bool operator==(const StepProgress&) const = default;
};

// JobProgress is the mutable part of an accepted job.
struct JobProgress {
    JobPhase phase { JobPhase::Queued };
    Epoch epoch { 0 }; // of the leader that wrote the row
    std::uint64_t generation { 0 }; // incremented with each change by that leader
    WallTime endedAt { 0 }; // 0 until the phase is final
    std::map<std::uint32_t, StepProgress> stepProgress {}; // by occurrence * number of steps + step; absent: no run has ended

    bool operator==(const JobProgress&) const = default;
};

// CancellationRequest asks the leader of the job's cell to end the job.
struct CancellationRequest {
    WallTime requestedAt { 0 };

    bool operator==(const CancellationRequest&) const = default;
};

// RosterEntry is what a successor has to know of a worker that is not listed.
struct RosterEntry {
    Endpoint endpoint;
    TaskResources capacity;
    std::optional<std::set<TaskId>> possibleTasks {}; // the only ones that may have runs there, if the leader starts no more on the worker; nothing: any may

    std::optional<Duration> maxLease {}; // for which leases there may last from now on, if the leader grants no more; nothing: it may grant more

    WallTime startedAt { 0 }; // of the incarnation that last answered; 0: not known, or possibleTasks is not given
    std::vector<TaskRunId> exposedRuns {}; // which may have crashed that incarnation, should another one answer next

    bool operator==(const RosterEntry&) const = default;
};

// WorkerRoster is one part of the roster of a cell: the workers on which its leader may have started tasks. The leader starts
// tasks on a worker only while the stored roster contains it without RosterEntry::possibleTasks, so that a successor knows where
// runs may be alive without the platform's list, from which living workers can be missing.
struct WorkerRoster {
    std::map<WorkerId, RosterEntry> workers;

    bool operator==(const WorkerRoster&) const = default;
};

// rosterParts is the number of rows of a roster. A change rewrites one row, and every host receives it.
inline constexpr std::uint32_t rosterParts = 16;

// rosterPartOf() returns the part of the roster that a worker belongs to, less than rosterParts.
std::uint32_t rosterPartOf(const WorkerId& worker);

// RosterPart identifies one row of a roster.
struct RosterPart {
    CellName cell;
    std::uint32_t number { 0 }; // less than rosterParts
};

// rosterKey() returns the key of one row of a roster. parseRosterKey() reads it; it returns nothing for other names.
StoredRowKey rosterKey(const RosterPart& part);
std::optional<RosterPart> parseRosterKey(const StoredRowKey& key);

// CellLease names the leader of a cell and contains the leader's last report about the cell.
struct CellLease {
    HostName holder; // empty: the lease was released
    Epoch epoch { 0 }; // incremented with each change of the leader
    std::uint64_t renewalCount { 0 }; // incremented with each write of the lease
    std::int64_t capacityMillicores { 0 }; // of the workers that accept tasks
    std::vector<std::string> labels {}; // labels that at least one worker of the cell has
    std::vector<TaskId> unconfirmed {}; // tasks that may run on `silentWorkers`, or on workers that are not in the roster
    std::vector<WorkerId> silentWorkers {}; // of the roster, as leaders report them that write no RosterEntry::possibleTasks
    std::uint64_t rosterSize { 0 }; // workers in the roster; another number was not read whole
    bool isRosterComplete { false }; // every other worker with runs is in the roster; leaders that know no roster write false
    std::optional<Forecast> forecast {}; // by which hosts refuse jobs that can't succeed; nothing: they refuse none

    bool operator==(const CellLease&) const = default;
};

// EntryHost is what a host says of itself when it starts, so that leaders find hosts that deliver for them. A host that was lost
// leaves its row behind: whether it still answers is for the reader to find out.
struct EntryHost {
    DataCentreName dataCentre;
    Endpoint agent; // where it takes orders to workers; port 0: it takes none
    double linkMegabits { 0 }; // a second
    double processorShare { 0 }; // of a core

    bool operator==(const EntryHost&) const = default;
};

using StoredRow = std::variant<JobDefinition, JobProgress, CancellationRequest, CellLease, WorkerRoster, EntryHost>;

// StoredRowChange is one row as read from the store.
struct StoredRowChange {
    StoredRowKey key;
    RowVersion version { 0 };
    std::optional<StoredRow> value; // nothing: the row was removed, or could not be decoded
};

} // namespace dragonflytray
