#pragma once

// Strategies against interference. The baselines run in the same program as the real one.
//
// Example:
//
//     auto policy = makeInterferencePolicy(InterferencePolicyKind::PairModel, {});
//     std::optional<MitigationStep> step = policy->nextStep(situation);

#include "declarations/declarations.h"
#include "interference/interference_queries.h"
#include "interference/slowdown_estimator.h"
#include <memory>

namespace dragonflytray {

// MitigationLevel is how far the measures against one running task have gone.
enum class MitigationLevel {
    Unthrottled, // runs with its whole share
    Throttled, // runs with a part of its share
    Evicting, // told to checkpoint and stop; the end is not reported
};

inline constexpr NameTable mitigationLevelNames { std::to_array<NameEntry<MitigationLevel>>({
    { MitigationLevel::Unthrottled, "free" },
    { MitigationLevel::Throttled, "throttled" },
    { MitigationLevel::Evicting, "evicting" },
}) };
static_assert(mitigationLevelNames.isWhole(MitigationLevel::Evicting));

// MitigationAction is one step up or down the ladder.
enum class MitigationAction {
    Throttle,
    Restore,
    Evict,
};

inline constexpr NameTable mitigationActionNames { std::to_array<NameEntry<MitigationAction>>({
    { MitigationAction::Throttle, "throttle" },
    { MitigationAction::Restore, "restore" },
    { MitigationAction::Evict, "evict" },
}) };
static_assert(mitigationActionNames.isWhole(MitigationAction::Evict));

// ColocatedTask is one batch task on a worker, with the move that its rung and the hysteresis allow now.
struct ColocatedTask {
    JobId job;
    BatchClassName batchClass;
    MitigationLevel rung { MitigationLevel::Unthrottled };
    double share { 1 };
    Duration costSinceCheckpoint { 0 };
    bool mayThrottle { false };
    bool mayRestore { false };
    bool mayEvict { false };
};

// ColocatedService is one service with a runner on a worker.
struct ColocatedService {
    ServiceName service;
    double load { 0.5 }; // as last measured there
    const SlowdownEstimator* estimator { nullptr }; // nothing: never measured
};

// WorkerSnapshot is what a strategy sees of one worker.
struct WorkerSnapshot {
    Objective objective;
    std::vector<ColocatedService> services;
    std::vector<ColocatedTask> tasks;
};

// MitigationStep is one move for one task.
struct MitigationStep {
    JobId job;
    MitigationAction move { MitigationAction::Throttle };
};

// InterferencePolicyKind names the strategies.
enum class InterferencePolicyKind {
    None, // ignores interference
    FixedCap, // at most a fixed number of tasks beside a runner
    PairModel, // follows the learned effects of pairs
};

inline constexpr NameTable interferencePolicyNames { std::to_array<NameEntry<InterferencePolicyKind>>({
    { InterferencePolicyKind::None, "none" },
    { InterferencePolicyKind::FixedCap, "fixed-cap" },
    { InterferencePolicyKind::PairModel, "pair-model" },
}) };
static_assert(interferencePolicyNames.isWhole(InterferencePolicyKind::PairModel));

// InterferencePolicyOptions are the settings of all strategies.
struct InterferencePolicyOptions {
    std::size_t fixedCap { 2 }; // tasks beside a runner
    double tolerance { 0.25 }; // log-slowdown borne when tail latency weighs as much as the rest
    double evictionFactor { 2 }; // evict beyond this many tolerances, before the weight of evictions
    double restoreFactor { 0.7 }; // restore below this share of the tolerance
    double negligibleEffect { 0.08 }; // log-slowdown of a task that is never worth a step
    double sureDeviations { 1 }; // evict only for an effect that is above zero by this much
    double optimism { 0.25 }; // deviations by which an uncertain class is given the benefit of the doubt
    double riskAversion { 0.25 }; // deviations added to the cost of a placement
};

// InterferencePolicy decides about one worker at a time. Stateless, so thread-safe. Deterministic.
class InterferencePolicy {
public:
    virtual ~InterferencePolicy() = default;

    // penalty() is the cost of one more task of a class. Linear in services times tasks.
    virtual PlacementCost penalty(const WorkerSnapshot& situation, const BatchClassName& batchClass) const = 0;

    // nextStep() is the most useful allowed step, or nothing. Linear in services times tasks.
    virtual std::optional<MitigationStep> nextStep(const WorkerSnapshot& situation) const = 0;
};

// makeInterferencePolicy() makes the strategy that `kind` names.
std::unique_ptr<InterferencePolicy> makeInterferencePolicy(InterferencePolicyKind kind, InterferencePolicyOptions options);

} // namespace dragonflytray
