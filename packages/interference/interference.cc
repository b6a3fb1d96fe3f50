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
    require(options.hysteresis > options.lag, "Interference: the hysteresis must exceed the lag");
    require(options.history.horizon > options.lag, "Interference: the history must reach beyond the lag");
    require(options.throttledShare > 0 && options.throttledShare < 1, "Interference: the throttled share must lie between 0 and 1");
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

Interference::Worker& Interference::workerOf(const HostName& name)
{
    return this->workers.try_emplace(name, this->options.history).first->second;
}

bool Interference::hasRested(const Task& task, Instant now) const
{
    return task.rungSince == Instant::min() || now - task.rungSince >= this->options.hysteresis;
}

WorkerSnapshot Interference::situationOf(const Worker& worker, Instant now) const
{
    WorkerSnapshot situation;
    situation.objective = this->objective;
    for (const auto& [service, runner] : worker.runners) {
        auto estimator = this->estimators.find(service);
        situation.services.push_back({ service, runner.load, estimator == this->estimators.end() ? nullptr : &estimator->second });
    }
    const bool mayEvictHere = worker.lastEviction == Instant::min() || now - worker.lastEviction >= this->options.hysteresis;
    for (const auto& [job, task] : worker.tasks) {
        const bool isRested = this->hasRested(task, now);
        const bool isThrottled = task.rung == MitigationLevel::Throttled;
        situation.tasks.push_back({
            .job = job,
            .batchClass = task.batchClass,
            .rung = task.rung,
            .share = this->shareOn(task.rung),
            .costSinceCheckpoint = task.costSinceCheckpoint,
            .mayThrottle = isRested && task.rung == MitigationLevel::Unthrottled,
            .mayRestore = isRested && isThrottled,
            .mayEvict = isRested && isThrottled && mayEvictHere,
        });
    }
    return situation;
}

} // namespace dragonflytray
