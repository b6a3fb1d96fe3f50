#include "scheduling/best_effort_control.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    // Reports carry no load of their own; the model's dependence on it stays at its middle.
    constexpr double assumedLoad = 0.5;

    // Requests behind one reported tail; only their order of magnitude matters to the model.
    constexpr std::uint64_t requestsInReport = 100;

    bool isMeasured(const RunCharge& charge)
    {
        return charge.isServing && charge.load > 0 && !charge.isStopping;
    }

    // headroomOf() is target / tail: above 1 the target holds.
    double headroomOf(const RunCharge& charge)
    {
        return static_cast<double>(toMilliseconds(charge.latencyTarget)) / static_cast<double>(charge.load);
    }

} // namespace

BestEffortControl::BestEffortControl(Options options)
    : options(options)
{
}

double BestEffortControl::exposureOf(const FleetWorker& worker, std::int64_t millicores) const
{
    return static_cast<double>(millicores) / (static_cast<double>(worker.entry.capacity.millicores) * this->options.exposureShare);
}

double BestEffortControl::exposureOf(const FleetWorker& worker, const RunCharge& charge) const
{
    return this->exposureOf(worker, charge.bestEffortMillicores * charge.speedPercent / 100);
}

std::size_t BestEffortControl::numberOf(const ImageName& image)
{
    return this->numbers.try_emplace(image, this->numbers.size()).first->second;
}

double BestEffortControl::effectOf(std::size_t serving, std::size_t bestEffort) const
{
    if (serving >= this->effects.size() || bestEffort >= this->effects[serving].size())
        return PairEstimator::Options {}.priorEffect;
    return this->effects[serving][bestEffort];
}

void BestEffortControl::refreshEffects(std::size_t serving, const ImageName& image)
{
    const PairEstimator& estimator = this->estimators.at(image);
    if (this->effects.size() <= serving)
        this->effects.resize(serving + 1);
    std::vector<double>& row = this->effects[serving];
    for (const BatchClassName& name : estimator.classes()) {
        const std::size_t bestEffort = this->numberOf(ImageName(name.value()));
        if (row.size() <= bestEffort)
            row.resize(bestEffort + 1, PairEstimator::Options {}.priorEffect);
        row[bestEffort] = std::max(estimator.effect(name, assumedLoad).mean, 0.0);
    }
    if (this->opennesses.size() <= serving)
        this->opennesses.resize(serving + 1, 1.0);
    const auto harmless = std::count_if(estimator.classes().begin(), estimator.classes().end(), [&](const BatchClassName& name) { return row[this->numberOf(ImageName(name.value()))] < this->options.material; });
    this->opennesses[serving] = static_cast<double>(harmless) / static_cast<double>(std::max<std::size_t>(estimator.classes().size(), 1));
}

double BestEffortControl::openness(const FleetWorker& worker) const
{
    double least = 1;
    for (const ServingHeadroom& entry : worker.servings) {
        if (entry.image < this->opennesses.size())
            least = std::min(least, this->opennesses[entry.image]);
    }
    return least;
}

void BestEffortControl::summarize(FleetWorker& worker)
{
    worker.servings.clear();
    for (const auto& [run, charge] : worker.runs) {
        if (!charge.isServing)
            continue;
        const std::size_t image = this->numberOf(charge.image);
        auto found = std::find_if(worker.servings.begin(), worker.servings.end(), [&](const ServingHeadroom& entry) { return entry.image == image; });
        if (found == worker.servings.end())
            found = worker.servings.insert(found, { .image = image });
        ++found->runs;
        if (isMeasured(charge) && (found->headroom == 0 || headroomOf(charge) < found->headroom))
            found->headroom = headroomOf(charge);
        if (charge.worstAlone > 0 && (found->worstAlone == 0 || charge.worstAlone < found->worstAlone))
            found->worstAlone = charge.worstAlone;
    }
    for (ServingHeadroom& entry : worker.servings)
        entry.taken = this->takenFrom(worker, entry.image);
}

double BestEffortControl::takenFrom(const FleetWorker& worker, std::size_t serving) const
{
    double taken = 0;
    for (const auto& [run, charge] : worker.runs) {
        const auto number = charge.isBestEffort ? this->numbers.find(charge.image) : this->numbers.end();
        if (number != this->numbers.end())
            taken += this->effectOf(serving, number->second) * this->exposureOf(worker, charge);
    }
    return taken;
}

