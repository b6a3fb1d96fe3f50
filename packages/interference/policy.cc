#include "interference/policy.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    class None : public InterferencePolicy {
    public:
        explicit None(InterferencePolicyOptions) { }

        PlacementCost penalty(const WorkerSnapshot&, const BatchClassName&) const override { return {}; }
        std::optional<MitigationStep> nextStep(const WorkerSnapshot&) const override { return std::nullopt; }
    };

    // Counts the tasks that stay: those already told to stop free their places.
    std::size_t stayingTasks(const WorkerSnapshot& situation)
    {
        return static_cast<std::size_t>(std::count_if(situation.tasks.begin(), situation.tasks.end(), [](const ColocatedTask& task) { return task.rung != MitigationLevel::Evicting; }));
    }

    class FixedCap : public InterferencePolicy {
    public:
        explicit FixedCap(InterferencePolicyOptions options)
            : cap(options.fixedCap)
        {
        }

        PlacementCost penalty(const WorkerSnapshot& situation, const BatchClassName&) const override
        {
            return { .cost = 0, .deviation = 0, .isAvoided = !situation.services.empty() && stayingTasks(situation) >= this->cap };
        }

        std::optional<MitigationStep> nextStep(const WorkerSnapshot& situation) const override
        {
            if (situation.services.empty() || stayingTasks(situation) <= this->cap)
                return this->restoreOne(situation);
            const ColocatedTask* cheapest = nullptr;
            std::size_t throttled = 0;
            for (const ColocatedTask& task : situation.tasks) {
                throttled += task.rung == MitigationLevel::Throttled ? 1 : 0;
                if (task.mayEvict && (!cheapest || task.costSinceCheckpoint < cheapest->costSinceCheckpoint))
                    cheapest = &task;
            }
            if (cheapest)
                return MitigationStep { cheapest->job, MitigationAction::Evict };
            if (throttled < stayingTasks(situation) - this->cap)
                return this->throttleOne(situation);
            return std::nullopt;
        }

    private:
        static std::optional<MitigationStep> throttleOne(const WorkerSnapshot& situation)
        {
            for (const ColocatedTask& task : situation.tasks) {
                if (task.mayThrottle)
                    return MitigationStep { task.job, MitigationAction::Throttle };
            }
            return std::nullopt;
        }

        static std::optional<MitigationStep> restoreOne(const WorkerSnapshot& situation)
        {
            for (const ColocatedTask& task : situation.tasks) {
                if (task.mayRestore)
                    return MitigationStep { task.job, MitigationAction::Restore };
            }
            return std::nullopt;
        }

        std::size_t cap;
    };

    EffectEstimate effectOn(const ColocatedService& service, const BatchClassName& batchClass)
    {
        static const SlowdownEstimator prior({});
        return (service.estimator ? *service.estimator : prior).effect(batchClass, service.load);
    }

    // Thresholds are the log-slowdowns at which an objective calls for a step.
    struct Thresholds {
        double throttle { 0 };
        double evict { 0 };
        double restore { 0 };
    };

    class PairModel : public InterferencePolicy {
    public:
        explicit PairModel(InterferencePolicyOptions options)
            : options(options)
        {
        }

        PlacementCost penalty(const WorkerSnapshot& situation, const BatchClassName& batchClass) const override
        {
            const double tailWeight = this->tailShare(situation.objective);
            const double tolerance = this->thresholds(situation.objective).throttle;
            PlacementCost penalty;
            for (const ColocatedService& service : situation.services) {
                const EffectEstimate added = effectOn(service, batchClass);
                const double optimistic = std::max(added.mean - this->options.optimism * added.deviation, 0.0);
                penalty.cost += std::max(added.mean + this->options.riskAversion * added.deviation, 0.0) * tailWeight;
                penalty.deviation = std::hypot(penalty.deviation, added.deviation);
                const bool isNoticed = optimistic > this->options.negligibleEffect;
                penalty.isAvoided = penalty.isAvoided || (isNoticed && this->slowdown(situation, service) + optimistic > tolerance);
            }
            return penalty;
        }

        std::optional<MitigationStep> nextStep(const WorkerSnapshot& situation) const override
        {
            const Thresholds thresholds = this->thresholds(situation.objective);
            const ColocatedService* worst = nullptr;
            double worstSlowdown = 0;
            for (const ColocatedService& service : situation.services) {
                const double slowdown = this->slowdown(situation, service);
                if (!worst || slowdown > worstSlowdown) {
                    worst = &service;
                    worstSlowdown = slowdown;
                }
            }
            if (worst && worstSlowdown > thresholds.throttle) {
                if (auto step = this->throttleWorst(situation, *worst))
                    return step;
                return worstSlowdown > thresholds.evict ? this->evictCheapest(situation, *worst) : std::nullopt;
            }
            return this->restoreGentlest(situation, thresholds.restore);
        }

    private:
        static double tailShare(const Objective& objective)
        {
            const double sum = objective.tailLatency + objective.throughput + objective.evictions;
            return sum > 0 ? objective.tailLatency / sum : 1.0 / 3;
        }

        Thresholds thresholds(const Objective& objective) const
        {
            const double sum = std::max(objective.tailLatency + objective.throughput + objective.evictions, 1e-9);
            const double tail = std::max(objective.tailLatency / sum, 0.05);
            const double throttle = this->options.tolerance * std::sqrt((1 - tail) / tail);
            const double evictionWeight = objective.evictions / sum / tail;
            return { .throttle = throttle, .evict = throttle * this->options.evictionFactor * (1 + evictionWeight), .restore = throttle * this->options.restoreFactor };
        }

        // slowdown() is the expected log-slowdown of a service through the tasks that stay.
        static double slowdown(const WorkerSnapshot& situation, const ColocatedService& service)
        {
            double sum = 0;
            for (const ColocatedTask& task : situation.tasks) {
                if (task.rung != MitigationLevel::Evicting)
                    sum += task.share * effectOn(service, task.batchClass).mean;
            }
            return sum;
        }

        std::optional<MitigationStep> throttleWorst(const WorkerSnapshot& situation, const ColocatedService& service) const
        {
            const ColocatedTask* worst = nullptr;
            double worstEffect = this->options.negligibleEffect;
            for (const ColocatedTask& task : situation.tasks) {
                const double effect = effectOn(service, task.batchClass).mean;
                if (task.mayThrottle && effect > worstEffect) {
                    worst = &task;
                    worstEffect = effect;
                }
            }
            return worst ? std::optional(MitigationStep { worst->job, MitigationAction::Throttle }) : std::nullopt;
        }

        // evictCheapest() prefers much relief for little lost work.
        std::optional<MitigationStep> evictCheapest(const WorkerSnapshot& situation, const ColocatedService& service) const
        {
            const ColocatedTask* best = nullptr;
            double bestRelief = 0;
            for (const ColocatedTask& task : situation.tasks) {
                if (!task.mayEvict)
                    continue;
                const EffectEstimate effect = effectOn(service, task.batchClass);
                if (effect.mean - this->options.sureDeviations * effect.deviation <= this->options.negligibleEffect)
                    continue;
                const double relief = effect.mean / (1 + toSeconds(task.costSinceCheckpoint) / costScaleSeconds);
                if (relief > bestRelief) {
                    best = &task;
                    bestRelief = relief;
                }
            }
            return best ? std::optional(MitigationStep { best->job, MitigationAction::Evict }) : std::nullopt;
        }

        // restoreGentlest() lifts the throttle that costs least, if the worker stays well within bounds.
        std::optional<MitigationStep> restoreGentlest(const WorkerSnapshot& situation, double limit) const
        {
            const ColocatedTask* best = nullptr;
            double bestSlowdown = limit;
            for (const ColocatedTask& task : situation.tasks) {
                if (!task.mayRestore)
                    continue;
                double after = 0;
                for (const ColocatedService& service : situation.services)
                    after = std::max(after, slowdown(situation, service) + (1 - task.share) * effectOn(service, task.batchClass).mean);
                if (after < bestSlowdown) {
                    best = &task;
                    bestSlowdown = after;
                }
            }
            return best ? std::optional(MitigationStep { best->job, MitigationAction::Restore }) : std::nullopt;
        }

        static constexpr double costScaleSeconds = 60; // lost work that halves the worth of an eviction

        InterferencePolicyOptions options;
    };

    template <typename Strategy>
    std::unique_ptr<InterferencePolicy> make(InterferencePolicyOptions options)
    {
        return std::make_unique<Strategy>(options);
    }

    using Factory = std::unique_ptr<InterferencePolicy> (*)(InterferencePolicyOptions);
    constexpr std::array<Factory, interferencePolicyNames.size()> factories { &make<None>, &make<FixedCap>, &make<PairModel> };

} // namespace

std::unique_ptr<InterferencePolicy> makeInterferencePolicy(InterferencePolicyKind kind, InterferencePolicyOptions options)
{
    return factories[indexOf(kind)](options);
}

} // namespace dragonflytray
