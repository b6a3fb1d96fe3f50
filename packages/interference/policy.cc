#include "interference/policy.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    class NoMitigationPolicy : public InterferencePolicy {
    public:
        explicit NoMitigationPolicy(InterferencePolicyOptions) { }

        PlacementCost penalty(const WorkerSnapshot&, const BatchClassName&) const override { return {}; }
        std::optional<MitigationStep> nextMitigation(const WorkerSnapshot&) const override { return std::nullopt; }
    };

    // Counts the tasks that are not being evicted.
    std::size_t remainingTaskCount(const WorkerSnapshot& snapshot)
    {
        return static_cast<std::size_t>(std::count_if(snapshot.tasks.begin(), snapshot.tasks.end(), [](const ColocatedTask& task) { return task.level != MitigationLevel::Evicting; }));
    }

    class FixedCapPolicy : public InterferencePolicy {
    public:
        explicit FixedCapPolicy(InterferencePolicyOptions options)
            : maxTasks(options.maxTasksBesideRunner)
        {
        }

        PlacementCost penalty(const WorkerSnapshot& snapshot, const BatchClassName&) const override
        {
            return { .cost = 0, .deviation = 0, .isAvoided = !snapshot.services.empty() && remainingTaskCount(snapshot) >= this->maxTasks };
        }

        std::optional<MitigationStep> nextMitigation(const WorkerSnapshot& snapshot) const override
        {
            if (snapshot.services.empty() || remainingTaskCount(snapshot) <= this->maxTasks)
                return this->restoreFirst(snapshot);
            const ColocatedTask* cheapest = nullptr;
            std::size_t throttled = 0;
            for (const ColocatedTask& task : snapshot.tasks) {
                throttled += task.level == MitigationLevel::Throttled ? 1 : 0;
                if (task.mayEvict && (!cheapest || task.costSinceCheckpoint < cheapest->costSinceCheckpoint))
                    cheapest = &task;
            }
            if (cheapest)
                return MitigationStep { cheapest->job, MitigationAction::Evict };
            if (throttled < remainingTaskCount(snapshot) - this->maxTasks)
                return this->throttleFirst(snapshot);
            return std::nullopt;
        }

    private:
        static std::optional<MitigationStep> throttleFirst(const WorkerSnapshot& snapshot)
        {
            for (const ColocatedTask& task : snapshot.tasks) {
                if (task.mayThrottle)
                    return MitigationStep { task.job, MitigationAction::Throttle };
            }
            return std::nullopt;
        }

        static std::optional<MitigationStep> restoreFirst(const WorkerSnapshot& snapshot)
        {
            for (const ColocatedTask& task : snapshot.tasks) {
                if (task.mayRestore)
                    return MitigationStep { task.job, MitigationAction::Restore };
            }
            return std::nullopt;
        }

        std::size_t maxTasks;
    };

    EffectEstimate effectOn(const ColocatedService& service, const BatchClassName& batchClass)
    {
        static const SlowdownEstimator prior({});
        return (service.estimator ? *service.estimator : prior).effect(batchClass, service.load);
    }

    // Thresholds are the log-slowdowns at which an objective requires an action.
    struct Thresholds {
        double throttle { 0 };
        double evict { 0 };
        double restore { 0 };
    };

    class PairModelPolicy : public InterferencePolicy {
    public:
        explicit PairModelPolicy(InterferencePolicyOptions options)
            : options(options)
        {
        }

        PlacementCost penalty(const WorkerSnapshot& snapshot, const BatchClassName& batchClass) const override
        {
            const double tailWeight = this->tailLatencyWeight(snapshot.objective);
            const double tolerance = this->thresholds(snapshot.objective).throttle;
            PlacementCost penalty;
            for (const ColocatedService& service : snapshot.services) {
                const EffectEstimate effect = effectOn(service, batchClass);
                const double lowerBound = std::max(effect.mean - this->options.avoidanceConfidenceDeviations * effect.deviation, 0.0);
                penalty.cost += std::max(effect.mean + this->options.costMarginDeviations * effect.deviation, 0.0) * tailWeight;
                penalty.deviation = std::hypot(penalty.deviation, effect.deviation);
                const bool isSignificant = lowerBound > this->options.negligibleLogSlowdown;
                penalty.isAvoided = penalty.isAvoided || (isSignificant && this->slowdown(snapshot, service) + lowerBound > tolerance);
            }
            return penalty;
        }

        std::optional<MitigationStep> nextMitigation(const WorkerSnapshot& snapshot) const override
        {
            const Thresholds thresholds = this->thresholds(snapshot.objective);
            const ColocatedService* worst = nullptr;
            double worstSlowdown = 0;
            for (const ColocatedService& service : snapshot.services) {
                const double slowdown = this->slowdown(snapshot, service);
                if (!worst || slowdown > worstSlowdown) {
                    worst = &service;
                    worstSlowdown = slowdown;
                }
            }
            if (worst && worstSlowdown > thresholds.throttle) {
                if (auto step = this->throttleMostHarmful(snapshot, *worst))
                    return step;
                return worstSlowdown > thresholds.evict ? this->evictMostBeneficial(snapshot, *worst) : std::nullopt;
            }
            return this->restoreLeastHarmful(snapshot, thresholds.restore);
        }

    private:
        static double tailLatencyWeight(const Objective& objective)
        {
            const double sum = objective.tailLatency + objective.throughput + objective.evictions;
            return sum > 0 ? objective.tailLatency / sum : equalWeight;
        }

        Thresholds thresholds(const Objective& objective) const
        {
            const double sum = std::max(objective.tailLatency + objective.throughput + objective.evictions, minWeightSum);
            const double tailWeight = std::max(objective.tailLatency / sum, minTailWeight);
            const double throttle = this->options.toleratedLogSlowdown * std::sqrt((1 - tailWeight) / tailWeight);
            const double evictionWeight = objective.evictions / sum / tailWeight;
            return { .throttle = throttle, .evict = throttle * this->options.evictionFactor * (1 + evictionWeight), .restore = throttle * this->options.restoreFactor };
        }

        // slowdown() is the expected log-slowdown of a service by the tasks that are not being evicted.
        static double slowdown(const WorkerSnapshot& snapshot, const ColocatedService& service)
        {
            double sum = 0;
            for (const ColocatedTask& task : snapshot.tasks) {
                if (task.level != MitigationLevel::Evicting)
                    sum += task.cpuShare * effectOn(service, task.batchClass).mean;
            }
            return sum;
        }

        std::optional<MitigationStep> throttleMostHarmful(const WorkerSnapshot& snapshot, const ColocatedService& service) const
        {
            const ColocatedTask* worst = nullptr;
            double worstEffect = this->options.negligibleLogSlowdown;
            for (const ColocatedTask& task : snapshot.tasks) {
                const double effect = effectOn(service, task.batchClass).mean;
                if (task.mayThrottle && effect > worstEffect) {
                    worst = &task;
                    worstEffect = effect;
                }
            }
            return worst ? std::optional(MitigationStep { worst->job, MitigationAction::Throttle }) : std::nullopt;
        }

        // evictMostBeneficial() evicts the task with the best ratio of removed slowdown to lost work.
        std::optional<MitigationStep> evictMostBeneficial(const WorkerSnapshot& snapshot, const ColocatedService& service) const
        {
            const ColocatedTask* best = nullptr;
            double bestBenefit = 0;
            for (const ColocatedTask& task : snapshot.tasks) {
                if (!task.mayEvict)
                    continue;
                const EffectEstimate effect = effectOn(service, task.batchClass);
                if (effect.mean - this->options.evictionConfidenceDeviations * effect.deviation <= this->options.negligibleLogSlowdown)
                    continue;
                const double benefit = effect.mean / (1 + toSeconds(task.costSinceCheckpoint) / halfBenefitCostSeconds);
                if (benefit > bestBenefit) {
                    best = &task;
                    bestBenefit = benefit;
                }
            }
            return best ? std::optional(MitigationStep { best->job, MitigationAction::Evict }) : std::nullopt;
        }

        // restoreLeastHarmful() lifts the throttle that slows the services least, if every service stays below `maxSlowdown`.
        std::optional<MitigationStep> restoreLeastHarmful(const WorkerSnapshot& snapshot, double maxSlowdown) const
        {
            const ColocatedTask* best = nullptr;
            double bestSlowdown = maxSlowdown;
            for (const ColocatedTask& task : snapshot.tasks) {
                if (!task.mayRestore)
                    continue;
                double slowdownAfterRestore = 0;
                for (const ColocatedService& service : snapshot.services)
                    slowdownAfterRestore = std::max(slowdownAfterRestore, slowdown(snapshot, service) + (1 - task.cpuShare) * effectOn(service, task.batchClass).mean);
                if (slowdownAfterRestore < bestSlowdown) {
                    best = &task;
                    bestSlowdown = slowdownAfterRestore;
                }
            }
            return best ? std::optional(MitigationStep { best->job, MitigationAction::Restore }) : std::nullopt;
        }

        static constexpr double equalWeight = 1.0 / 3; // of each of the three goals of an objective without weights
        static constexpr double minTailWeight = 0.05; // keeps the thresholds finite if tail latency has no weight
        static constexpr double minWeightSum = 1e-9; // avoids a division by zero
        static constexpr double halfBenefitCostSeconds = 60; // lost work that halves the benefit of an eviction

        InterferencePolicyOptions options;
    };

    template <typename Policy>
    std::unique_ptr<InterferencePolicy> make(InterferencePolicyOptions options)
    {
        return std::make_unique<Policy>(options);
    }

    using Factory = std::unique_ptr<InterferencePolicy> (*)(InterferencePolicyOptions);
    constexpr std::array<Factory, interferencePolicyNames.size()> factories { &make<NoMitigationPolicy>, &make<FixedCapPolicy>, &make<PairModelPolicy> };

} // namespace

std::unique_ptr<InterferencePolicy> makeInterferencePolicy(InterferencePolicyKind kind, InterferencePolicyOptions options)
{
    return factories[indexOf(kind)](options);
}

} // namespace dragonflytray