const ServingHeadroom* BestEffortControl::summaryOf(const FleetWorker& worker, const ImageName& image) const
{
    const auto number = this->numbers.find(image);
    if (number == this->numbers.end())
        return nullptr;
    const auto found = std::find_if(worker.servings.begin(), worker.servings.end(), [&](const ServingHeadroom& entry) { return entry.image == number->second; });
    return found == worker.servings.end() ? nullptr : &*found;
}

void BestEffortControl::trackWorst(FleetWorker& worker, Instant now) const
{
    const double forgotten = this->options.recovery * std::clamp(toSeconds(now - worker.observedAt), 0.0, 1.0);
    for (auto& [run, charge] : worker.runs) {
        const ServingHeadroom* summary = isMeasured(charge) ? this->summaryOf(worker, charge.image) : nullptr;
        if (!summary)
            continue;
        const double alone = headroomOf(charge) + summary->taken;
        charge.worstAlone = charge.worstAlone == 0 ? alone : std::min(alone, charge.worstAlone + forgotten);
    }
    worker.observedAt = now;
}

void BestEffortControl::observe(FleetWorker& worker, Instant now)
{
    this->summarize(worker);
    if (worker.serving == 0)
        return;
    BestEffortSample sample { .at = now };
    for (const auto& [run, charge] : worker.runs) {
        if (charge.isBestEffort)
            sample.exposures[charge.image] += this->exposureOf(worker, std::max<std::int64_t>(charge.load, 0));
        else if (isMeasured(charge))
            sample.headrooms[run] = headroomOf(charge);
    }
    this->learnUsage(worker, now);
    this->trackWorst(worker, now);
    const Duration age = now - worker.bestEffortSample.at;
    if (age < this->options.window / 2)
        return;
    if (age <= 2 * this->options.window)
        this->learn(worker, sample);
    worker.bestEffortSample = std::move(sample);
    this->summarize(worker);
}

void BestEffortControl::learn(const FleetWorker& worker, const BestEffortSample& sample)
{
    std::map<ImageName, double> changes = sample.exposures;
    for (const auto& [image, exposure] : worker.bestEffortSample.exposures)
        changes[image] -= exposure;
    LatencySample difference { .when = sample.at, .logLatency = 0, .count = requestsInReport, .load = assumedLoad, .exposures = {} };
    for (const auto& [image, change] : changes)
        difference.exposures.push_back({ BatchClassName(image.value()), change });
    std::map<std::size_t, ImageName> learned;
    for (const auto& [run, headroom] : sample.headrooms) {
        const auto before = worker.bestEffortSample.headrooms.find(run);
        if (before == worker.bestEffortSample.headrooms.end())
            continue;
        difference.logLatency = before->second - headroom;
        const ImageName& image = worker.runs.at(run).image;
        this->estimators.try_emplace(image, PairEstimator::Options {}).first->second.observe(difference);
        learned[this->numberOf(image)] = image;
    }
    for (const auto& [number, image] : learned)
        this->refreshEffects(number, image);
}

void BestEffortControl::learnUsage(FleetWorker& worker, Instant now) const
{
    double inUse = 0;
    double wanted = 0;
    for (const auto& [run, charge] : worker.runs) {
        if (!charge.isBestEffort || now < charge.confirmedFirst + 2 * this->options.window)
            continue;
        inUse += static_cast<double>(charge.load);
        wanted += static_cast<double>(charge.bestEffortMillicores) * charge.speedPercent / 100.0;
    }
    // What one best-effort task uses swings by itself; only several that all get far too little show that nothing is idle.
    const bool isStarved = wanted >= this->options.starvedMillicores && inUse < this->options.starvedShare * wanted;
    const double goal = isStarved ? 1.0 : this->options.usagePrior;
    worker.servingUsage += this->options.usageGain * (goal - worker.servingUsage);
}

