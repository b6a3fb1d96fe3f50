#pragma once

// The choice of a worker for a task, and of runs to evict for a more urgent task. Functions over the fleet that keep no
// state of their own.
//
// Example:
//
//     PlacementRequest request { .step = step, .bestEffortControl = control, .cell = cell, .service = service, .now = now };
//     if (FleetWorker* worker = chooseWorker(fleet, request)) { ... }

#include "scheduling/best_effort_control.h"
#include "scheduling/fleet.h"
#include <functional>

namespace dragonflytray {

// PlacementRequest is one task that needs a worker, and what restricts the choice.
struct PlacementRequest {
    const StepDefinition& step;
    const BestEffortControl& bestEffortControl;
    std::size_t image { BestEffortControl::unknownImage }; // the step's image, as BestEffortControl::imageNumber() gives it
    const CellName& cell;
    const ServiceName& service;
    Instant now;
    WorkerId avoidedWorker; // where the last run of the task failed; empty: none
    bool avoidsFailingWorkers { false }; // prefers workers whose last run did not fail
    Duration failureAvoidanceTimeout { 0 }; // for which it excludes the others after the failure, and after a cooldown
    bool mayIgnoreDataLocality { true }; // may run outside the rack that holds its data
    std::string rack; // the only rack allowed; empty: any
    std::function<std::uint32_t(const WorkerId&)> countRunsOfStep; // on a worker, for StepDefinition::maxPerWorker; may be empty
    std::function<bool(const FleetWorker&)> admits {}; // whether the task may be placed on a worker, apart from the rest; empty: on all
    int minSpeedPercent { 100 }; // of its full speed, below which a best-effort task is not started
    bool mayProbe { false }; // may be started on a worker that WorkerHealth probes
    bool isCrashSuspect { false }; // its failure to find a worker says nothing about other tasks
};

// needOf() is what a task of `step` reserves of a worker's capacity. A best-effort task reserves no processor.
TaskResources needOf(const StepDefinition& step);

// allocationOf() is the allocation of a new run of `step`, without its priority.
RunAllocation allocationOf(const StepDefinition& step);

// fitsOn() says whether the task may be started on the worker: it is of the cell and service and has room.
bool fitsOn(const FleetWorker& worker, const PlacementRequest& request);

// chooseWorker() is the best worker with room, or null. Linear in the workers of the cell and service.
FleetWorker* chooseWorker(Fleet& fleet, const PlacementRequest& request);

// BestEffortRoom is the number of workers on which a best-effort task meets each condition besides that of a reservation.
struct BestEffortRoom {
    std::int64_t withMemory { 0 }; // room for what it reserves
    std::int64_t withIdleCores { 0 };
    std::int64_t withHeadroom { 0 }; // no serving task is harmed
    std::int64_t withReportedHeadroom { 0 }; // the same by the last reports alone
    std::int64_t serving { 0 }; // serving tasks run there
};

// countBestEffortRoom() counts the workers that accept the task by the conditions that they meet. Linear in the workers of the cell
// and service.
BestEffortRoom countBestEffortRoom(Fleet& fleet, const PlacementRequest& request);

// chooseWorkerToClear() is the worker on which the fewest cores are missing, among those that have enough room once their short
// runs of less than `maxRunTime` have ended; null if there is none. Linear in the workers and runs of the cell and service.
FleetWorker* chooseWorkerToClear(Fleet& fleet, const PlacementRequest& request, Duration maxRunTime);

// Eviction is a worker on which some runs have to stop to make room for a task.
struct Eviction {
    FleetWorker* worker { nullptr };
    std::vector<TaskRunId> victims;
};

// EvictionTerms say which runs may be stopped and what that costs.
struct EvictionTerms {
    int priority { 0 }; // of the task that needs room; 0 comes first
    double restartCostSeconds { 0.3 }; // seconds of work lost when a run with checkpoints is stopped
    bool mayReplaceLongRunning { false }; // a long-running task may take the place of another one
    Duration minLongRunningTime { 0 }; // for which a long-running task has run since its last absence
};

// chooseEviction() is the eviction that makes room at the least cost, or nothing. The room is reserved: a later search
// does not count it again. Linear in the workers and runs of the cell and service.
std::optional<Eviction> chooseEviction(Fleet& fleet, const PlacementRequest& request, const EvictionTerms& terms);

} // namespace dragonflytray
