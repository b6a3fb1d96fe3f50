#include "scheduling/placement.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Weight of data locality against free millicores: more than any worker has.
    constexpr double dataLocalityWeight = 1e9;

    // A best-effort task goes where it is predicted to harm least, and among equals where most cores are idle.
    constexpr double riskWeight = 50000; // millicores for a headroom of 1

    // A best-effort task that may start at a reduced speed goes where it may be fastest.
    constexpr double speedWeight = 2000; // millicores for a percent of speed

    // Workers on which few best-effort images are harmless come first, so that the others stay free for more images.
    constexpr double compatibilityWeight = 30000; // millicores; half a worker for a compatibility of 1

    // Serving tasks of one image share workers, so that best-effort tasks that harm them find workers without them.
    constexpr double sameImagePreference = 200000; // millicores; more than any worker has

    // A task that has failed goes to a worker whose last run failed only if no other one has room.
    constexpr double failingWorkerWeight = 4 * dataLocalityWeight;

    // A worker that is slow after its start gets tasks only when no other one has room near their data.
    constexpr double coldWeight = dataLocalityWeight;

    // The same holds for a worker that does worse than its peers: a probe costs its caller least while the task would wait otherwise.
    constexpr double unhealthyWeight = coldWeight;

    bool hasLabel(const FleetWorker& worker, const std::string& label)
    {
        const std::vector<std::string>& labels = worker.entry.labels;
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    // isExcluded() says whether the task avoids the worker because of failed runs.
    bool isExcluded(const FleetWorker& worker, const PlacementRequest& request)
    {
        if (worker.entry.id == request.avoidedWorker)
            return true;
        const bool isAvoided = request.avoidsFailingWorkers && worker.consecutiveFailures > 0;
        return isAvoided && request.now < std::max(worker.lastFailure, worker.cooldownUntil) + request.failureAvoidanceTimeout;
    }

    // isEligible() says whether the task may run on the worker, apart from room.
    bool isEligible(const FleetWorker& worker, const PlacementRequest& request)
    {
        if (!worker.acceptsTasks(request.now) || !worker.hasFillRoom(request.mayProbe && worker.mayProbe))
            return false;
        const StepDefinition& step = request.step;
        if (!step.requiredLabel.empty() && !hasLabel(worker, step.requiredLabel))
            return false;
        if (!request.mayIgnoreDataLocality && !hasLabel(worker, step.nearLabel))
            return false;
        if (!request.rack.empty() && worker.entry.rack != request.rack)
            return false;
        if (request.admits && !request.admits(worker))
            return false;
        if (isExcluded(worker, request))
            return false;
        return step.maxPerWorker == 0 || !request.countRunsOfStep || request.countRunsOfStep(worker.entry.id) < step.maxPerWorker;
    }

    bool hasRoom(const FleetWorker& worker, const TaskResources& need, const PlacementRequest& request)
    {
        if (!need.fitsIn(worker.availableResources()))
            return false;
        return !request.step.isBestEffort || request.bestEffortControl.admits(worker, request.image, request.step.need.millicores, request.minSpeedPercent);
    }

    double servingScore(const FleetWorker& worker, std::size_t image)
    {
        double score = static_cast<double>(worker.bestEffortMillicores);
        for (const ServingHeadroom& entry : worker.servingHeadrooms)
            score += entry.runs * (entry.image == image ? -sameImagePreference : sameImagePreference);
        return score;
    }

    double bestEffortScore(const FleetWorker& worker, const PlacementRequest& request)
    {
        const BestEffortControl& control = request.bestEffortControl;
        const std::int64_t millicores = request.step.need.millicores;
        const double score = control.risk(worker, request.image, millicores) * riskWeight + control.compatibility(worker) * compatibilityWeight - control.idleMillicores(worker);
        return request.minSpeedPercent == 100 ? score : score - control.harmlessPercent(worker, request.image, millicores) * speedWeight;
    }

    // placementScore() orders workers that have room; the least is the best.
    double placementScore(const FleetWorker& worker, const PlacementRequest& request)
    {
        const StepDefinition& step = request.step;
        double score = static_cast<double>(worker.availableResources().millicores);
        if (step.isBestEffort)
            score = bestEffortScore(worker, request);
        else if (step.latencyTarget > Duration(0))
            score += servingScore(worker, request.image);
        if (request.now < worker.coldUntil)
            score += coldWeight;
        if (worker.healthShare < 1)
            score += unhealthyWeight;
        if (!step.nearLabel.empty() && !hasLabel(worker, step.nearLabel))
            score += 2 * dataLocalityWeight;
        if (request.avoidsFailingWorkers && worker.consecutiveFailures > 0)
            score += failingWorkerWeight;
        return score;
    }

} // namespace

