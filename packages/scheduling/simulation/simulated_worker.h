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

    // restart() begins a new incarnation under the same id. Runs and unacknowledged ends are lost. The list shows it by the
    // start time, unless the worker gives none.
    void restart(Instant now);

    // unlist() removes the worker from the list at `time`, although it goes on. list() adds it again. Later changes that were
    // set before are dropped.
    void unlist(Instant time) { this->setListed(time, false); }
    void list(Instant time) { this->setListed(time, true); }

    // drain() lists the worker as draining from `now` on. It goes on accepting starts.
    void drain(Instant now) { this->drainingSince = now; }

    // running() is the runs that have not ended.
    const std::map<TaskRunId, SimulatedRun>& running() const { return this->runs; }
    // entry() is the worker as it lists itself.
    const ListedWorker& entry() const { return this->listed; }

    // entryAt() is the worker as it was listed at that time.
    ListedWorker entryAt(Instant time) const;

    // isListedAt() says whether the list contained the worker at that time.
    bool isListedAt(Instant time) const;

    // isChangedIn() says whether its entry has changed, was removed or was added after `begin` and not after `end`.
    bool isChangedIn(Instant begin, Instant end) const;

    // doneRuns() is every run that has ended as done in this incarnation, and whether its end was acknowledged.
    const std::map<TaskRunId, bool>& doneRuns() const { return this->done; }

    // countedEnds() is when each run ended as done whose end was acknowledged before the lease expired.
    const std::map<TaskRunId, Instant>& countedEnds() const { return this->counted; }

private:
    std::int64_t clockAt(Instant now) const;
    void finish(const TaskRunId& run, RunOutcome outcome, Instant now);
    void acknowledge(const TaskRunId& run);
    void setListed(Instant time, bool isListed);
    bool isFenced(const FencingToken& token);
    void extendLease(std::int64_t deadline, Instant now);

    ListedWorker listed;
    Instant startedAt;
    std::optional<Instant> drainingSince;
    FencingToken highestToken;
    std::int64_t leaseEnd { 0 }; // ms on the worker's clock
    std::map<TaskRunId, SimulatedRun> runs;
    std::map<TaskId, std::uint64_t> highestEndedRuns; // highest number of a run that ended or was stopped, by task
    std::deque<EndedRun> unacknowledgedEnds;
    std::uint64_t lastEnd { 0 };
    std::map<TaskRunId, bool> done; // whether the end is acknowledged
    std::map<TaskRunId, Instant> doneAt; // when each of them ended
    std::map<TaskRunId, Instant> counted; // the same, of those that were acknowledged before the lease expired
    Instant lastLeaseExpiry; // when the lease was last seen to be expired
    std::map<Instant, bool> listings; // whether the list contains the worker from that time on
};

} // namespace dragonflytray
