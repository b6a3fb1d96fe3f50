#pragma once

// Workers in memory, for tests of decisions: tasks under leases on the worker's own clock, fencing of old
// epochs, checkpoints, lost memory. They check that no job runs in two places and that no worker
// holds more than its capacity.

#include "batch/batch.h"
#include <functional>
#include <map>
#include <set>

namespace dragonflytray {

// SimulatedTask is the last attempt of one job on one worker.
struct SimulatedTask {
    std::uint32_t attempt { 0 };
    TaskPhase phase { TaskPhase::Running };
    Capacity need;
    double completedShare { 0 }; // share of the whole run
    double checkpointedShare { 0 };
    Duration runTime { 0 };
    Instant advancedAt;
    Instant leaseEnd;
};

// SimulatedWorker is one worker and its switches.
struct SimulatedWorker {
    Host host;
    Epoch epoch { 0 };
    std::map<JobId, SimulatedTask> tasks;
    bool isFailing { false }; // fails everything it starts
    Instant partitionedUntil; // no message arrives
    Instant answersLostUntil; // messages arrive, answers are lost
};

// SimulatedWorkers is the workers of all data centres on one clock. Not thread-safe.
class SimulatedWorkers {
public:
    std::map<HostName, SimulatedWorker> byName;
    std::function<bool(const JobId&)> isEnded; // whether the end of a job is recorded
    std::set<JobId> alwaysFailing; // jobs that fail wherever they run
    std::map<JobId, HostName> running;
    std::size_t starts { 0 };
    std::size_t finishes { 0 };

    // contact() is what the worker answers, or nothing when the contact's epoch is fenced off.
    std::optional<WorkerReported> contact(const ContactWorker& contact, Instant now)
    {
        SimulatedWorker& worker = this->byName.at(contact.worker);
        this->advance(worker, now);
        if (contact.epoch < worker.epoch)
            return std::nullopt;
        worker.epoch = contact.epoch;
        for (const TaskAttempt& renewal : contact.renewals)
            renew(worker, renewal.job, renewal.attempt, now + contact.lease);
        for (const TaskAttempt& stop : contact.stops)
            this->stop(worker, stop);
        for (const TaskStart& start : contact.starts)
            this->start(worker, start, now, contact.lease);
        WorkerReported reported { contact.worker, contact.epoch, {} };
        for (const auto& [job, task] : worker.tasks)
            reported.reports.push_back({ job, task.attempt, task.phase, task.phase == TaskPhase::Finished ? "result" : "", task.checkpointedShare > 0 ? "done=" + std::to_string(task.checkpointedShare) : "", task.need });
        return reported;
    }

    // advance() lets tasks finish or lapse.
    void advance(Instant now)
    {
        for (auto& [name, worker] : this->byName)
            this->advance(worker, now);
    }

    // restart() loses everything that a worker knew, its epoch included.
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
    static constexpr double checkpointStep = 0.25;

    static void renew(SimulatedWorker& worker, const JobId& job, std::uint32_t attempt, Instant leaseEnd)
    {
        auto task = worker.tasks.find(job);
        if (task != worker.tasks.end() && task->second.attempt == attempt)
            task->second.leaseEnd = std::max(task->second.leaseEnd, leaseEnd);
    }

    void stop(SimulatedWorker& worker, const TaskAttempt& stop)
    {
        auto task = worker.tasks.find(stop.job);
        if (task == worker.tasks.end() || task->second.attempt != stop.attempt || task->second.phase != TaskPhase::Running)
            return;
        if (stop.shouldCheckpoint)
            task->second.checkpointedShare = task->second.completedShare;
        task->second.phase = TaskPhase::Stopped;
        this->running.erase(stop.job);
    }

    void start(SimulatedWorker& worker, const TaskStart& start, Instant now, Duration lease)
    {
        auto known = worker.tasks.find(start.job);
        if (known != worker.tasks.end() && known->second.attempt >= start.attempt)
            return renew(worker, start.job, start.attempt, now + lease);
        require(!this->running.contains(start.job), "SimulatedWorkers: a job runs in two places");
        require(!this->isEnded || !this->isEnded(start.job), "SimulatedWorkers: a job runs again after its recorded end");
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
            task.checkpointedShare = std::max(task.checkpointedShare, checkpointStep * static_cast<int>(std::min(task.completedShare, 0.99) / checkpointStep));
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
