#include "scheduling/fill_control.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    // Reports carry no load of their own; the model's dependence on it stays at its middle.
    constexpr double assumedLoad = 0.5;

    // Requests behind one reported tail; only their order of magnitude matters to the model.
    constexpr std::uint64_t requestsInReport = 100;

    double logRatio(const RunCharge& charge)
    {
        const double tail = std::max(static_cast<double>(charge.load), 1.0);
        return std::log(tail / static_cast<double>(std::max<long long>(toMilliseconds(charge.latencyTarget), 1)));
    }

    bool isMeasured(const RunCharge& charge)
    {
        return charge.isServing && charge.load > 0 && !charge.isStopping;
    }

} // namespace

FillControl::FillControl(Options options)
    : options(options)
{
}

double FillControl::exposureOf(const RunCharge& charge) const
{
    return static_cast<double>(charge.fillMillicores) / 1000.0 / this->options.exposureCores * charge.pace / 100.0;
}

double FillControl::effectOf(const ImageName& serving, const ImageName& filling) const
{
    const auto found = this->estimators.find(serving);
    if (found == this->estimators.end())
        return PairEstimator::Options {}.priorEffect;
    return std::max(found->second.effect(BatchClassName(filling.value()), assumedLoad).mean, 0.0);
}

void FillControl::observe(FleetWorker& worker, Instant now)
{
    std::map<ImageName, double> exposures;
    for (const auto& [run, charge] : worker.runs) {
        if (!charge.isFilling)
            continue;
        const double age = std::clamp(toSeconds(now - charge.confirmedFirst) / toSeconds(this->options.window), 0.0, 1.0);
        exposures[charge.image] += age * this->exposureOf(charge);
    }
    LatencySample sample { .when = now, .count = requestsInReport, .load = assumedLoad, .exposures = {} };
    for (const auto& [image, weight] : exposures)
        sample.exposures.push_back({ BatchClassName(image.value()), weight });
    for (const auto& [run, charge] : worker.runs) {
        if (!isMeasured(charge))
            continue;
        sample.logLatency = std::log(static_cast<double>(charge.load));
        this->estimators.try_emplace(charge.image, PairEstimator::Options {}).first->second.observe(sample);
    }
    this->learnUsage(worker);
}

void FillControl::learnUsage(FleetWorker& worker) const
{
    std::int64_t reserved = 0;
    std::int64_t inUse = 0;
    double wanted = 0;
    for (const auto& [run, charge] : worker.runs) {
        reserved += charge.isServing ? charge.need.millicores : 0;
        if (!charge.isFilling)
            continue;
        inUse += charge.load;
        wanted += static_cast<double>(charge.fillMillicores) * charge.pace / 100.0;
    }
    constexpr double saturated = 0.9; // fills that get less than this of what they want find no idle cores
    if (reserved == 0 || wanted <= 0 || static_cast<double>(inUse) >= saturated * wanted)
        return;
    const auto others = static_cast<double>(worker.used.millicores - reserved);
    const double serving = static_cast<double>(worker.entry.capacity.millicores) - others - static_cast<double>(inUse);
    const double usage = std::clamp(serving / static_cast<double>(reserved), 0.0, 1.0);
    worker.servingUsage += this->options.usageGain * (usage - worker.servingUsage);
}

std::vector<PaceChange> FillControl::pacesFor(FleetWorker& worker)
{
    std::vector<PaceChange> changes;
    if (worker.fillMillicores == 0)
        return changes;
    double worst = std::log(this->options.relaxRatio) - 1;
    ImageName serving;
    for (const auto& [run, charge] : worker.runs) {
        if (isMeasured(charge) && logRatio(charge) > worst) {
            worst = logRatio(charge);
            serving = charge.image;
        }
    }
    if (worst > std::log(this->options.paceRatio))
        this->paceDown(worker, worst - std::log(this->options.admitRatio), serving, changes);
    else if (worst < std::log(this->options.relaxRatio))
        this->relax(worker, changes);
    return changes;
}

void FillControl::paceDown(FleetWorker& worker, double excess, const ImageName& serving, std::vector<PaceChange>& changes) const
{
    // The fills that weigh most are paced first, until the prediction is under the target.
    std::vector<std::pair<double, std::pair<const TaskRunId, RunCharge>*>> fills;
    for (auto& entry : worker.runs) {
        if (entry.second.isFilling && !entry.second.isStopping && entry.second.pace > this->options.lowestPace)
            fills.emplace_back(this->effectOf(serving, entry.second.image) * this->exposureOf(entry.second), &entry);
    }
    std::sort(fills.begin(), fills.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [effect, entry] : fills) {
        if (excess <= 0)
            return;
        const int before = entry->second.pace;
        entry->second.pace = this->options.lowestPace;
        excess -= effect * (before - this->options.lowestPace) / before;
        changes.push_back({ entry->first, entry->second.pace });
    }
}

void FillControl::relax(FleetWorker& worker, std::vector<PaceChange>& changes) const
{
    // One fill at a time, so that the next report shows what it did.
    for (auto& [run, charge] : worker.runs) {
        if (!charge.isFilling || charge.isStopping || charge.pace >= 100)
            continue;
        charge.pace = std::min(100, charge.pace + this->options.paceStep);
        changes.push_back({ run, charge.pace });
        return;
    }
}

double FillControl::idleMillicores(const FleetWorker& worker) const
{
    double idle = static_cast<double>(worker.entry.capacity.millicores - worker.used.millicores);
    for (const auto& [run, charge] : worker.runs) {
        if (charge.isServing)
            idle += static_cast<double>(charge.need.millicores) * (1 - worker.servingUsage);
    }
    return idle * this->options.overcommit - static_cast<double>(worker.fillMillicores);
}

bool FillControl::admits(const FleetWorker& worker, const ImageName& image, std::int64_t millicores) const
{
    if (this->idleMillicores(worker) < static_cast<double>(millicores))
        return false;
    RunCharge fill;
    fill.fillMillicores = millicores;
    const double limit = std::log(this->options.admitRatio);
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        const RunCharge& charge = entry.second;
        return !isMeasured(charge) || logRatio(charge) + this->effectOf(charge.image, image) * this->exposureOf(fill) <= limit;
    });
}

double FillControl::risk(const FleetWorker& worker, const ImageName& image, std::int64_t millicores) const
{
    RunCharge fill;
    fill.fillMillicores = millicores;
    double risk = -10; // no serving task: the best place for a fill
    for (const auto& [run, charge] : worker.runs) {
        if (charge.isServing)
            risk = std::max(risk, (charge.load > 0 ? logRatio(charge) : -1) + this->effectOf(charge.image, image) * this->exposureOf(fill));
    }
    return risk;
}

} // namespace dragonflytray
