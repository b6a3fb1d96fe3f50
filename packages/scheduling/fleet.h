#pragma once

// The workers of the cells that this host leads: their capacity, the runs that occupy it, and the end of the leases
// that were granted to them. A run on a worker that does not answer counts as alive until that end.
//
// Example:
//
//     Fleet fleet({ .lease = std::chrono::milliseconds(4500) }, cellOf);
//     fleet.updateList(workersListed, now);
//     FleetWorker* worker = fleet.find(WorkerId("i-7f3a91c2"));

#include "scheduling/scheduling_commands.h"
#include "worker_health/worker_health.h"
#include <deque>
#include <unordered_map>

namespace dragonflytray {

// RunAllocation is one run on a worker: the resources it occupies there and what is known of it.
struct RunAllocation {
    TaskResources need; // counted against the worker's capacity
    bool isBestEffort { false };
    bool isServing { false }; // long-running, with a latency target
    std::int64_t bestEffortMillicores { 0 }; // that a best-effort run would use at full speed; not counted in `need`
    bool isLongRunning { false };
    bool isEvictable { false }; // may be stopped for a more urgent task
    bool isCheckpointing { false };
    bool isGang { false };
    bool isSettled { false }; // as CrashSuspects defines it
    int priority { 0 }; // of its queue; 0 comes first
    bool isStopping { false }; // a stop was requested
    bool isRoomReserved { false }; // what its stop frees is reserved for a task that evicted runs on the worker
    bool isStopConfirmed { false }; // the worker has answered the stop and will not start the run any more
    Instant stopRequestedAt {};
    Instant returnedAt {}; // when a long-running run began after an absence; zero: it did not
    Instant sentAt {}; // when its start was decided; zero: a former leader has started it
    std::optional<std::int64_t> startDeadline {}; // StartTask::deadline; nothing: a former leader has started it
    Instant firstConfirmedAt {}; // when it was first known to run; zero: not yet
    Instant lastConfirmedAt {}; // when a start was last answered or a report last named it
    Duration latencyTarget { 0 };
    ImageName image {};
    std::uint64_t lastReportNumber { 0 }; // number of the last report that named it; 0: none has, so that an incarnation which has not answered yet may have begun it
    std::int64_t load { 0 }; // as last reported; see RunningTask::load
    double minHeadroomAlone { 0 }; // of a serving run: the least recent headroom without what best-effort tasks took; 0: not measured
    int speedPercent { 100 }; // last requested
    ObservedRun observedRun { 0 }; // by which WorkerHealth knows it
    bool isRunTimeWhole { false }; // it does all of its task's work at full speed, so that its run time is that of the task
};

// UnacknowledgedEnd is an end of a run that has been handled. It is acknowledged to the worker once the store holds
// `generation` of the job's progress.
struct UnacknowledgedEnd {
    std::uint64_t number { 0 }; // EndedRun::number
    TaskId task;
    std::uint64_t generation { 0 };
    Instant handledAt;
};

// Enrolment says whether the stored roster allows tasks to be started on a worker.
enum class Enrolment {
    None, // the roster does not contain the worker, or names the only tasks that may run there
    Requested, // a report that enrols it was sent
    Stored,
};

inline constexpr NameTable enrolmentNames { std::to_array<NameEntry<Enrolment>>({
    { Enrolment::None, "none" },
    { Enrolment::Requested, "requested" },
    { Enrolment::Stored, "stored" },
}) };
static_assert(enrolmentNames.isWhole(Enrolment::Stored));

// BestEffortSample is what one report said about serving and best-effort runs. BestEffortControl learns from the
// difference between two.
struct BestEffortSample {
    Instant at;
    std::map<ImageName, double> exposures {}; // use of cores by best-effort image; 1: one full task
    std::map<TaskRunId, double> headrooms {}; // of serving runs: latency target / tail latency
};

// ServingHeadroom is the least headroom among the serving runs of one image on a worker.
struct ServingHeadroom {
    std::size_t image { 0 }; // BestEffortControl::imageNumber()
    double headroom { 0 }; // latency target / tail latency; 0: not measured yet
    double minHeadroomAlone { 0 }; // the least recent headroom without what best-effort tasks took; 0: not measured yet
    double predictedLoss { 0 }; // of headroom, to the best-effort tasks on the worker
    std::uint32_t runs { 0 };
};

// FleetWorker is one worker as its cell's leader knows it. Instants are on this host's clock.
struct FleetWorker {
    ListedWorker entry;
    CellName cell;
    bool isListed { false };
    Instant listedAt; // when its entry was last read
    Instant unlistedSince; // when it was last seen to be missing from the list; zero: never
    Instant coldUntil; // while it is slow after its start
    bool isEvacuated { false }; // its data centre is evacuated, as of the current placement pass
    double fillShare { 1 }; // of its capacity, up to which tasks are started on it, as of the current placement pass
    double healthShare { 1 }; // of its capacity, up to which WorkerHealth lets tasks be started on it, as of the current placement pass
    bool mayProbe { false }; // the same, whether one task may be started beyond that
    Instant drainingSince; // when it began to drain, at the latest; the least value: before it was first seen here; zero: it does not drain
    bool isFenced { false }; // has answered under the current epoch, so it rejects former leaders
    bool isInherited { false }; // the roster of the former leader contains it
    bool mayHaveUnknownRuns { false }; // a former leader may have started tasks on it that this leader has not heard of
    std::optional<Duration> reportedLease; // RosterEntry::maxLease of a report; no lease is granted while it is set
    std::uint64_t leaseReport { 0 }; // first report without it, which takes it back once it is stored; 0: none
    Instant formerLeaseEnd; // by which every lease that a former leader granted has expired; zero: there was none
    Enrolment enrolment { Enrolment::None };
    std::uint64_t enrolmentReport { 0 }; // first report that enrols it, if Requested
    bool wasClosed { false }; // after it answered, a report of this leader named the only tasks that may run there, or dropped it from the roster
    std::uint32_t restarts { 0 }; // FencingToken::restarts of the calls to it
    Instant otherClockLeaseEnd; // by which leases until a time on the clock of a former incarnation have expired; Instant::max(): calls with such a lease may still take effect
    WallTime answeredStartedAt { 0 }; // start of the incarnation that last answered; 0: none. The list may show another one
    bool isPollInFlight { false };
    Endpoint polledEndpoint; // of the last poll
    Instant nextPollAt;
    std::optional<std::int64_t> clock; // ms on the worker's steady clock at clockReadAt; nothing before the first answer
    Instant clockReadAt;
    Instant leaseEnd; // by which every granted lease has expired on the worker
    Instant unknownIncarnationLeaseEnd; // leaseEnd of runs that no report has named: an incarnation that has not answered yet measures it on another clock
    Instant leaseEndBeforePoll; // leaseEnd without the lease that the poll in flight grants
    Instant acceptsUntil; // by then the lease that an answered poll granted is too short for new runs
    Instant acceptsUntilAfterPoll; // acceptsUntil once the poll in flight is answered; zero: it grants no lease
    Instant lastAnswer;
    Instant answeredPollSentAt; // when the poll of the last answer was sent
    bool isSuspect { false }; // the last poll had no answer
    Instant silentSince; // when the first poll without an answer ended
    Instant contactLostAt; // when the connection of the first poll without an answer broke; zero: it timed out
    Duration polledWait { 0 }; // for which the worker may delay its answer to the last poll
    Instant cooldownUntil; // no task is placed on the worker before
    std::uint32_t consecutiveFailures { 0 }; // failed runs since the last one that succeeded
    Instant lastFailure; // when the last failed run was reported
    std::uint64_t reportCount { 0 }; // reports handled so far
    std::uint64_t lastHandledEnd { 0 }; // ends up to this number are handled
    std::uint64_t acknowledged { 0 }; // ends up to this number are recorded in the store
    std::uint64_t polledAcknowledged { 0 }; // the number that the last poll acknowledged; 0: none
    std::uint64_t forgottenEnd { 0 }; // the highest number that an answered poll has acknowledged
    std::deque<UnacknowledgedEnd> unacknowledgedEnds; // handled but not yet recorded, in order
    TaskResources used; // sum of the needs of the runs
    std::int64_t bestEffortMillicores { 0 };
    std::uint32_t servingRuns { 0 }; // number of them
    double servingUsage { 0.5 }; // share of their reserved cores that serving runs are estimated to use
    std::int64_t servingMillicores { 0 }; // reserved by serving runs
    Instant observedAt; // when the last report was handled
    BestEffortSample bestEffortSample;
    Instant targetMissedSince; // since when some serving run has missed its target beside best-effort runs; zero: all have kept theirs by the margin at which throttling ends
    std::vector<ServingHeadroom> servingHeadrooms; // as of the last report
    std::map<TaskRunId, RunAllocation> runs;

