#pragma once

// How a worker is chosen among those with room: small strategies, chosen by name, so that a baseline and the real
// thing run in the same program.
//
// Example:
//
//     double cost = placementStrategy(PlacementPolicy::BestFit).cost({ .capacity = host.capacity, .free = free }, need);

#include "model/model.h"

namespace dragonflytray {

// PlacementPolicy names the strategies.
enum class PlacementPolicy {
    FirstFit, // the first worker by name
    BestFit, // the worker with the least left over
    Scored, // rack spread, little left over, little interference
};

inline constexpr NameTable placementPolicyNames { std::to_array<NameEntry<PlacementPolicy>>({
    { PlacementPolicy::FirstFit, "first-fit" },
    { PlacementPolicy::BestFit, "best-fit" },
    { PlacementPolicy::Scored, "scored" },
}) };
static_assert(placementPolicyNames.isWhole(PlacementPolicy::Scored));

// PlacementPenalty adds what a placement does to the work beside it. Called on the thread of `Batch`.
class PlacementPenalty {
public:
    virtual ~PlacementPenalty() = default;

    // penalty() is 0 for a harmless pair and 1 for one to avoid while any other worker has room.
    virtual double penalty(const HostName& worker, const BatchClassName& batchClass) const = 0;
};

// PlacementCandidate is a worker with room for the task.
struct PlacementCandidate {
    Capacity capacity;
    Capacity free;
    double rackShare { 0 }; // share of the data centre's tasks that run in its rack
    double penalty { 0 }; // as PlacementPenalty says
};

// PlacementStrategy ranks candidates. Immutable, so safe to share between threads.
class PlacementStrategy {
public:
    virtual ~PlacementStrategy() = default;

    // cost() ranks a candidate: the lowest is taken, the first of equals. Constant time.
    virtual double cost(const PlacementCandidate& candidate, const Capacity& need) const = 0;
};

// placementStrategy() is the strategy of that name.
const PlacementStrategy& placementStrategy(PlacementPolicy policy);

} // namespace dragonflytray
