#pragma once

// What is owed to the store: the progress of jobs that has not been recorded yet.
//
// One transaction a partition is in flight at a time and carries all that has gathered meanwhile, so the
// number of calls stays bounded however many tasks end.
//
// Example:
//
//     recorder.add(job);
//     for (WriteStoredRows& write : recorder.collect(jobExecutions, numbers, now)) { ... }

#include "scheduling/job_execution.h"
#include "scheduling/scheduling_commands.h"
#include <array>
#include <memory>
#include <set>
#include <unordered_map>

namespace dragonflytray {

using JobExecutions = std::unordered_map<JobId, std::unique_ptr<JobExecution>>;

// Recorder gathers and writes progress. Not thread-safe.
class Recorder {
public:
    struct Options {
        Duration commitInterval { std::chrono::milliseconds(70) }; // between two writes of one partition
        Duration finalInterval { std::chrono::milliseconds(8) }; // when a job has reached its end
        Duration retryInterval { std::chrono::milliseconds(100) }; // after a write without effect
        std::size_t jobsInWrite { 45 }; // the platform takes at most 100 entries a transaction
    };

    explicit Recorder(Options options);

    // add() notes that the progress of a job has to be recorded.
    void add(const JobId& job, bool isFinal);

    // collect() is the writes that are due. `nextNumber` is counted up for each.
    std::vector<WriteStoredRows> collect(const JobExecutions& jobExecutions, std::uint64_t& nextNumber, Instant now);

    // owns() says whether `write` is one of this recorder's in flight.
    bool owns(std::uint64_t write) const { return this->inFlight.contains(write); }

    // writeEnded() takes the end of a write. It returns the jobs that a leader with a higher epoch has written.
    std::vector<JobId> writeEnded(const RowsWriteEnded& end, JobExecutions& jobExecutions, Instant now);

    // unrecordedJobs() is the number of jobs with progress that is not recorded.
    std::size_t unrecordedJobs() const;

private:
    struct Partition {
        std::set<JobId> dirty;
        bool isUrgent { false };
        std::uint64_t write { 0 }; // in flight; 0: none
        Instant lastWrite;
        Instant notBefore;
    };
    struct Pending {
        std::uint32_t partition { 0 };
        std::vector<std::pair<JobId, std::uint64_t>> generations;
    };

    bool isDue(const Partition& partition, Instant now) const;
    std::optional<WriteStoredRows> compose(std::uint32_t number, const JobExecutions& jobExecutions, std::uint64_t write);
    void resolveConflict(const StoredRowChange& conflict, JobExecutions& jobExecutions, Instant now, std::vector<JobId>& lost);

    Options options;
    std::array<Partition, jobPartitions> partitions;
    std::map<std::uint64_t, Pending> inFlight;
};

} // namespace dragonflytray
