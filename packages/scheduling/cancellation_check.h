#pragma once

// Finds cancellations of running jobs while the change feed is late.
//
// The cancellation rows of many jobs are read at once by a transaction that requires them to be absent and writes nothing. If
// it commits, none of the jobs was cancelled before it was sent; a conflict contains the rows of those that were. While the
// feed is recent, nothing is sent.
//
// Example:
//
//     CancellationCheck check({});
//     if (check.isDue(viewedAt, now))
//         for (WriteStoredRows& write : check.collect(runningJobs, viewedAt, nextNumber, now)) { ... }
//     const CancellationCheckResult result = check.writeEnded(end, now);

#include "scheduling/scheduling_commands.h"
#include <array>
#include <map>
#include <span>

namespace dragonflytray {

// CancellationCheckResult is what the answer to one transaction says.
struct CancellationCheckResult {
    std::size_t jobs { 0 }; // that were asked about
    Duration answerTime { 0 };
    std::vector<StoredRowChange> cancellations; // rows of the jobs that are cancelled
};

// CancellationCheck decides when the cancellations of which jobs are read. It is pure. Not thread-safe.
class CancellationCheck {
public:
    struct Options {
        Duration maxAge { std::chrono::seconds(1) }; // of what is known about the cancellation of a job with runs, before it is read
        Duration interval { std::chrono::milliseconds(200) }; // between two collections, so that jobs gather
        Duration repeatInterval { std::chrono::milliseconds(500) }; // after which a job is asked for again if there is no answer yet
        Duration retryDelay { std::chrono::milliseconds(300) }; // of a partition that did not answer
        std::size_t maxJobsPerWrite { 100 }; // the platform accepts at most 100 entries per transaction
    };

    explicit CancellationCheck(Options options);

    // isDue() says whether collect() may have something to send. `viewedAt` is a time before which every acknowledged
    // cancellation is known.
    bool isDue(Instant viewedAt, Instant now) const { return now >= viewedAt + this->options.maxAge && now >= this->nextCollection; }

    // collect() returns the transactions that read the cancellations of those `jobs` of which too little is known, and
    // increments `nextNumber` for each. A partition that does not answer gets one at a time. Linear in `jobs`.
    std::vector<WriteStoredRows> collect(std::span<const JobId> jobs, Instant viewedAt, std::uint64_t& nextNumber, Instant now);

    // owns() says whether `write` is a transaction of this check that is in flight.
    bool owns(std::uint64_t write) const { return this->inFlight.contains(write); }

    // writeEnded() handles the result of a transaction. Requires owns(end.write).
    CancellationCheckResult writeEnded(const RowsWriteEnded& end, Instant now);

private:
    struct Partition {
        std::size_t inFlight { 0 }; // transactions
        Instant answeredAt; // when the last transaction that was answered was sent
        bool isFailing { false }; // a later one was not answered
        Instant notBefore; // end of the delay after a failure
    };
    // JobCheck is what is known of one running job.
    struct JobCheck {
        Instant sentAt; // of the last transaction
        Instant checkedAt; // when the last transaction that was answered was sent
    };
    struct Sent {
        std::uint32_t partition { 0 };
        std::vector<JobId> jobs;
        Instant sentAt;
    };

    bool isDue(const JobCheck& job, Instant viewedAt, Instant now) const;
    WriteStoredRows compose(std::uint32_t partition, std::span<const JobId> jobs, std::uint64_t number, Instant now);
    static bool maySend(const Partition& partition, Instant now);

    Options options;
    std::array<Partition, jobPartitions> partitions;
    std::map<std::uint64_t, Sent> inFlight; // by number of the write
    std::map<JobId, JobCheck> jobChecks; // of running jobs
    Instant nextCollection;
};

} // namespace dragonflytray
