#pragma once

// The runs of former leaders that a new leader of a cell can't rule out, by the worker on which they may be alive.
//
// A task is free for its next run once the worker has named its runs, or has ended, and the store is followed up to a report that
// was composed after that: the run may have ended before, and the former leader may have recorded that end. It is also free once
// the leases on the worker have expired.
//
// Example:
//
//     FormerRuns formerRuns;
//     formerRuns.inherit(worker, entry.possibleTasks.value(), leaseEnd);
//     formerRuns.workerAccounted(worker);
//     formerRuns.reportComposed(7);
//     formerRuns.reportStored(7, version);
//     if (formerRuns.release(followedVersion))
//         job.reconcile(formerRuns.tasks(), now);

#include "scheduling/stored_rows.h"

namespace dragonflytray {

// FormerRuns holds tasks that may have runs of former leaders. Not thread-safe.
class FormerRuns {
public:
    // inherit() adds tasks that may have runs on `worker`, whose leases have expired by `leaseEnd`; the empty id stands for workers
    // that are not known. Linear in the tasks.
    void inherit(const WorkerId& worker, const std::set<TaskId>& tasks, Instant leaseEnd);

    // runAdopted() records that the run of a task on a worker that was not known is found.
    void runAdopted(const TaskId& task);

    // workerAccounted() records that the worker has named all of its runs, or that its incarnation has ended.
    void workerAccounted(const WorkerId& worker);

    // reportComposed() and reportStored() report the leader's reports about its cell. Numbers increase.
    void reportComposed(std::uint64_t report);
    void reportStored(std::uint64_t report, RowVersion version);

    // release() drops the tasks of accounted workers whose report is followed. It returns true if there were any. Linear in all
    // tasks if so, else in the workers.
    bool release(RowVersion followedVersion);

    // expire() drops the tasks of workers whose leases have expired, with the same result and cost. The caller has to know that
    // nobody has extended them since.
    bool expire(Instant now);

    // clear() drops all tasks, for example when the leases of former leaders have expired.
    void clear();

    // tasks() returns the tasks that may have runs on any worker, tasksOn() those of one worker.
    const std::set<TaskId>& tasks() const { return this->allTasks; }
    std::set<TaskId> tasksOn(const WorkerId& worker) const;

    bool isEmpty() const { return this->allTasks.empty(); }

private:
    struct WorkerTasks {
        std::set<TaskId> tasks;
        Instant leaseEnd;
        bool isAccounted { false };
        std::uint64_t report { 0 }; // first one composed after the worker was accounted for; 0: none yet
        RowVersion reportVersion { 0 }; // 0: not known to be stored
    };

    template <typename Condition>
    bool dropWorkers(Condition condition);
    void collectTasks();

    std::map<WorkerId, WorkerTasks> workers;
    std::set<TaskId> allTasks;
};

} // namespace dragonflytray
