#pragma once

// A worker in memory for tests: it runs tasks under a lease, guards its room and its fencing token, and
// lists ends until they are acknowledged.
//
// Example:
//
//     SimulatedWorker worker(entry);
//     TaskCallEnded started = worker.start(call, now);
//     PollEnded report = worker.poll(call, now);

#include "scheduling/scheduling.h"
#include <deque>

namespace dragonflytray {

// SimulatedRun is one run on a worker.
struct SimulatedRun {
    TaskRunId id;
    TaskResources need;
    Instant end; // when its work is done; Instant::max(): never
    bool isFailing { false };
    std::string checkpoint;
};

// SimulatedWorker is one incarnation of a worker. Its clock counts milliseconds since its start. Not thread-safe.
class SimulatedWorker {
public:
    explicit SimulatedWorker(ListedWorker entry, Instant start);

    // start(), stop() and poll() carry out one call. Work for the started run comes from `work`.
    WorkerCallStatus start(const StartTask& call, SimulatedRun work, Instant now);
    WorkerCallStatus stop(const StopTask& call, Instant now);
    PollEnded poll(const PollWorker& call, Instant now);

    // advance() ends what is done by `now`, and everything when the lease has lapsed.
    void advance(Instant now);

    // restart() begins a new incarnation under the same id.
    void restart(Instant now);

    const std::map<TaskRunId, SimulatedRun>& running() const { return this->runs; }
    const ListedWorker& entry() const { return this->listed; }

    // doneTasks() is every run that has ended as done in this incarnation, and whether it was acknowledged.
    const std::map<TaskRunId, bool>& doneRuns() const { return this->done; }

private:
    std::int64_t clockAt(Instant now) const;
    void finish(const TaskRunId& run, RunOutcome outcome);
    bool isFenced(Epoch epoch);

    ListedWorker listed;
    Instant startedAt;
    Epoch highestEpoch { 0 };
    std::int64_t leaseEnd { 0 }; // on the own clock
    std::map<TaskRunId, SimulatedRun> runs;
    std::map<TaskId, std::uint64_t> highestEndedRuns; // highest run that ended or was stopped
    std::deque<EndedRun> unacknowledgedEnds;
    std::uint64_t lastEnd { 0 };
    std::map<TaskRunId, bool> done;
};

} // namespace dragonflytray