    // mayGetTasks() says whether tasks may be started on the worker soon, or may have been by a former leader: it is listed,
    // does not drain and has answered, at the latest `timeout` ago if the last poll had no answer.
    bool mayGetTasks(Instant now, Duration timeout) const;

    // hasCallsOfFormerIncarnation() says whether calls that were meant for a former incarnation may still take effect: no poll with
    // the token that fences them has been answered.
    bool hasCallsOfFormerIncarnation() const { return this->otherClockLeaseEnd == Instant::max(); }

    // isClockReset() says whether `reading`, taken after `time`, shows that the clock of the worker has started anew.
    bool isClockReset(std::int64_t reading, Instant time, Duration margin, double maxDrift) const;

    // isForgettable() says whether a worker that is not listed can have no runs and no lease any more.
    bool isForgettable(Instant now) const;

    // availableResources() is the capacity that no run occupies.
    TaskResources availableResources() const;

    // leaseEndOf() is the time by which every lease on a run has expired on the worker.
    Instant leaseEndOf(const RunAllocation& run) const { return run.lastReportNumber == 0 ? std::max(this->leaseEnd, this->unknownIncarnationLeaseEnd) : this->leaseEnd; }

    // hasNeverBegun() says whether a report that was made at `clock` on the worker's clock, and names neither the run nor its end,
    // proves that the worker has not carried out its start and will not do so.
    static bool hasNeverBegun(const RunAllocation& run, std::int64_t clock) { return run.lastReportNumber == 0 && run.firstConfirmedAt == Instant() && run.startDeadline && clock > *run.startDeadline; }

