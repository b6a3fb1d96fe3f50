#pragma once

// Which tasks may have crashed a worker, and the workers on which such suspects run apart from other new runs.
//
// A task that crashes its workers does so soon after it has been started. Exposed to the end of a worker are therefore the runs that
// had begun there and are not settled: no report that was read Options::crashWindow after their start was confirmed has named them,
// and the connection to the worker broke before that, if it is known when. A suspect is started again only on a worker whose other
// runs are settled, and nothing else is started there until it is settled itself, so that another crash can be attributed to it
// alone.
//
// Example:
//
//     const WorkerEnd end = crashSuspects.endOf(worker, now, std::nullopt);
//     crashSuspects.isolate(worker.entry.id, suspect);
//     if (crashSuspects.admits(worker, { .suspect = task, .isSuspect = false })) { ... }

#include "scheduling/fleet.h"

namespace dragonflytray {

// WorkerEnd is what is known of the end of an incarnation of a worker.
struct WorkerEnd {
    WorkerId worker;
    Instant earliest {}; // between which it ended; zero: not known
    Instant latest {};
    Instant noticedAt {}; // when it first did not answer
    std::vector<TaskRunId> exposedRuns {}; // that may have caused it
    bool isAtOnceAfterStart { false }; // the connection broke at once after the start of one of them
    bool isAlone { false }; // the same, and all of them belong to one suspect
};

// CrashSuspects keeps the isolated workers. A suspect is named by its task, a gang by its first task. Not thread-safe.
class CrashSuspects {
public:
    struct Options {
        Duration crashWindow { std::chrono::milliseconds(500) }; // after the confirmation of a start, in which the run may crash its worker
        Duration proofWindow { std::chrono::milliseconds(150) }; // the same, in which the end of a worker may prove that the run has crashed it
        std::uint32_t maxProvenCrashes { 2 }; // of a task, after which it is given up
        std::uint32_t maxCrashes { 4 }; // attributed to a task, proven or not, after which it is given up; users accept five starts
        Duration restartBackoff { std::chrono::milliseconds(2500) }; // of a long-running task that would be given up otherwise
        Duration reservationTimeout { std::chrono::seconds(3) }; // for which a worker is kept for a suspect until its other runs are settled
        Duration lapsedRunsTimeout { std::chrono::seconds(60) }; // for which the suspects on a silent worker are kept after its lease
        double maxReservedShare { 0.25 }; // of the workers; at least one may be reserved
    };

    // Candidate is a task that is to be started.
    struct Candidate {
        TaskId suspect;
        bool isSuspect { false }; // a crash was attributed to it
    };

    // LapsedRuns is the exposed runs on a worker whose lease has lapsed, or that a former leader had lost contact with. Whether it has
    // crashed is known only once it, or another worker at its address, answers again.
    struct LapsedRuns {
        WorkerEnd end;
        Endpoint endpoint;
        WallTime startedAt { 0 }; // of the incarnation that a former leader knew; 0: this leader knew it
        Instant since {};
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

    // keepLapsed() keeps the exposed runs on a worker when its lease has lapsed, inherit() those that a former leader has named.
    // takeLapsed() removes and returns what was kept of workers with the id or at the address of this one, which has answered.
    void keepLapsed(const FleetWorker& worker, Instant now);
    void inherit(const WorkerId& worker, const RosterEntry& entry, Instant now);
    std::vector<LapsedRuns> takeLapsed(const FleetWorker& worker);

    // releaseWorkers() ends the isolation of workers whose suspect is settled, has ended, or was not started in time, and drops
    // lapsed runs after Options::lapsedRunsTimeout.
    void releaseWorkers(Fleet& fleet, Instant now);

    // clear() drops all isolations and lapsed runs.
    void clear();

    // Queries.

    // admits() says whether the candidate may be started on a worker.
    bool admits(const FleetWorker& worker, const Candidate& candidate) const;

    // isIsolated() says whether a worker runs a suspect that is not settled, or is reserved for one.
    bool isIsolated(const WorkerId& worker) const { return this->isolations.contains(worker); }
    bool hasIsolations() const { return !this->isolations.empty(); }

    // hasReservation() says whether a worker is reserved for the suspect; mayReserve() whether one more of so many workers may be.
    bool hasReservation(const TaskId& suspect) const;
    bool mayReserve(std::size_t workers) const;

    // exposedRunsOn() is the runs that may have crashed the worker, should its incarnation have ended when the contact was lost. A run
    // whose start was not answered is one of them only if the connection broke soon after it was sent: otherwise nothing shows that
    // the worker was still there to begin it.
    std::vector<TaskRunId> exposedRunsOn(const FleetWorker& worker) const;

    // endOf() is the end of the incarnation of a worker with these runs. The next one began at `successorBegan`; nothing: not known.
    WorkerEnd endOf(const FleetWorker& worker, Instant now, std::optional<Instant> successorBegan) const;

    // inheritedFrom() returns what a former leader has named of a worker that has not answered since, or null.
    const LapsedRuns* inheritedFrom(const WorkerId& worker) const;

private:
    struct Isolation {
        TaskId suspect;
        Instant reservedUntil; // zero: the suspect was started
    };

    bool isExposed(const FleetWorker& worker, const RunAllocation& allocation) const;
    bool isAtOnceAfterStart(const FleetWorker& worker, const RunAllocation& allocation) const;

    Options options;
    std::map<WorkerId, Isolation> isolations;
    std::vector<LapsedRuns> lapsed;
};

} // namespace dragonflytray
