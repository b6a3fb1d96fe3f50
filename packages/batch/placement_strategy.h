#pragma once

// Strategies that choose a worker for a task among those with enough free capacity. The strategy is selected by name,
// so that simple baselines can be compared with the production strategy in the same program.
//
// Example:
//
//     double cost = placementStrategy(PlacementPolicy::BestFit).cost({ .capacity = host.capacity, .free = free }, need);

#include "model/model.h"

namespace dragonflytray {

// PlacementPolicy identifies a placement strategy.
enum class PlacementPolicy {
    FirstFit, // the first worker in the order of names
    BestFit, // the worker with the least capacity left free
    Scored, // weighs spread over racks, capacity left free, interference and unused accelerators
};

inline constexpr NameTable placementPolicyNames { std::to_array<NameEntry<PlacementPolicy>>({
    { PlacementPolicy::FirstFit, "first-fit" },
    { PlacementPolicy::BestFit, "best-fit" },
    { PlacementPolicy::Scored, "scored" },
}) };
static_assert(placementPolicyNames.isWhole(PlacementPolicy::Scored));

// PlacementPenalty rates how much a task would slow other work on a worker. Called on the thread that owns `Batch`.
class PlacementPenalty {
public:
    virtual ~PlacementPenalty() = default;

    // penalty() is between 0, no interference, and 1, use the worker only when no other has room.
    virtual double penalty(const HostName& worker, const BatchClassName& batchClass) const = 0;
};

// PlacementCandidate is a worker with enough free capacity for the task.
struct PlacementCandidate {
    Capacity capacity;
    Capacity free;
    double rackShare { 0 }; // fraction of the data centre's tasks that run in the worker's rack
    double penalty { 0 }; // as returned by PlacementPenalty
};

// PlacementStrategy ranks candidates. Immutable, so safe to share between threads.
class PlacementStrategy {
public:
    virtual ~PlacementStrategy() = default;

    // cost() rates a candidate. The lowest cost wins, and the first candidate among equals. Constant time.
    virtual double cost(const PlacementCandidate& candidate, const Capacity& need) const = 0;
};

// placementStrategy() returns the strategy for `policy`. It lives as long as the program.
const PlacementStrategy& placementStrategy(PlacementPolicy policy);

} // namespace dragonflytray