    // isRestartListed() says whether the list, read since the poll that was last answered was sent, shows another incarnation
    // than that answer. What is known of the runs, the ends and the clock of the worker does not hold for it.
    bool isRestartListed() const;

    // acceptsTasks() says whether new tasks may be placed on the worker. Their lease is that of the worker, which polls extend.
    bool acceptsTasks(Instant now) const;

    // hasFillRoom() says whether it uses less of its capacity than it may, while its data centre fills up after an evacuation, and by
    // its health unless the task is a probe.
    bool hasFillRoom(bool isProbe) const;

    // deadlineAt() is the end of a lease granted at `now`, in ms on the worker's clock; nothing while the clock is unknown.
    std::optional<std::int64_t> deadlineAt(Instant now, Duration lease) const;
};

// Fleet holds the workers by id and, for placement, by cell and service. Pointers stay valid until remove() is called
// for their worker. Not thread-safe.
class Fleet {
public:
    struct Options {
        Duration lease { std::chrono::milliseconds(4500) }; // granted with each poll
        Duration maxLease { std::chrono::milliseconds(6000) }; // to which a worker shortens any lease, on its own clock
        double maxUsedLease { 2.0 / 3 }; // share of a worker's lease that may have passed when a task is started; the rest has to cover a lost poll
        Duration clockMargin { std::chrono::milliseconds(300) }; // added to a lease on top of the drift
        double maxClockDrift { 0.02 }; // share by which a worker's clock may run slow, as the platform states
    };

    // `cellOf` maps each data centre to its cell.
    Fleet(Options options, std::map<DataCentreName, CellName> cellOf);

