#pragma once

// An in-memory worker for tests: it runs tasks under a lease, checks its capacity and the fencing token of each call,
// and reports ends until they are acknowledged.
//
// Example:
//
//     SimulatedWorker worker(entry, now);
//     WorkerCallStatus status = worker.start(call, work, now);
//     PollEnded report = worker.poll(pollCall, now);

#include "scheduling/scheduling.h"
#include <deque>

namespace dragonflytray {

// SimulatedRun is one run on a worker, and how it will end.
struct SimulatedRun {
    TaskRunId id;
    TaskResources need;
    Instant end; // when it ends by itself; Instant::max(): never
    bool isFailing { false }; // ends as failed
    std::string checkpoint;
};

// SimulatedWorker is one incarnation of a worker. Its clock counts milliseconds since its start. Not thread-safe.
class SimulatedWorker {
public:
    explicit SimulatedWorker(ListedWorker entry, Instant start);

    // start(), stop() and poll() carry out one call. `work` says what the started run needs and how it ends.
    WorkerCallStatus start(const StartTask& call, SimulatedRun work, Instant now);
    WorkerCallStatus stop(const StopTask& call, Instant now);
    PollEnded poll(const PollWorker& call, Instant now);

    // advance() ends the runs that are done by `now`, and all others if the lease has expired.
    void advance(Instant now);

    // restart() begins a new incarnation under the same id. Runs and unacknowledged ends are lost.
    void restart(Instant now);

    // drain() lists the worker as draining from `now` on. It goes on accepting starts.
    void drain(Instant now) { this->drainingSince = now; }

    // running() is the runs that have not ended.
    const std::map<TaskRunId, SimulatedRun>& running() const { return this->runs; }
    // entry() is the worker as it lists itself.
    const ListedWorker& entry() const { return this->listed; }

    // entryAt() is the worker as it was listed at that time.
    ListedWorker entryAt(Instant time) const;

    // isChangedIn() says whether its entry has changed after `begin` and not after `end`.
    bool isChangedIn(Instant begin, Instant end) const { return this->drainingSince && *this->drainingSince > begin && *this->drainingSince <= end; }

    // doneRuns() is every run that has ended as done in this incarnation, and whether its end was acknowledged.
    const std::map<TaskRunId, bool>& doneRuns() const { return this->done; }

private:
    std::int64_t clockAt(Instant now) const;
    void finish(const TaskRunId& run, RunOutcome outcome);
    bool isFenced(Epoch epoch);

    ListedWorker listed;
    Instant startedAt;
    std::optional<Instant> drainingSince;
    Epoch highestEpoch { 0 };
    std::int64_t leaseEnd { 0 }; // ms on the worker's clock
    std::map<TaskRunId, SimulatedRun> runs;
    std::map<TaskId, std::uint64_t> highestEndedRuns; // highest number of a run that ended or was stopped, by task
    std::deque<EndedRun> unacknowledgedEnds;
    std::uint64_t lastEnd { 0 };
    std::map<TaskRunId, bool> done; // whether the end is acknowledged
};

} // namespace dragonflytray
