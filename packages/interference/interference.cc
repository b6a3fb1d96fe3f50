#include "interference/interference.h"

namespace dragonflytray {

// In the order of InterferenceCommandKind.
const std::array<Interference::Handler, interferenceCommandNames.size()> Interference::handlers {
    &Interference::taskPlaced,
    &Interference::taskRemoved,
    &Interference::runnerPlaced,
    &Interference::runnerRemoved,
    &Interference::latencyMeasured,
    &Interference::changeConfiguration,
    &Interference::tick,
};

Interference::Interference(Options options)
    : options(options)
    , policy(makeInterferencePolicy(options.policy, options.policyOptions))
{
    require(options.mitigationCooldown > options.measurementLag, "Interference: the mitigation cooldown must exceed the measurement lag");
    require(options.history.retention > options.measurementLag, "Interference: the retention of the history must exceed the measurement lag");
    require(options.throttledCpuShare > 0 && options.throttledCpuShare < 1, "Interference: the throttled share of the processors must lie between 0 and 1");
}

InterferenceEffects Interference::handle(const InterferenceCommand& command, Instant now)
{
    InterferenceEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    return effects;
}

InterferenceView Interference::ask(const InterferenceQuery& query, Instant now) const
{
    using Query = InterferenceView (Interference::*)(const InterferenceQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<InterferenceQuery>> queries { &Interference::placementPenalty, &Interference::slowdownEstimates, &Interference::summary };
    return (this->*queries[query.index()])(query, now);
}

Interference::Worker& Interference::findOrAddWorker(const HostName& name)
{
    return this->workers.try_emplace(name, this->options.history).first->second;
}

bool Interference::hasCooledDown(const Task& task, Instant now) const
{
    return task.levelSince == Instant::min() || now - task.levelSince >= this->options.mitigationCooldown;
}

WorkerSnapshot Interference::snapshotOf(const Worker& worker, Instant now) const
{
    WorkerSnapshot snapshot;
    snapshot.objective = this->objective;
    for (const auto& [service, runner] : worker.runners) {
        auto estimator = this->estimators.find(service);
        snapshot.services.push_back({ service, runner.load, estimator == this->estimators.end() ? nullptr : &estimator->second });
    }
    const bool mayEvictHere = worker.lastEvictionAt == Instant::min() || now - worker.lastEvictionAt >= this->options.mitigationCooldown;
    for (const auto& [job, task] : worker.tasks) {
        const bool isCooledDown = this->hasCooledDown(task, now);
        const bool isThrottled = task.level == MitigationLevel::Throttled;
        snapshot.tasks.push_back({
            .job = job,
            .batchClass = task.batchClass,
            .level = task.level,
            .cpuShare = this->cpuShareAt(task.level),
            .costSinceCheckpoint = task.costSinceCheckpoint,
            .mayThrottle = isCooledDown && task.level == MitigationLevel::Unthrottled,
            .mayRestore = isCooledDown && isThrottled,
            .mayEvict = isCooledDown && isThrottled && mayEvictHere,
        });
    }
    return snapshot;
}

} // namespace dragonflytray
