#pragma once

// Policies that decide which tasks to throttle or evict and what a placement costs: the pair model and two baselines to
// compare it with.
//
// Example:
//
//     auto policy = makeInterferencePolicy(InterferencePolicyKind::PairModel, {});
//     std::optional<MitigationStep> step = policy->nextMitigation(snapshot);

#include "declarations/declarations.h"
#include "interference/interference_queries.h"
#include "interference/slowdown_estimator.h"
#include <memory>

namespace dragonflytray {

// MitigationLevel is the strongest measure in effect against one running task.
enum class MitigationLevel {
    Unthrottled, // may use all of its declared processors
    Throttled, // may use a fraction of its declared processors
    Evicting, // told to checkpoint and stop; its end has not been reported yet
};

inline constexpr NameTable mitigationLevelNames { std::to_array<NameEntry<MitigationLevel>>({
    { MitigationLevel::Unthrottled, "free" },
    { MitigationLevel::Throttled, "throttled" },
    { MitigationLevel::Evicting, "evicting" },
}) };
static_assert(mitigationLevelNames.isWhole(MitigationLevel::Evicting));

// MitigationAction is a transition between two mitigation levels.
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

// ColocatedTask is one batch task on a worker, with the actions that its level and the cooldowns allow now.
struct ColocatedTask {
    JobId job;
    BatchClassName batchClass;
    MitigationLevel level { MitigationLevel::Unthrottled };
    double cpuShare { 1 }; // fraction of its declared processors that it may use
    Duration costSinceCheckpoint { 0 }; // work that an eviction without checkpoint would lose
    bool mayThrottle { false };
    bool mayRestore { false };
    bool mayEvict { false };
};

// ColocatedService is one service with a runner on a worker.
struct ColocatedService {
    ServiceName service;
    double load { 0.5 }; // as last measured on the worker
    const SlowdownEstimator* estimator { nullptr }; // null if the service has no estimates; the prior applies then
};

// WorkerSnapshot is the input of a policy: the state of one worker.
struct WorkerSnapshot {
    Objective objective;
    std::vector<ColocatedService> services;
    std::vector<ColocatedTask> tasks;
};

// MitigationStep is one action on one task.
struct MitigationStep {
    JobId job;
    MitigationAction action { MitigationAction::Throttle };
};

// InterferencePolicyKind lists the policies.
enum class InterferencePolicyKind {
    None, // never throttles, evicts or avoids
    FixedCap, // keeps at most a fixed number of tasks beside a runner
    PairModel, // uses the estimated slowdown of each pair of service and batch class
};

inline constexpr NameTable interferencePolicyNames { std::to_array<NameEntry<InterferencePolicyKind>>({
    { InterferencePolicyKind::None, "none" },
    { InterferencePolicyKind::FixedCap, "fixed-cap" },
    { InterferencePolicyKind::PairModel, "pair-model" },
}) };
static_assert(interferencePolicyNames.isWhole(InterferencePolicyKind::PairModel));

// InterferencePolicyOptions are the settings of all policies; each reads its own.
struct InterferencePolicyOptions {
    std::size_t maxTasksBesideRunner { 2 }; // of FixedCap
    double toleratedLogSlowdown { 0.25 }; // at which tasks are throttled if tail latency has half the weight of the objective
    double evictionFactor { 2 }; // multiple of the throttling threshold above which to evict, before the weight of evictions raises it
    double restoreFactor { 0.7 }; // restore if the slowdown stays below this fraction of the throttling threshold
    double negligibleLogSlowdown { 0.08 }; // a task that causes no more is neither throttled, evicted nor avoided
    double evictionConfidenceDeviations { 1 }; // evict only if the estimate less this many standard deviations is not negligible
    double avoidanceConfidenceDeviations { 0.25 }; // avoid a placement only if the estimate less this many standard deviations is too high
    double costMarginDeviations { 0.25 }; // standard deviations added to the estimate in the cost of a placement
};

// InterferencePolicy decides about one worker at a time. Stateless and therefore thread-safe. Deterministic.
class InterferencePolicy {
public:
    virtual ~InterferencePolicy() = default;

    // penalty() is the cost of placing one more task of a class. Linear in services times tasks.
    virtual PlacementCost penalty(const WorkerSnapshot& snapshot, const BatchClassName& batchClass) const = 0;

    // nextMitigation() is the most useful step that is allowed now, or nothing. Linear in services times tasks.
    virtual std::optional<MitigationStep> nextMitigation(const WorkerSnapshot& snapshot) const = 0;
};

// makeInterferencePolicy() constructs the policy of a kind.
std::unique_ptr<InterferencePolicy> makeInterferencePolicy(InterferencePolicyKind kind, InterferencePolicyOptions options);

} // namespace dragonflytray