    // updateList() applies changes of the list, received at `now`. A worker that is no longer listed stays until remove().
    void updateList(const WorkersListed& change, Instant now);

    // addInherited() adds a worker from the roster of the former leader, whose leases end by `formerLeaseEnd`. Where the list
    // shows the worker, its entry is kept.
    FleetWorker& addInherited(const CellName& cell, const WorkerId& id, const RosterEntry& entry, Instant formerLeaseEnd);

    // find() is the worker, or null. Logarithmic in the workers.
    FleetWorker* find(const WorkerId& worker);

    // beginEpoch() resets the workers of a cell to what the list says and makes them due for a poll, at the beginning of
    // this host's leadership.
    void beginEpoch(const CellName& cell, Instant now);

    // allocate() reserves room on a worker for a run; it changes nothing for a run that is there already. release()
    // frees it.
    void allocate(FleetWorker& worker, const TaskRunId& run, RunAllocation allocation);
    void release(FleetWorker& worker, const TaskRunId& run);

    // beginIncarnation() records that another incarnation of the worker has answered. Calls to it get a higher token, and no task is
    // placed on it before incarnationFenced() and a poll whose lease outlasts any that a deadline for a former incarnation gave it.
    void beginIncarnation(FleetWorker& worker, Instant now);

    // incarnationFenced() records that the incarnation has answered a poll with that token.
    void incarnationFenced(FleetWorker& worker, Instant now);

    // firstAnswered() records that the worker has answered this leader for the first time. Until now a former leader may have granted
    // leases, also by deadlines on the clock of a former incarnation, which make them as long as the worker allows.
    void firstAnswered(FleetWorker& worker, Instant now);

    // timeUntilStarts() is the time until a poll that grants a lease of length `granted` lets the worker accept tasks; zero: at once.
    Duration timeUntilStarts(const FleetWorker& worker, Instant now, Duration granted) const;

    // recordLease() records that a lease granted at `now` may take effect on the worker, whatever becomes of the poll in
    // flight. recordStart() records the same of a start that is sent before `expiresAt`.
    void recordLease(FleetWorker& worker, Instant now);
    void recordStart(FleetWorker& worker, Instant now, Instant expiresAt);

    // pollAnswered() records that the worker has granted the lease of the poll in flight, if it carried one.
    static void pollAnswered(FleetWorker& worker);

    // recordPollLease() records a lease of length `granted` from `now` that takes effect unless the poll that carries it is never sent.
    void recordPollLease(FleetWorker& worker, Instant now, Duration granted);

    // remove() deletes a worker. It must have no runs. Calls to a worker that is added later get a higher token, since it may be the
    // next incarnation of this one.
    void remove(const WorkerId& worker);

    // workersOf() is the workers of a cell for a service, in a stable order. Logarithmic in the cells and services, and
    // linear in the workers after a change of the list.
    const std::vector<FleetWorker*>& workersOf(const CellName& cell, const ServiceName& service);

    // all() is every worker, in the order of their ids.
    std::map<WorkerId, FleetWorker>& all() { return this->workers; }
    const std::map<WorkerId, FleetWorker>& all() const { return this->workers; }

    // remainingLease() is the time for which leases on the worker may last, granted by this leader or a former one, in whole
    // milliseconds. Linear in its runs.
    static Duration remainingLease(const FleetWorker& worker, Instant now);

    // latestLeaseEnd() is the time by which a lease granted at `now` has expired on every worker.
    Instant latestLeaseEnd(Instant now, Duration lease) const;

    Duration lease() const { return this->options.lease; }

private:
    FleetWorker& findOrAdd(const WorkerId& worker);
    void regroup();
    static void unlist(FleetWorker& worker, Instant now);

    Options options;
    std::map<DataCentreName, CellName> cellOf;
    std::map<WorkerId, FleetWorker> workers;
    std::uint32_t restarts { 0 }; // of any worker. It never falls, so that a worker that is added again gets no lower token than before
    std::map<CellName, std::map<ServiceName, std::vector<FleetWorker*>>> groups;
    bool isRegroupDue { false };
};

} // namespace dragonflytray