std::vector<SpeedChange> BestEffortControl::speedChangesFor(FleetWorker& worker, Instant now)
{
    std::vector<SpeedChange> changes;
    if (worker.bestEffortMillicores == 0 || worker.serving == 0)
        return changes;
    double least = std::numeric_limits<double>::infinity();
    std::size_t serving = unknownImage;
    for (const ServingHeadroom& entry : worker.servings) {
        if (entry.headroom == 0 || entry.headroom >= least)
            continue;
        least = entry.headroom;
        serving = entry.image;
    }
    if (least >= 1)
        worker.missedSince = {};
    else if (worker.missedSince == Instant())
        worker.missedSince = now;
    const bool isMissedLong = least < 1 && now >= worker.missedSince + this->options.missLimit;
    if (isMissedLong) // whatever the model says, the best-effort tasks have to make room
        this->slowDown(worker, std::numeric_limits<double>::infinity(), 0, serving, changes);
    else if (least < this->options.throttleHeadroom)
        this->slowDown(worker, this->options.admitHeadroom - least, this->options.material / 2, serving, changes);
    else
        this->relax(worker, changes);
    return changes;
}

void BestEffortControl::slowDown(FleetWorker& worker, double missing, double least, std::size_t serving, std::vector<SpeedChange>& changes)
{
    // The best-effort tasks that weigh most are slowed first, until the predicted headroom is back.
    std::vector<std::pair<double, std::pair<const TaskRunId, RunCharge>*>> candidates;
    for (auto& entry : worker.runs) {
        const RunCharge& charge = entry.second;
        if (charge.isBestEffort && !charge.isStopping && charge.speedPercent > this->options.minSpeedPercent)
            candidates.emplace_back(this->effectOf(serving, this->numberOf(charge.image)) * this->exposureOf(worker, charge), &entry);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [effect, entry] : candidates) {
        if (missing <= 0 || effect < least)
            return;
        const int before = entry->second.speedPercent;
        const double kept = std::isinf(missing) ? 0 : 1 - missing / effect;
        entry->second.speedPercent = std::max(this->options.minSpeedPercent, static_cast<int>(before * kept));
        missing -= effect * (before - entry->second.speedPercent) / before;
        changes.push_back({ entry->first, entry->second.speedPercent });
    }
}

void BestEffortControl::relax(FleetWorker& worker, std::vector<SpeedChange>& changes)
{
    for (auto& [run, charge] : worker.runs) {
        if (!charge.isBestEffort || charge.isStopping || charge.speedPercent >= 100)
            continue;
        const int faster = std::min(100, charge.speedPercent + this->options.speedStepPercent);
        const std::int64_t more = charge.bestEffortMillicores * (faster - charge.speedPercent) / 100;
        const std::size_t image = this->numberOf(charge.image);
        if (!this->mayRelax(worker, image, more))
            continue;
        charge.speedPercent = faster;
        changes.push_back({ run, charge.speedPercent });
        for (ServingHeadroom& entry : worker.servings)
            entry.headroom -= this->effectOf(entry.image, image) * this->exposureOf(worker, more);
    }
}

bool BestEffortControl::mayRelax(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    return std::all_of(worker.servings.begin(), worker.servings.end(), [&](const ServingHeadroom& entry) {
        return entry.headroom - this->effectOf(entry.image, image) * exposure >= this->options.admitHeadroom;
    });
}

bool BestEffortControl::keepsHeadroom(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    return std::all_of(worker.servings.begin(), worker.servings.end(), [&](const ServingHeadroom& entry) {
        const double effect = this->effectOf(entry.image, image) * exposure;
        return effect < this->options.material || entry.worstAlone - entry.taken - effect >= this->options.admitHeadroom;
    });
}

bool BestEffortControl::isTight(const FleetWorker& worker) const
{
    if (worker.bestEffortMillicores == 0)
        return false;
    return std::any_of(worker.servings.begin(), worker.servings.end(), [&](const ServingHeadroom& entry) { return entry.headroom < this->options.tightHeadroom; });
}

double BestEffortControl::idleMillicores(const FleetWorker& worker) const
{
    const double idle = static_cast<double>(worker.entry.capacity.millicores - worker.used.millicores) + static_cast<double>(worker.servingMillicores) * (1 - worker.servingUsage);
    return idle * this->options.overcommit - static_cast<double>(worker.bestEffortMillicores);
}

bool BestEffortControl::admits(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    return this->idleMillicores(worker) >= static_cast<double>(millicores) && this->keepsHeadroom(worker, image, millicores);
}

double BestEffortControl::risk(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    double risk = 0;
    for (const ServingHeadroom& entry : worker.servings)
        risk += entry.runs * this->effectOf(entry.image, image) * exposure;
    return risk;
}

} // namespace dragonflytray
