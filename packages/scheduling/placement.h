#pragma once

// Where a task goes, and which runs make way for a more urgent one. Pure functions over the fleet.
//
// Example:
//
//     PlacementRequest request { .step = step, .bestEffortControl = bestEffortControl, .cell = cell, .service = service, .now = now };
//     if (FleetWorker* worker = chooseWorker(fleet, request)) { ... }

#include "scheduling/best_effort_control.h"
#include "scheduling/fleet.h"
#include <functional>

namespace dragonflytray {

// PlacementRequest is one task that looks for a worker.
struct PlacementRequest {
    const StepDefinition& step;
    const BestEffortControl& bestEffortControl;
    std::size_t image { BestEffortControl::unknownImage }; // number of the step's image there
    const CellName& cell;
    const ServiceName& service;
    Instant now;
    WorkerId avoidedWorker; // where the task failed before; empty: none
    bool avoidsFailingWorkers { false }; // keep away from workers whose last run failed
    bool mayIgnoreDataLocality { true }; // may run away from the rack that holds its data
    std::string rack; // empty: any; otherwise the only rack allowed
    std::function<std::uint32_t(const WorkerId&)> countRunsOfStep; // tasks of the step on a worker; may be empty
};

// needOf() is what a task of `step` takes of a worker's capacity.
TaskResources needOf(const StepDefinition& step);

// allocationOf() is what a task of `step` occupies.
RunAllocation allocationOf(const StepDefinition& step);

// chooseWorker() is the best worker with room, or null. Linear in the workers.
FleetWorker* chooseWorker(Fleet& fleet, const PlacementRequest& request);

// Eviction is one worker on which some runs have to stop, so that a task finds room.
struct Eviction {
    FleetWorker* worker { nullptr };
    std::vector<TaskRunId> victims;
};

// EvictionTerms say for whom runs may be stopped and what that costs.
struct EvictionTerms {
    int priority { 0 }; // of the task that needs room
    double restartCostSeconds { 0.3 }; // seconds of work that stopping a run with checkpoints costs
};

// chooseEviction() is the cheapest eviction that makes room, or nothing. Linear in workers and runs.
std::optional<Eviction> chooseEviction(Fleet& fleet, const PlacementRequest& request, const EvictionTerms& terms);

} // namespace dragonflytray
