#include "interference/interference.h"

namespace dragonflytray {

void Interference::taskPlaced(const InterferenceCommand& command, Instant now, InterferenceEffects&)
{
    const auto& placed = std::get<TaskPlaced>(command);
    auto placement = this->placements.find(placed.job);
    if (placement != this->placements.end()) {
        Task& recorded = this->workers.at(placement->second).tasks.at(placed.job);
        if (placement->second == placed.worker && recorded.attempt == placed.attempt) {
            recorded.costSinceCheckpoint = placed.costSinceCheckpoint;
            return;
        }
        if (placed.attempt < recorded.attempt)
            return; // delayed report of an attempt that has been replaced
        this->removeTask(HostName(placement->second), placed.job, now);
    }
    Worker& worker = this->findOrAddWorker(placed.worker);
    worker.tasks[placed.job] = {
        .attempt = placed.attempt,
        .batchClass = placed.batchClass,
        .costSinceCheckpoint = placed.costSinceCheckpoint,
        .level = MitigationLevel::Unthrottled,
        .levelSince = Instant::min(),
    };
    worker.history.begin(placed.job, placed.batchClass, 1, now);
    this->placements[placed.job] = placed.worker;
}

void Interference::taskRemoved(const InterferenceCommand& command, Instant now, InterferenceEffects&)
{
    const auto& removed = std::get<TaskRemoved>(command);
    auto placement = this->placements.find(removed.job);
    if (placement != this->placements.end() && placement->second == removed.worker)
        this->removeTask(removed.worker, removed.job, now);
}

void Interference::removeTask(const HostName& name, const JobId& job, Instant now)
{
    Worker& worker = this->workers.at(name);
    worker.history.end(job, now);
    worker.tasks.erase(job);
    this->placements.erase(job);
}

} // namespace dragonflytray
