#pragma once

// The replica of stored jobs that every entry host follows.
//
// Example:
//
//     JobCache jobCache;
//     jobCache.apply(change);
//     const JobRecord* record = jobCache.find(JobId("5c0e7a21d94b36f8"));

#include "scheduling/stored_rows.h"
#include <unordered_map>

namespace dragonflytray {

// JobRecord is what is known of one job from the store.
struct JobRecord {
    JobDefinition definition;
    RowVersion definitionVersion { 0 }; // 0: the definition is not known yet
    JobProgress progress;
    RowVersion progressVersion { 0 }; // 0: nothing is recorded
    RowVersion cancellationVersion { 0 }; // 0: no request to cancel
    double work { 0 }; // of the definition, as workOf() has it

    // phase() is where the job stands for its caller.
    JobPhase phase() const;

    // isDefined() says whether the job is known to be accepted.
    bool isDefined() const { return this->definitionVersion > 0; }
};

// JobCache holds the jobs that the store keeps. Not thread-safe.
class JobCache {
public:
    // apply() takes one row into the cache; rows older than what is known change nothing. It returns the
    // job's record, or null for a row of another kind, and for a job that has left the cache.
    JobRecord* apply(const StoredRowChange& change);

    // find() is the record of `job`, or null. Constant time.
    JobRecord* find(const JobId& job);
    const JobRecord* find(const JobId& job) const;

    // countPending() is the number of accepted jobs of a queue of which no task has started.
    std::uint64_t countPending(const std::string& host, const std::string& pathPrefix) const;

    // outstandingWork() is the work left in the cell in core milliseconds, by the submitters' estimates.
    double outstandingWork(const CellName& cell) const;

    // size() is the number of jobs in the cache.
    std::size_t size() const { return this->records.size(); }

    // all() is every record, for a walk over the whole cache.
    const std::unordered_map<JobId, JobRecord>& all() const { return this->records; }

private:
    // Tally is what a record adds to the sums of its queue and cell.
    struct Tally {
        bool isPending { false };
        double work { 0 };

        bool operator==(const Tally&) const = default;
    };

    static Tally tallyOf(const JobRecord& record);
    void addTally(const JobRecord& record, const Tally& tally, double sign);
    void applyValue(JobRecord& record, const StoredRowChange& change);

    std::unordered_map<JobId, JobRecord> records;
    std::map<std::pair<std::string, std::string>, double> pending; // by host and path prefix
    std::map<CellName, double> outstanding;
};

// workOf() is the work of a job in core milliseconds, by the submitter's estimates.
double workOf(const JobDefinition& job);

} // namespace dragonflytray
