#pragma once

// The replica of the stored jobs that every entry host keeps by applying the changes of the store in order.
//
// Example:
//
//     JobCache jobCache;
//     jobCache.apply(change);
//     const JobRecord* record = jobCache.find(JobId("5c0e7a21d94b36f8"));

#include "scheduling/stored_rows.h"
#include <set>
#include <unordered_map>

namespace dragonflytray {

// JobRecord contains the rows of one job that have been read. The rows can arrive in any order.
struct JobRecord {
    JobDefinition definition;
    RowVersion definitionVersion { 0 }; // 0: the definition has not been read
    JobProgress progress;
    RowVersion progressVersion { 0 }; // 0: no progress has been recorded
    RowVersion cancellationVersion { 0 }; // 0: cancellation has not been requested
    double work { 0 }; // estimatedWorkOf() the definition

    // phase() returns the phase to report to callers: a job counts as cancelled from the request on.
    JobPhase phase() const;

    // isDefined() returns true if the definition has been read, so that the job is known to be accepted.
    bool isDefined() const { return this->definitionVersion > 0; }

    // isUnmatchedCancellation() returns true if cancellation has been requested of a job that is not stored.
    bool isUnmatchedCancellation() const { return !this->isDefined() && this->cancellationVersion > 0; }
};

// JobCache contains a copy of every job in the store. Not thread-safe.
class JobCache {
public:
    // apply() applies one row. A row that is older than the cached one changes nothing. Removal of the definition removes
    // the job, and removal of an unmatched cancellation its record. It returns the job's record, or null if the row was removed
    // or is a cell lease.
    JobRecord* apply(const StoredRowChange& change);

    // retainListed() removes the jobs and unmatched cancellations that `rows`, a scan of the whole table as of `revision`, does
    // not contain, since their removal may be in the history that the store has dropped. It returns the removed jobs. Linear
    // in both.
    std::vector<JobId> retainListed(const std::vector<StoredRowChange>& rows, RowVersion revision);

    // find() returns the record of `job`, or null. The pointer is valid until the job is removed. Constant time.
    JobRecord* find(const JobId& job);
    const JobRecord* find(const JobId& job) const;

    // countPending() returns the number of accepted jobs of a queue of which no task has started. Logarithmic in the
    // number of queues.
    std::uint64_t countPending(const std::string& host, const std::string& pathPrefix) const;

    // outstandingWork() returns the estimated work of the jobs in the cell that have not ended, in core milliseconds.
    // Tasks that are already done still count.
    double outstandingWork(const CellName& cell) const;

    // unmatchedCancellations() returns the jobs with an unmatched cancellation.
    const std::set<JobId>& unmatchedCancellations() const { return this->unmatched; }

    // size() returns the number of cached jobs.
    std::size_t size() const { return this->records.size(); }

    // all() returns all records by the id of the job.
    const std::unordered_map<JobId, JobRecord>& all() const { return this->records; }

private:
    // Contribution is what a record adds to the totals of its queue and cell.
    struct Contribution {
        bool isPending { false };
        double work { 0 };

        bool operator==(const Contribution&) const = default;
    };

    static Contribution contributionOf(const JobRecord& record);
    void addContribution(const JobRecord& record, const Contribution& contribution, double sign);
    void applyValue(JobRecord& record, const StoredRowChange& change);
    void applyRemoval(const StoredRowChange& change);

    std::unordered_map<JobId, JobRecord> records;
    std::map<std::pair<std::string, std::string>, double> pendingCounts; // by host and path prefix
    std::map<CellName, double> outstandingWorkByCell; // core milliseconds
    std::set<JobId> unmatched; // jobs with an unmatched cancellation
};

// estimatedWorkOf() returns the work of a whole job in core milliseconds, according to the submitter's estimates.
double estimatedWorkOf(const JobDefinition& job);

} // namespace dragonflytray
