#pragma once

// The workers of the cells that this host leads: what they have room for, which runs occupy them, and until
// when a run on a worker that does not answer has to be believed alive.
//
// Example:
//
//     Fleet fleet({ .lease = std::chrono::milliseconds(4500) });
//     fleet.updateList(workersListed, now);
//     FleetWorker* worker = fleet.find(WorkerId("i-7f3a91c2"));

#include "scheduling/scheduling_commands.h"
#include <deque>
#include <unordered_map>

namespace dragonflytray {

// RunAllocation is what one run occupies on its worker.
struct RunAllocation {
    TaskResources need; // as counted against the worker's capacity
    bool isBestEffort { false };
    bool isServing { false }; // long-running, with a target of its own
    std::int64_t bestEffortMillicores { 0 }; // wanted by a best-effort run
    bool isLongRunning { false };
    bool isEvictable { false }; // may be stopped for a more urgent task
    bool isCheckpointing { false };
    int priority { 0 }; // of its queue
    bool isStopping { false };
    bool isRoomReserved { false }; // its room is for the task that it was stopped for
    bool isStopConfirmed { false }; // the worker has answered the stop, and rejects the run from now on
    Instant stopRequestedAt {};
    Instant firstConfirmedAt {}; // when it was first known to run
    Instant lastConfirmedAt {}; // when a start was answered or a report named it
    Duration latencyTarget { 0 };
    ImageName image {};
    std::uint64_t lastReportNumber { 0 }; // number of the last report that named it
    std::int64_t load { 0 }; // as last reported
    double minHeadroomAlone { 0 }; // of a serving run: the least headroom of late without what best-effort tasks took; 0: not measured
    int speedPercent { 100 }; // percent that was last asked for
};

// UnacknowledgedEnd is an end that is handled, and acknowledged once the job's progress is recorded.
struct UnacknowledgedEnd {
    std::uint64_t number { 0 };
    JobId job;
    std::uint64_t generation { 0 };
    Instant handledAt;
};

// BestEffortSample is what one report said about serving and best-effort runs, for comparison with the next.
struct BestEffortSample {
    Instant at;
    std::map<ImageName, double> exposures {}; // by best-effort image
    std::map<TaskRunId, double> headrooms {}; // of serving runs: target / tail
};

// ServingHeadroom is the least headroom among the serving runs of one image on a worker.
struct ServingHeadroom {
    std::size_t image { 0 }; // as BestEffortControl numbers them
    double headroom { 0 }; // 0: not measured yet
    double minHeadroomAlone { 0 }; // the worst of late, without what best-effort tasks took; 0: not measured yet
    double predictedLoss { 0 }; // that the best-effort tasks on the worker are predicted to take
    std::uint32_t runs { 0 };
};

// FleetWorker is one worker. Times are this host's.
struct FleetWorker {
    ListedWorker entry;
    CellName cell;
    bool isListed { false };
    bool isFenced { false }; // has answered under the current epoch
    bool isPollInFlight { false }; // a poll is in flight
    Instant nextPollAt;
    std::optional<std::int64_t> clock; // ms on the worker's steady clock, at clockReadAt
    Instant clockReadAt;
    Instant leaseEnd; // every lease that was granted has surely lapsed then
    Instant leaseEndBeforePoll; // leaseEnd without what the poll in flight grants
    Instant lastAnswer;
    bool isSuspect { false }; // the last poll had no answer
    Instant cooldownUntil; // takes no new tasks until then
    std::uint32_t consecutiveFailures { 0 };
    std::uint64_t reportCount { 0 }; // handled so far
    std::uint64_t lastHandledEnd { 0 }; // ends up to this number are handled
    std::uint64_t acknowledged { 0 }; // ends up to this number are recorded
    std::deque<UnacknowledgedEnd> unacknowledgedEnds; // handled and not yet recorded
    TaskResources used;
    std::int64_t bestEffortMillicores { 0 };
    std::uint32_t servingRuns { 0 };
    double servingUsage { 0.5 }; // share of their reserved cores that serving tasks are seen to use
    std::int64_t servingMillicores { 0 }; // reserved by serving runs
    Instant observedAt; // when the last report was handled
    BestEffortSample bestEffortSample;
    Instant targetMissedSince; // since when some serving run misses its target; zero: none does
    std::vector<ServingHeadroom> servingHeadrooms; // as of the last report
    std::map<TaskRunId, RunAllocation> runs;

    // availableResources() is what is left of the capacity.
    TaskResources availableResources() const;

    // acceptsTasks() says whether new tasks may be placed on the worker.
    bool acceptsTasks(Instant now) const;

    // deadlineAt() is the end of a lease from `now` on the worker's clock; nothing while it is unknown.
    std::optional<std::int64_t> deadlineAt(Instant now, Duration lease) const;
};

// Fleet holds the workers. Not thread-safe.
class Fleet {
public:
    struct Options {
        Duration lease { std::chrono::milliseconds(4500) }; // granted with each poll and start
        Duration clockMargin { std::chrono::milliseconds(300) }; // on top of the drift below
        double maxClockDrift { 0.02 }; // a worker's clock may be this much slow, says the platform
    };

    // `cellOf` gives the cell of each data centre.
    Fleet(Options options, std::map<DataCentreName, CellName> cellOf);

    // list() takes changed entries of the list.
    void updateList(const WorkersListed& change);

    // find() is the worker, or null. Constant time.
    FleetWorker* find(const WorkerId& worker);

    // beginEpoch() forgets what was known of the workers of a cell under an earlier leader.
    void beginEpoch(const CellName& cell, Instant now);

    // allocate() counts a run against its worker, release() gives its room back.
    void allocate(FleetWorker& worker, const TaskRunId& run, RunAllocation allocation);
    void release(FleetWorker& worker, const TaskRunId& run);

    // recordLease() notes that a lease from `now` may take effect on the worker, whatever becomes of the poll in flight.
    void recordLease(FleetWorker& worker, Instant now);

    // recordPollLease() notes a lease from `now` that takes effect unless the poll that carries it is never sent.
    void recordPollLease(FleetWorker& worker, Instant now);

    // drop() removes a worker without runs that is no longer listed.
    void remove(const WorkerId& worker);

    // group() is the workers of a cell for a service, in a stable order. Constant time but after a change of the list.
    const std::vector<FleetWorker*>& workersOf(const CellName& cell, const ServiceName& service);

    // all() is every worker known, in a stable order.
    std::map<WorkerId, FleetWorker>& all() { return this->workers; }
    const std::map<WorkerId, FleetWorker>& all() const { return this->workers; }

    Duration lease() const { return this->options.lease; }

private:
    void regroup();
    Instant latestLeaseEnd(Instant now) const;

    Options options;
    std::map<DataCentreName, CellName> cellOf;
    std::map<WorkerId, FleetWorker> workers;
    std::map<CellName, std::map<ServiceName, std::vector<FleetWorker*>>> groups;
    bool isRegroupDue { false };
};

} // namespace dragonflytray