TaskResources needOf(const StepDefinition& step)
{
    TaskResources need = step.need;
    if (step.isBestEffort)
        need.millicores = 0;
    return need;
}

RunAllocation allocationOf(const StepDefinition& step)
{
    RunAllocation allocation;
    allocation.need = needOf(step);
    allocation.isBestEffort = step.isBestEffort;
    allocation.isServing = step.latencyTarget > Duration(0);
    allocation.latencyTarget = step.latencyTarget;
    allocation.image = step.image;
    allocation.isLongRunning = step.isLongRunning;
    allocation.isCheckpointing = step.isCheckpointing;
    allocation.isGang = step.isGang;
    allocation.isEvictable = !step.isGang && !step.isBestEffort && step.disruptionBudget == 0;
    allocation.bestEffortMillicores = step.isBestEffort ? step.need.millicores : 0;
    return allocation;
}

bool fitsOn(const FleetWorker& worker, const PlacementRequest& request)
{
    const bool isOfService = worker.cell == request.cell && worker.entry.service == request.service;
    return isOfService && hasRoom(worker, needOf(request.step), request) && isEligible(worker, request);
}

FleetWorker* chooseWorker(Fleet& fleet, const PlacementRequest& request)
{
    FleetWorker* best = nullptr;
    double bestScore = 0;
    const TaskResources need = needOf(request.step);
    for (FleetWorker* worker : fleet.workersOf(request.cell, request.service)) {
        if (!hasRoom(*worker, need, request) || !isEligible(*worker, request))
            continue;
        const double score = placementScore(*worker, request);
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

BestEffortRoom countBestEffortRoom(Fleet& fleet, const PlacementRequest& request)
{
    BestEffortRoom room;
    const TaskResources need = needOf(request.step);
    for (const FleetWorker* worker : fleet.workersOf(request.cell, request.service)) {
        if (!need.fitsIn(worker->availableResources()) || !isEligible(*worker, request))
            continue;
        const std::int64_t millicores = request.step.need.millicores;
        ++room.withMemory;
        room.withIdleCores += request.bestEffortControl.idleMillicores(*worker) >= static_cast<double>(millicores) ? 1 : 0;
        room.serving += worker->servingRuns > 0 ? 1 : 0;
        room.withReportedHeadroom += request.bestEffortControl.keepsReportedHeadroom(*worker, request.image, millicores) ? 1 : 0;
        room.withHeadroom += request.bestEffortControl.harmlessPercent(*worker, request.image, millicores) >= 100 ? 1 : 0;
    }
    return room;
}

namespace {

    // evictionCost() is the work lost by stopping a run, in millicore seconds; nothing if it must not be stopped for the
    // task.
    std::optional<double> evictionCost(const RunAllocation& allocation, const PlacementRequest& request, const EvictionTerms& terms)
    {
        if (!allocation.isEvictable || allocation.isStopping || allocation.firstConfirmedAt == Instant())
            return std::nullopt;
        const auto millicores = static_cast<double>(allocation.need.millicores);
        // A long-running task loses the time in which it is away. A short task of its own priority is worth more per core.
        if (allocation.isLongRunning) {
            const bool mayTakePlace = !request.step.isLongRunning || terms.mayReplaceLongRunning;
            return mayTakePlace && allocation.priority >= terms.priority && request.now >= allocation.returnedAt + terms.minLongRunningTime ? std::optional(millicores) : std::nullopt;
        }
        if (allocation.priority <= terms.priority)
            return std::nullopt;
        // A run without checkpoints loses all of its work; one with them only restarts elsewhere.
        const double lostSeconds = allocation.isCheckpointing ? terms.restartCostSeconds : toSeconds(request.now - allocation.firstConfirmedAt);
        return lostSeconds * millicores;
    }

    // Victim is a run that may be stopped, and the cost of that.
    struct Victim {
        double cost { 0 };
        const TaskRunId* run { nullptr };
        const RunAllocation* allocation { nullptr };
    };

    // findVictims() fills `victims` with the runs that have to stop, the cheapest first, and returns their cost; nothing
    // when stopping all that may be stopped makes too little room.
    std::optional<double> findVictims(const FleetWorker& worker, const PlacementRequest& request, const EvictionTerms& terms, std::vector<Victim>& victims)
    {
        const TaskResources need = needOf(request.step);
        TaskResources room = worker.availableResources();
        TaskResources maxRoom = room;
        victims.clear();
        for (const auto& [run, allocation] : worker.runs) {
            const auto cost = evictionCost(allocation, request, terms);
            const bool isBeingFreed = allocation.isStopping && !allocation.isRoomReserved;
            if (isBeingFreed)
                room += allocation.need;
            if (isBeingFreed || cost)
                maxRoom += allocation.need;
            if (cost)
                victims.push_back({ *cost, &run, &allocation });
        }
        if (!need.fitsIn(maxRoom))
            return std::nullopt;
        std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
        double totalCost = 0;
        std::size_t count = 0;
        for (; !need.fitsIn(room); ++count) {
            room += victims[count].allocation->need;
            totalCost += victims[count].cost;
        }
        victims.resize(count);
        return totalCost;
    }

    // reserveFreedRoom() marks the room that the eviction frees, so that no later search counts on it.
    void reserveFreedRoom(const Eviction& eviction)
    {
        for (auto& [run, allocation] : eviction.worker->runs)
            allocation.isRoomReserved = allocation.isRoomReserved || allocation.isStopping;
        for (const TaskRunId& run : eviction.victims)
            eviction.worker->runs.at(run).isRoomReserved = true;
    }

} // namespace

FleetWorker* chooseWorkerToClear(Fleet& fleet, const PlacementRequest& request, Duration maxRunTime)
{
    const TaskResources need = needOf(request.step);
    FleetWorker* best = nullptr;
    std::int64_t leastMissing = 0;
    for (FleetWorker* worker : fleet.workersOf(request.cell, request.service)) {
        if (!isEligible(*worker, request))
            continue;
        TaskResources maxRoom = worker->availableResources();
        for (const auto& [run, allocation] : worker->runs) {
            const bool mayEndSoon = allocation.firstConfirmedAt == Instant() || request.now < allocation.firstConfirmedAt + maxRunTime;
            if (!allocation.isLongRunning && mayEndSoon)
                maxRoom += allocation.need;
        }
        const std::int64_t missing = need.millicores - worker->availableResources().millicores;
        if (!need.fitsIn(maxRoom) || (best && missing >= leastMissing))
            continue;
        best = worker;
        leastMissing = missing;
    }
    return best;
}

std::optional<Eviction> chooseEviction(Fleet& fleet, const PlacementRequest& request, const EvictionTerms& terms)
{
    std::optional<Eviction> best;
    double bestCost = 0;
    std::vector<Victim> victims;
    for (FleetWorker* worker : fleet.workersOf(request.cell, request.service)) {
        if (!isEligible(*worker, request))
            continue;
        const auto cost = findVictims(*worker, request, terms, victims);
        if (!cost || (best && *cost >= bestCost))
            continue;
        bestCost = *cost;
        best = Eviction { worker, {} };
        for (const Victim& victim : victims)
            best->victims.push_back(*victim.run);
    }
    if (best)
        reserveFreedRoom(*best);
    return best;
}

} // namespace dragonflytray
