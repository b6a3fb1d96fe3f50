#pragma once

// An in-memory model of workers with leased tasks, checkpoints, fencing of old epochs and restarts that lose all state.
// It aborts when a job runs on two workers at a time, when a job starts after its end was recorded, or when the running
// tasks exceed a worker's capacity.

#include "batch/batch.h"
#include <functional>
#include <map>
#include <set>

namespace dragonflytray {

// SimulatedTask is the latest attempt of one job on one worker.
struct SimulatedTask {
    std::uint32_t attempt { 0 };
    TaskPhase phase { TaskPhase::Running };
    Capacity need;
    double completedShare { 0 }; // fraction of the whole run
    double checkpointedShare { 0 }; // value of `completedShare` at the last checkpoint
    Duration runTime { 0 };
    Instant advancedAt;
    Instant leaseEnd;
};

// SimulatedWorker is one worker with its injected faults.
struct SimulatedWorker {
    Host host;
    Epoch epoch { 0 };
    std::map<JobId, SimulatedTask> tasks;
    bool isFailing { false }; // every task fails at its start
    Instant partitionedUntil; // no message reaches the worker
    Instant answersLostUntil; // the worker receives messages, but its answers are lost
};

// SimulatedWorkers holds the workers of all data centres on one clock. Not thread-safe.
class SimulatedWorkers {
public:
    std::map<HostName, SimulatedWorker> byName;
    std::function<bool(const JobId&)> isEnded; // whether the end of a job is recorded
    std::set<JobId> alwaysFailing; // jobs that fail wherever they run
    std::map<JobId, HostName> running; // worker of each running job
    std::size_t starts { 0 };
    std::size_t finishes { 0 };

    // contact() returns the worker's answer, or nothing when it rejects the contact because of an old epoch.
    std::optional<WorkerReported> contact(const ContactWorker& contact, Instant now)
    {
        SimulatedWorker& worker = this->byName.at(contact.worker);
        this->advance(worker, now);
        if (contact.epoch < worker.epoch)
            return std::nullopt;
        worker.epoch = contact.epoch;
        for (const TaskAttempt& renewal : contact.renewals)
            renewLease(worker, renewal.job, renewal.attempt, now + contact.lease);
        for (const TaskAttempt& stop : contact.stops)
            this->stopTask(worker, stop);
        for (const TaskStart& start : contact.starts)
            this->startTask(worker, start, now, contact.lease);
        WorkerReported reported { contact.worker, contact.epoch, {} };
        for (const auto& [job, task] : worker.tasks)
            reported.reports.push_back({ job, task.attempt, task.phase, task.phase == TaskPhase::Finished ? "result" : "", task.checkpointedShare > 0 ? "done=" + std::to_string(task.checkpointedShare) : "", task.need });
        return reported;
    }

    // advance() updates the progress of all tasks up to `now`. Tasks end when they are complete or their lease expires.
    void advance(Instant now)
    {
        for (auto& [name, worker] : this->byName)
            this->advance(worker, now);
    }

    // restart() clears the state of a worker, including its epoch.
    void restart(SimulatedWorker& worker)
    {
        for (auto& [job, task] : worker.tasks) {
            if (task.phase == TaskPhase::Running)
                this->running.erase(job);
        }
        worker.tasks.clear();
        worker.epoch = 0;
    }

private:
    static constexpr double checkpointInterval = 0.25; // fraction of the whole run

    static void renewLease(SimulatedWorker& worker, const JobId& job, std::uint32_t attempt, Instant leaseEnd)
    {
        auto task = worker.tasks.find(job);
        if (task != worker.tasks.end() && task->second.attempt == attempt)
            task->second.leaseEnd = std::max(task->second.leaseEnd, leaseEnd);
    }

    void stopTask(SimulatedWorker& worker, const TaskAttempt& stop)
    {
        auto task = worker.tasks.find(stop.job);
        if (task == worker.tasks.end() || task->second.attempt != stop.attempt || task->second.phase != TaskPhase::Running)
            return;
        if (stop.shouldCheckpoint)
            task->second.checkpointedShare = task->second.completedShare;
        task->second.phase = TaskPhase::Stopped;
        this->running.erase(stop.job);
    }

    void startTask(SimulatedWorker& worker, const TaskStart& start, Instant now, Duration lease)
    {
        auto known = worker.tasks.find(start.job);
        if (known != worker.tasks.end() && known->second.attempt >= start.attempt)
            return renewLease(worker, start.job, start.attempt, now + lease);
        require(!this->running.contains(start.job), "SimulatedWorkers: a job runs on two workers");
        require(!this->isEnded || !this->isEnded(start.job), "SimulatedWorkers: a job starts after its end was recorded");
        ++this->starts;
        SimulatedTask task { start.attempt, TaskPhase::Running, start.need, 0, 0, std::max(start.declaredRunTime, Duration(1)), now, now + lease };
        if (!start.checkpoint.empty())
            task.completedShare = task.checkpointedShare = std::stod(start.checkpoint.substr(5));
        if (worker.isFailing || this->alwaysFailing.contains(start.job))
            task.phase = TaskPhase::Failed;
        else
            this->running[start.job] = worker.host.name;
        worker.tasks[start.job] = task;
        checkCapacity(worker);
    }

    static void checkCapacity(const SimulatedWorker& worker)
    {
        Capacity sum;
        for (const auto& [job, task] : worker.tasks) {
            if (task.phase != TaskPhase::Running)
                continue;
            sum.processors += task.need.processors;
            sum.memoryGigabytes += task.need.memoryGigabytes;
            sum.accelerators += task.need.accelerators;
        }
        require(fits(sum, worker.host.capacity), "SimulatedWorkers: a worker is over its capacity");
    }

    void advance(SimulatedWorker& worker, Instant now)
    {
        for (auto& [job, task] : worker.tasks) {
            if (task.phase != TaskPhase::Running)
                continue;
            const Instant until = std::min(now, task.leaseEnd);
            task.completedShare += toSeconds(until - task.advancedAt) / toSeconds(task.runTime);
            task.advancedAt = until;
            task.checkpointedShare = std::max(task.checkpointedShare, checkpointInterval * static_cast<int>(std::min(task.completedShare, 0.99) / checkpointInterval));
            if (task.completedShare >= 1) {
                task.phase = TaskPhase::Finished;
                ++this->finishes;
            } else if (now >= task.leaseEnd) {
                task.phase = TaskPhase::Stopped;
            }
            if (task.phase != TaskPhase::Running)
                this->running.erase(job);
        }
    }
};

} // namespace dragonflytray
