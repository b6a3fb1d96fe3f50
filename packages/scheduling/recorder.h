#pragma once

// Writes the progress of jobs to the store in batches.
//
// At most one transaction per partition is in flight. It contains everything that has accumulated meanwhile, so that the
// rate of calls is bounded however many tasks end.
//
// Example:
//
//     recorder.add(job, isFinal);
//     for (WriteStoredRows& write : recorder.collect(jobExecutions, nextNumber, now)) { ... }

#include "scheduling/job_execution.h"
#include "scheduling/scheduling_commands.h"
#include <array>
#include <memory>
#include <set>
#include <unordered_map>

namespace dragonflytray {

using JobExecutions = std::unordered_map<JobId, std::unique_ptr<JobExecution>>;

// Recorder collects jobs whose progress has changed and composes the writes. Not thread-safe.
class Recorder {
public:
    struct Options {
        Duration commitInterval { std::chrono::milliseconds(70) }; // between two writes of one partition
        Duration finalCommitInterval { std::chrono::milliseconds(8) }; // instead of it, if a job has ended
        Duration retryDelay { std::chrono::milliseconds(100) }; // after a write that failed or had no clear result
        std::size_t maxJobsPerWrite { 45 }; // the platform accepts at most 100 entries per transaction
    };

    explicit Recorder(Options options);

    // add() adds a job whose progress has to be recorded. `isFinal` says that the job has ended, which shortens the delay.
    void add(const JobId& job, bool isFinal);

    // collect() returns the writes that are due and increments `nextNumber` for each.
    std::vector<WriteStoredRows> collect(const JobExecutions& jobExecutions, std::uint64_t& nextNumber, Instant now);

    // owns() returns true if `write` is a write of this recorder that is in flight.
    bool owns(std::uint64_t write) const { return this->inFlight.contains(write); }

    // ForeignWrites are the jobs of a write that other leaders have written meanwhile.
    struct ForeignWrites {
        std::vector<JobId> later; // by a leader with a higher epoch, so that this host no longer leads their cells
        std::vector<JobId> earlier; // by a former leader; its progress has been merged into the execution
    };

    // writeEnded() handles the result of a write. Requires owns(end.write).
    ForeignWrites writeEnded(const RowsWriteEnded& end, JobExecutions& jobExecutions, Instant now);

    // unrecordedJobs() returns the number of jobs with progress that is not recorded yet, including writes in flight.
    std::size_t unrecordedJobs() const;

private:
    struct Partition {
        std::set<JobId> dirty; // jobs to be recorded
        bool isUrgent { false }; // some of them have ended
        std::uint64_t write { 0 }; // number of the write in flight; 0: none
        Instant lastWrite;
        Instant notBefore; // end of the delay after a failed write
    };
    // PendingJob is the progress of one job in a write in flight. The epoch identifies the execution that it belongs to: if
    // this host loses a cell and acquires it again meanwhile, the job's next execution counts generations of its own.
    struct PendingJob {
        JobId job;
        Epoch epoch { 0 };
        std::uint64_t generation { 0 };
    };
    struct Pending {
        std::uint32_t partition { 0 };
        std::vector<PendingJob> jobs;
    };

    bool isDue(const Partition& partition, Instant now) const;
    std::optional<WriteStoredRows> compose(std::uint32_t number, const JobExecutions& jobExecutions, std::uint64_t write);
    void resolveConflict(const StoredRowChange& conflict, JobExecutions& jobExecutions, Instant now, ForeignWrites& foreign);

    Options options;
    std::array<Partition, jobPartitions> partitions;
    std::map<std::uint64_t, Pending> inFlight;
};

} // namespace dragonflytray
