#include "scheduling/placement.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Weight of a preference against millicores left over: more than any worker has.
    constexpr double strongPreference = 1e9;

    // A fill goes where it harms least; among equals, where most cores are idle.
    constexpr double riskWeight = 50000; // millicores for a whole target of headroom

    // Serving tasks of one image gather, so that fills that harm them find workers without them.
    constexpr double sameImagePreference = 200000; // millicores; more than any worker has

    bool hasLabel(const FleetWorker& worker, const std::string& label)
    {
        const std::vector<std::string>& labels = worker.entry.labels;
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    // isEligible() says whether the task may run on the worker at all.
    bool isEligible(const FleetWorker& worker, const PlacementRequest& request)
    {
        if (worker.cell != request.cell || worker.entry.service != request.service || !worker.takesTasks(request.now))
            return false;
        const StepDefinition& step = request.step;
        if (!step.requiredLabel.empty() && !hasLabel(worker, step.requiredLabel))
            return false;
        if (!request.mayLeaveData && !hasLabel(worker, step.nearLabel))
            return false;
        if (!request.rack.empty() && worker.entry.rack != request.rack)
            return false;
        if (worker.entry.id == request.avoid || (request.avoidsFailing && worker.failuresInRow > 0))
            return false;
        return step.maxPerWorker == 0 || !request.sameStepRuns || request.sameStepRuns(worker.entry.id) < step.maxPerWorker;
    }

    bool hasRoom(const FleetWorker& worker, const PlacementRequest& request)
    {
        if (!chargeOf(request.step).need.fitsIn(worker.room()))
            return false;
        return !request.step.isFilling || request.fills.admits(worker, request.image, request.step.need.millicores);
    }

    double servingScore(const FleetWorker& worker, std::size_t image)
    {
        double score = static_cast<double>(worker.fillMillicores);
        for (const ServingHeadroom& entry : worker.servings)
            score += entry.runs * (entry.image == image ? -sameImagePreference : sameImagePreference);
        return score;
    }

    // leftOver() orders workers with room: the smaller, the better.
    double leftOver(const FleetWorker& worker, const PlacementRequest& request)
    {
        const StepDefinition& step = request.step;
        double score = static_cast<double>(worker.room().millicores);
        if (step.isFilling)
            score = request.fills.risk(worker, request.image, step.need.millicores) * riskWeight - request.fills.idleMillicores(worker);
        else if (step.latencyTarget > Duration(0))
            score += servingScore(worker, request.image);
        if (!step.nearLabel.empty() && !hasLabel(worker, step.nearLabel))
            score += 2 * strongPreference;
        return score;
    }

} // namespace

RunCharge chargeOf(const StepDefinition& step)
{
    RunCharge charge;
    charge.need = step.need;
    charge.isFilling = step.isFilling;
    charge.isServing = step.latencyTarget > Duration(0);
    charge.latencyTarget = step.latencyTarget;
    charge.image = step.image;
    if (step.isFilling) {
        charge.need.millicores = 0;
        charge.fillMillicores = step.need.millicores;
    }
    return charge;
}

FleetWorker* chooseWorker(Fleet& fleet, const PlacementRequest& request)
{
    FleetWorker* best = nullptr;
    double bestScore = 0;
    for (auto& [id, worker] : fleet.all()) {
        if (!isEligible(worker, request) || !hasRoom(worker, request))
            continue;
        const double score = leftOver(worker, request);
        if (!best || score < bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

namespace {

    // VictimList collects the cheapest runs of one worker until a need fits.
    struct VictimList {
        std::vector<TaskRunId> runs;
        double cost { 0 };
    };

    std::optional<VictimList> victimsOn(const FleetWorker& worker, const TaskResources& need, const EvictionCost& cost)
    {
        std::vector<std::pair<double, const TaskRunId*>> candidates;
        TaskResources room = worker.room();
        for (const auto& [run, charge] : worker.runs) {
            if (charge.isStopping) {
                room += charge.need;
                continue;
            }
            if (const auto price = cost(run))
                candidates.emplace_back(*price, &run);
        }
        std::sort(candidates.begin(), candidates.end());
        VictimList victims;
        for (const auto& [price, run] : candidates) {
            if (need.fitsIn(room))
                break;
            room += worker.runs.at(*run).need;
            victims.runs.push_back(*run);
            victims.cost += price;
        }
        if (!need.fitsIn(room))
            return std::nullopt;
        return victims;
    }

} // namespace

std::optional<Eviction> chooseEviction(Fleet& fleet, const PlacementRequest& request, const EvictionCost& cost)
{
    std::optional<Eviction> best;
    double bestCost = 0;
    const TaskResources need = chargeOf(request.step).need;
    for (auto& [id, worker] : fleet.all()) {
        if (!isEligible(worker, request))
            continue;
        auto victims = victimsOn(worker, need, cost);
        if (!victims || (best && victims->cost >= bestCost))
            continue;
        bestCost = victims->cost;
        best = Eviction { &worker, std::move(victims->runs) };
    }
    return best;
}

} // namespace dragonflytray
