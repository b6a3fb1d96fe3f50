#pragma once

// Which tasks may have crashed a worker, and the workers on which such suspects run apart from other new runs.
//
// A task that crashes its workers does so soon after it has been started. The suspects of a crash are therefore the runs that
// are not settled: no report that was read Options::crashWindow after their start was confirmed has named them. A suspect is
// started again only on a worker whose other runs are settled, and nothing else is started there until it is settled itself, so
// that another crash can be attributed to it alone.
//
// Example:
//
//     for (const TaskRunId& run : crashSuspects.suspectsOn(worker)) { ... }
//     crashSuspects.isolate(worker.entry.id, suspect);
//     if (crashSuspects.admits(worker, { .suspect = task, .isSuspect = false })) { ... }

#include "scheduling/fleet.h"

namespace dragonflytray {

// CrashSuspects keeps the isolated workers. A suspect is named by its task, a gang by its first task. Not thread-safe.
class CrashSuspects {
public:
    struct Options {
        Duration crashWindow { std::chrono::milliseconds(500) }; // after the confirmation of a start, in which the run may crash its worker
        std::uint32_t maxCrashes { 2 }; // attributed to a task, after which it is given up
        Duration reservationTimeout { std::chrono::seconds(3) }; // for which a worker is kept for a suspect until its other runs are settled
        Duration lapsedRunsTimeout { std::chrono::seconds(60) }; // for which the suspects on a silent worker are kept after its lease
        double maxReservedShare { 0.25 }; // of the workers; at least one may be reserved
    };

    // Candidate is a task that is to be started.
    struct Candidate {
        TaskId suspect;
        bool isSuspect { false }; // a crash was attributed to it
    };

    // LapsedRuns is the suspects on a worker whose lease has lapsed. Whether it has crashed is known only once it, or another
    // worker at its address, answers again.
    struct LapsedRuns {
        WorkerId worker;
        Endpoint endpoint;
        std::vector<TaskRunId> runs;
        Instant since;
    };

    explicit CrashSuspects(Options options);

    // Commands.

    // settle() marks the runs that the last report of the worker, received at `receivedAt`, proves to be settled, and returns those
    // that were not before. Linear in the runs of the worker.
    std::vector<TaskRunId> settle(FleetWorker& worker, Instant receivedAt) const;

    // isolate() records that a suspect is being started on a worker. reserve() keeps a worker for it, until isolate() or for
    // Options::reservationTimeout.
    void isolate(const WorkerId& worker, const TaskId& suspect);
    void reserve(const WorkerId& worker, const TaskId& suspect, Instant now);

    // keepLapsed() keeps the suspects on a worker when its lease has lapsed. takeLapsed() removes and returns what was kept of
    // workers with the id or at the address of this one, which has answered.
    void keepLapsed(const FleetWorker& worker, Instant now);
    std::vector<LapsedRuns> takeLapsed(const FleetWorker& worker);

    // releaseWorkers() ends the isolation of workers whose suspect is settled, has ended, or was not started in time, and drops
    // lapsed runs after Options::lapsedRunsTimeout.
    void releaseWorkers(Fleet& fleet, Instant now);

    // Queries.

    // admits() says whether the candidate may be started on a worker.
    bool admits(const FleetWorker& worker, const Candidate& candidate) const;

    // isIsolated() says whether a worker runs a suspect that is not settled, or is reserved for one.
    bool isIsolated(const WorkerId& worker) const { return this->isolations.contains(worker); }
    bool hasIsolations() const { return !this->isolations.empty(); }

    // hasReservation() says whether a worker is reserved for the suspect; mayReserve() whether one more of so many workers may be.
    bool hasReservation(const TaskId& suspect) const;
    bool mayReserve(std::size_t workers) const;

    // suspectsOn() is the runs that may have crashed a worker: those that are not settled and had not run for Options::crashWindow
    // when the contact was lost.
    std::vector<TaskRunId> suspectsOn(const FleetWorker& worker) const;

    const Options& settings() const { return this->options; }

private:
    struct Isolation {
        TaskId suspect;
        Instant reservedUntil; // zero: the suspect was started
    };

    Options options;
    std::map<WorkerId, Isolation> isolations;
    std::vector<LapsedRuns> lapsed;
};

} // namespace dragonflytray
