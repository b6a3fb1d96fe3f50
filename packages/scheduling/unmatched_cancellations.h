#pragma once

// Removal of stored cancellations of jobs that are not stored.
//
// Such a row keeps the promise that a job which was cancelled does not run if its submission takes effect later. Submissions
// are late by seconds, so that the row is removed after a retention of minutes. The retention is measured from when this
// process has seen the row, because the time in the row is from the clock of another host.
//
// Example:
//
//     UnmatchedCancellations unmatchedCancellations({});
//     unmatchedCancellations.observe(jobCache, now);
//     for (WriteStoredRows& write : unmatchedCancellations.removalsDue(nextNumber, now)) { ... }

#include "scheduling/job_cache.h"
#include "scheduling/scheduling_effects.h"
#include <map>

namespace dragonflytray {

// UnmatchedCancellations knows since when each unmatched cancellation has been stored. Not thread-safe.
class UnmatchedCancellations {
public:
    struct Options {
        Duration retention { std::chrono::minutes(5) }; // before a row is removed; far more than a write of the store or a retry of a caller is late
        std::size_t maxRowsPerWrite { 30 }; // of three entries each; the platform accepts at most 100 entries per transaction
    };

    explicit UnmatchedCancellations(Options options);

    // observe() compares the rows that are known with those in the cache. Linear in their number.
    void observe(const JobCache& jobCache, Instant now);

    // removalsDue() returns the transactions that remove old rows, and increments `nextNumber` for each. They change nothing if
    // a job was submitted or cancelled again meanwhile. Without a result they are returned again by the next call.
    std::vector<WriteStoredRows> removalsDue(std::uint64_t& nextNumber, Instant now) const;

private:
    struct KnownRow {
        RowVersion version { 0 };
        Instant seenAt;
    };

    Options options;
    std::map<JobId, KnownRow> rows;
};

} // namespace dragonflytray
