#include "interference/interference.h"

namespace dragonflytray {

namespace {

    // MitigationTransition is the change of level that an action makes.
    struct MitigationTransition {
        MitigationLevel from;
        MitigationLevel to;
    };

    // In the order of MitigationAction.
    constexpr std::array<MitigationTransition, mitigationActionNames.size()> mitigationTransitions { {
        { MitigationLevel::Unthrottled, MitigationLevel::Throttled },
        { MitigationLevel::Throttled, MitigationLevel::Unthrottled },
        { MitigationLevel::Throttled, MitigationLevel::Evicting },
    } };

} // namespace

void Interference::tick(const InterferenceCommand&, Instant now, InterferenceEffects& effects)
{
    for (auto worker = this->workers.begin(); worker != this->workers.end();) {
        this->dropExpired(worker->second, now);
        if (auto step = this->policy->nextMitigation(this->snapshotOf(worker->second, now)))
            this->applyMitigation(worker->first, worker->second, *step, now, effects);
        const bool isUnused = worker->second.tasks.empty() && worker->second.runners.empty() && worker->second.history.isEmpty() && worker->second.placementCooldownUntil.empty();
        worker = isUnused ? this->workers.erase(worker) : std::next(worker);
    }
}

void Interference::dropExpired(Worker& worker, Instant now) const
{
    worker.history.prune(now);
    std::erase_if(worker.placementCooldownUntil, [&](const auto& entry) { return entry.second <= now; });
}

void Interference::applyMitigation(const HostName& name, Worker& worker, const MitigationStep& step, Instant now, InterferenceEffects& effects)
{
    require(worker.tasks.contains(step.job), "Interference: a mitigation step for a task that is not on the worker");
    const Task& task = worker.tasks.at(step.job);
    const MitigationTransition& transition = mitigationTransitions[indexOf(step.action)];
    require(task.level == transition.from, "Interference: the action does not start at the present level of the task");
    require(this->hasCooledDown(task, now), "Interference: a mitigation step before the end of the cooldown");
    ++this->mitigationCounts[step.action];
    this->setLevel(worker, step.job, transition.to, now);
    if (transition.to != MitigationLevel::Evicting) {
        effects.push_back(ThrottleTask { name, step.job, task.attempt, this->cpuShareAt(transition.to) });
        return;
    }
    this->recordEviction(worker, task.batchClass, now);
    effects.push_back(EvictTask { name, step.job, task.attempt, true });
}

void Interference::recordEviction(Worker& worker, const BatchClassName& batchClass, Instant now) const
{
    require(worker.lastEvictionAt == Instant::min() || now - worker.lastEvictionAt > this->options.measurementLag, "Interference: two evictions on a worker within the measurement lag");
    worker.lastEvictionAt = now;
    worker.placementCooldownUntil[batchClass] = now + this->options.placementCooldown;
}

double Interference::cpuShareAt(MitigationLevel level) const
{
    return level == MitigationLevel::Unthrottled ? 1 : this->options.throttledCpuShare;
}

void Interference::setLevel(Worker& worker, const JobId& job, MitigationLevel level, Instant now)
{
    Task& task = worker.tasks.at(job);
    task.level = level;
    task.levelSince = now;
    if (level != MitigationLevel::Evicting)
        worker.history.begin(job, task.batchClass, this->cpuShareAt(level), now);
}

} // namespace dragonflytray
