#include "scheduling/best_effort_control.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    // Reports do not say how much load a serving task has, so the model is used at the middle of its range of load.
    constexpr double assumedLoad = 0.5;

    // Requests behind one reported tail latency. Only the order of magnitude matters to the model.
    constexpr std::uint64_t requestsInReport = 100;

    bool isMeasured(const RunAllocation& allocation)
    {
        return allocation.isServing && allocation.load > 0 && !allocation.isStopping;
    }

    // headroomOf() is latency target / tail latency. Above 1 the target holds.
    double headroomOf(const RunAllocation& allocation)
    {
        return static_cast<double>(toMilliseconds(allocation.latencyTarget)) / static_cast<double>(allocation.load);
    }

    bool isThrottled(const RunAllocation& allocation)
    {
        return allocation.isBestEffort && allocation.speedPercent < 100;
    }

    bool hasThrottledRun(const FleetWorker& worker)
    {
        return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& entry) { return isThrottled(entry.second); });
    }

} // namespace

BestEffortControl::BestEffortControl(Options options)
    : options(options)
{
}

double BestEffortControl::exposureOf(const FleetWorker& worker, std::int64_t millicores) const
{
    return static_cast<double>(millicores) / (static_cast<double>(worker.entry.capacity.millicores) * this->options.fullExposureShare);
}

double BestEffortControl::exposureOf(const FleetWorker& worker, const RunAllocation& allocation) const
{
    return this->exposureOf(worker, allocation.bestEffortMillicores * allocation.speedPercent / 100);
}

std::size_t BestEffortControl::imageNumber(const ImageName& image)
{
    return this->imageNumbers.try_emplace(image, this->imageNumbers.size()).first->second;
}

double BestEffortControl::effectOf(std::size_t serving, std::size_t bestEffort) const
{
    if (serving >= this->effects.size() || bestEffort >= this->effects[serving].size())
        return SlowdownEstimator::Options {}.priorEffect;
    return this->effects[serving][bestEffort];
}

void BestEffortControl::refreshEffects(std::size_t serving, const ImageName& image)
{
    const SlowdownEstimator& estimator = this->estimators.at(image);
    if (this->effects.size() <= serving)
        this->effects.resize(serving + 1);
    std::vector<double>& row = this->effects[serving];
    for (const BatchClassName& name : estimator.classes()) {
        const std::size_t bestEffort = this->imageNumber(ImageName(name.value()));
        if (row.size() <= bestEffort)
            row.resize(bestEffort + 1, SlowdownEstimator::Options {}.priorEffect);
        row[bestEffort] = std::max(estimator.effect(name, assumedLoad).mean, 0.0);
    }
    if (this->compatibilities.size() <= serving)
        this->compatibilities.resize(serving + 1, 1.0);
    const auto harmless = std::count_if(estimator.classes().begin(), estimator.classes().end(), [&](const BatchClassName& name) { return row[this->imageNumber(ImageName(name.value()))] < this->options.harmfulEffect; });
    this->compatibilities[serving] = static_cast<double>(harmless) / static_cast<double>(std::max<std::size_t>(estimator.classes().size(), 1));
}

double BestEffortControl::compatibility(const FleetWorker& worker) const
{
    double least = 1;
    for (const ServingHeadroom& entry : worker.servingHeadrooms) {
        if (entry.image < this->compatibilities.size())
            least = std::min(least, this->compatibilities[entry.image]);
    }
    return least;
}

void BestEffortControl::summarizeServing(FleetWorker& worker)
{
    worker.servingHeadrooms.clear();
    for (const auto& [run, allocation] : worker.runs) {
        if (!allocation.isServing)
            continue;
        const std::size_t image = this->imageNumber(allocation.image);
        auto found = std::find_if(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) { return entry.image == image; });
        if (found == worker.servingHeadrooms.end())
            found = worker.servingHeadrooms.insert(found, { .image = image });
        ++found->runs;
        if (isMeasured(allocation) && (found->headroom == 0 || headroomOf(allocation) < found->headroom))
            found->headroom = headroomOf(allocation);
        if (allocation.minHeadroomAlone > 0 && (found->minHeadroomAlone == 0 || allocation.minHeadroomAlone < found->minHeadroomAlone))
            found->minHeadroomAlone = allocation.minHeadroomAlone;
    }
    for (ServingHeadroom& entry : worker.servingHeadrooms)
        entry.predictedLoss = this->predictedLossOf(worker, entry.image);
}

double BestEffortControl::predictedLossOf(const FleetWorker& worker, std::size_t serving) const
{
    double predictedLoss = 0;
    for (const auto& [run, allocation] : worker.runs) {
        const auto number = allocation.isBestEffort ? this->imageNumbers.find(allocation.image) : this->imageNumbers.end();
        if (number != this->imageNumbers.end())
            predictedLoss += this->effectOf(serving, number->second) * this->exposureOf(worker, allocation);
    }
    return predictedLoss;
}

const ServingHeadroom* BestEffortControl::summaryOf(const FleetWorker& worker, const ImageName& image) const
{
    const auto number = this->imageNumbers.find(image);
    if (number == this->imageNumbers.end())
        return nullptr;
    const auto found = std::find_if(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) { return entry.image == number->second; });
    return found == worker.servingHeadrooms.end() ? nullptr : &*found;
}

void BestEffortControl::updateMinHeadrooms(FleetWorker& worker, Instant now) const
{
    const double recovered = this->options.minHeadroomRecovery * std::clamp(toSeconds(now - worker.observedAt), 0.0, 1.0);
    for (auto& [run, allocation] : worker.runs) {
        const ServingHeadroom* summary = isMeasured(allocation) ? this->summaryOf(worker, allocation.image) : nullptr;
        if (!summary)
            continue;
        const double headroomAlone = headroomOf(allocation) + summary->predictedLoss;
        allocation.minHeadroomAlone = allocation.minHeadroomAlone == 0 ? headroomAlone : std::min(headroomAlone, allocation.minHeadroomAlone + recovered);
    }
    worker.observedAt = now;
}

void BestEffortControl::observe(FleetWorker& worker, Instant now)
{
    this->summarizeServing(worker);
    if (worker.servingRuns == 0)
        return;
    BestEffortSample sample { .at = now };
    for (const auto& [run, allocation] : worker.runs) {
        if (allocation.isBestEffort)
            sample.exposures[allocation.image] += this->exposureOf(worker, std::max<std::int64_t>(allocation.load, 0));
        else if (isMeasured(allocation))
            sample.headrooms[run] = headroomOf(allocation);
    }
    this->learnUsage(worker, now);
    this->updateMinHeadrooms(worker, now);
    const Duration age = now - worker.bestEffortSample.at;
    if (age < this->options.reportInterval / 2)
        return;
    if (age <= 2 * this->options.reportInterval)
        this->learn(worker, sample);
    worker.bestEffortSample = std::move(sample);
    this->summarizeServing(worker);
}

void BestEffortControl::learn(const FleetWorker& worker, const BestEffortSample& sample)
{
    std::map<ImageName, double> changes = sample.exposures;
    for (const auto& [image, exposure] : worker.bestEffortSample.exposures)
        changes[image] -= exposure;
    LatencySample difference { .when = sample.at, .logLatency = 0, .count = requestsInReport, .load = assumedLoad, .exposures = {} };
    double largestChange = 0;
    for (const auto& [image, change] : changes) {
        difference.exposures.push_back({ BatchClassName(image.value()), change });
        largestChange = std::max(largestChange, std::abs(change));
    }
    std::map<std::size_t, ImageName> learned;
    for (const auto& [run, headroom] : sample.headrooms) {
        const auto before = worker.bestEffortSample.headrooms.find(run);
        if (before == worker.bestEffortSample.headrooms.end())
            continue;
        const ImageName& image = worker.runs.at(run).image;
        const std::size_t number = this->imageNumber(image);
        if (largestChange < this->options.informativeChange && !this->takeRoutineSample(number, sample.at))
            continue;
        difference.logLatency = before->second - headroom;
        this->estimators.try_emplace(image, SlowdownEstimator::Options {}).first->second.observe(difference);
        ++this->samples;
        learned[number] = image;
    }
    for (const auto& [number, image] : learned)
        this->refreshEffects(number, image);
}

bool BestEffortControl::takeRoutineSample(std::size_t serving, Instant now)
{
    if (this->routineSamples.size() <= serving)
        this->routineSamples.resize(serving + 1);
    RoutineSamples& current = this->routineSamples[serving];
    if (now >= current.begin + std::chrono::seconds(1))
        current = { .begin = now };
    if (current.count >= this->options.maxRoutineSamplesPerSecond)
        return false;
    ++current.count;
    return true;
}

void BestEffortControl::learnUsage(FleetWorker& worker, Instant now) const
{
    double inUse = 0;
    double wanted = 0;
    for (const auto& [run, allocation] : worker.runs) {
        if (!allocation.isBestEffort || now < allocation.firstConfirmedAt + 2 * this->options.reportInterval)
            continue;
        inUse += static_cast<double>(allocation.load);
        wanted += static_cast<double>(allocation.bestEffortMillicores) * allocation.speedPercent / 100.0;
    }
    // What one best-effort task uses varies by itself. Only several that get far too little show that no core is idle.
    const bool areStarved = wanted >= this->options.starvedMillicores && inUse < this->options.starvedShare * wanted;
    const double targetUsage = areStarved ? 1.0 : this->options.assumedServingUsage;
    worker.servingUsage += this->options.servingUsageGain * (targetUsage - worker.servingUsage);
}

std::vector<SpeedChange> BestEffortControl::speedChangesFor(FleetWorker& worker, Instant now)
{
    std::vector<SpeedChange> changes;
    if (worker.bestEffortMillicores == 0) {
        worker.targetMissedSince = {};
        return changes;
    }
    const ScarcestHeadroom scarcest = scarcestHeadroom(worker);
    const double least = scarcest.headroom;
    const bool isMissed = scarcest.isMissed();
    if (least >= this->options.throttleHeadroom)
        worker.targetMissedSince = {};
    else if (isMissed && worker.targetMissedSince == Instant())
        worker.targetMissedSince = now;
    const bool isMissedTooLong = isMissed && now >= worker.targetMissedSince + this->options.missedTargetTimeout;
    if (isMissedTooLong) // throttle all of them, whatever the model predicts
        this->slowDown(worker, std::numeric_limits<double>::infinity(), 0, scarcest.serving, changes);
    else if (least < this->options.throttleHeadroom)
        this->slowDown(worker, this->options.admissionHeadroom - least, this->options.harmfulEffect / 2, scarcest.serving, changes);
    else
        this->speedUp(worker, changes);
    for (SpeedChange& change : changes)
        change.headroom = least;
    return changes;
}

BestEffortControl::ScarcestHeadroom BestEffortControl::scarcestHeadroom(const FleetWorker& worker)
{
    ScarcestHeadroom scarcest;
    for (const ServingHeadroom& entry : worker.servingHeadrooms) {
        if (entry.headroom > 0 && entry.headroom < scarcest.headroom)
            scarcest = { .headroom = entry.headroom, .serving = entry.image };
    }
    return scarcest;
}

std::vector<TaskRunId> BestEffortControl::runsToStop(const FleetWorker& worker, Instant now) const
{
    const ScarcestHeadroom scarcest = scarcestHeadroom(worker);
    const bool isUnrelieved = worker.targetMissedSince != Instant() && now >= worker.targetMissedSince + this->options.unrelievedMissTimeout;
    if (!isUnrelieved || !scarcest.isMissed() || scarcest.headroom < this->options.unrelievedMissHeadroom)
        return {};
    std::vector<std::pair<double, TaskRunId>> candidates;
    for (const auto& [run, allocation] : worker.runs) {
        if (!allocation.isBestEffort || allocation.isStopping)
            continue;
        if (allocation.speedPercent > this->options.minSpeedPercent)
            return {};
        const auto number = this->imageNumbers.find(allocation.image);
        const std::size_t image = number == this->imageNumbers.end() ? unknownImage : number->second;
        candidates.emplace_back(this->effectOf(scarcest.serving, image) * this->exposureOf(worker, allocation), run);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    candidates.resize((candidates.size() + 1) / 2);
    std::vector<TaskRunId> runs;
    runs.reserve(candidates.size());
    for (const auto& [effect, run] : candidates)
        runs.push_back(run);
    return runs;
}

void BestEffortControl::slowDown(FleetWorker& worker, double missingHeadroom, double minEffect, std::size_t serving, std::vector<SpeedChange>& changes)
{
    // The tasks with the largest effect are throttled first, until the predicted headroom suffices.
    std::vector<std::pair<double, std::pair<const TaskRunId, RunAllocation>*>> candidates;
    for (auto& entry : worker.runs) {
        const RunAllocation& allocation = entry.second;
        if (allocation.isBestEffort && !allocation.isStopping && allocation.speedPercent > this->options.minSpeedPercent)
            candidates.emplace_back(this->effectOf(serving, this->imageNumber(allocation.image)) * this->exposureOf(worker, allocation), &entry);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [effect, entry] : candidates) {
        if (missingHeadroom <= 0 || effect < minEffect)
            return;
        const int before = entry->second.speedPercent;
        const double remainingShare = std::isinf(missingHeadroom) ? 0 : 1 - missingHeadroom / effect;
        entry->second.speedPercent = std::max(this->options.minSpeedPercent, static_cast<int>(before * remainingShare));
        missingHeadroom -= effect * (before - entry->second.speedPercent) / before;
        changes.push_back({ .run = entry->first, .percent = entry->second.speedPercent });
    }
}

void BestEffortControl::speedUp(FleetWorker& worker, std::vector<SpeedChange>& changes)
{
    for (auto& [run, allocation] : worker.runs) {
        if (!allocation.isBestEffort || allocation.isStopping || allocation.speedPercent >= 100)
            continue;
        const int newPercent = std::min(100, allocation.speedPercent + this->options.speedStepPercent);
        const std::int64_t addedMillicores = allocation.bestEffortMillicores * (newPercent - allocation.speedPercent) / 100;
        const std::size_t image = this->imageNumber(allocation.image);
        if (!this->maySpeedUp(worker, image, addedMillicores))
            continue;
        allocation.speedPercent = newPercent;
        changes.push_back({ .run = run, .percent = allocation.speedPercent });
        for (ServingHeadroom& entry : worker.servingHeadrooms)
            entry.headroom -= this->effectOf(entry.image, image) * this->exposureOf(worker, addedMillicores);
    }
}

bool BestEffortControl::maySpeedUp(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    return std::all_of(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) {
        return entry.headroom - this->effectOf(entry.image, image) * exposure >= this->options.admissionHeadroom;
    });
}

double BestEffortControl::harmlessShare(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    double share = 1;
    for (const ServingHeadroom& entry : worker.servingHeadrooms) {
        const double effect = this->effectOf(entry.image, image) * exposure;
        if (effect >= this->options.harmfulEffect)
            share = std::min(share, (entry.minHeadroomAlone - entry.predictedLoss - this->options.admissionHeadroom) / effect);
    }
    return std::max(share, 0.0);
}

int BestEffortControl::harmlessPercent(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    return std::max(static_cast<int>(100 * this->harmlessShare(worker, image, millicores)), this->options.minSpeedPercent);
}

bool BestEffortControl::keepsReportedHeadroom(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    return std::all_of(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) {
        const double effect = this->effectOf(entry.image, image) * exposure;
        return effect < this->options.harmfulEffect || entry.headroom - effect >= this->options.admissionHeadroom;
    });
}

bool BestEffortControl::isHeadroomLow(const FleetWorker& worker) const
{
    if (worker.bestEffortMillicores == 0)
        return false;
    return std::any_of(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) { return entry.headroom < this->options.lowHeadroom; });
}

double BestEffortControl::idleMillicores(const FleetWorker& worker) const
{
    const double idle = static_cast<double>(worker.entry.capacity.millicores - worker.used.millicores) + static_cast<double>(worker.servingMillicores) * (1 - worker.servingUsage);
    return idle * this->options.overcommitRatio - static_cast<double>(worker.bestEffortMillicores);
}

double BestEffortControl::idleMillicoresAtSpeeds(const FleetWorker& worker) const
{
    double idle = this->idleMillicores(worker);
    for (const auto& [run, allocation] : worker.runs)
        idle += static_cast<double>(allocation.bestEffortMillicores) * (100 - allocation.speedPercent) / 100;
    return idle;
}

bool BestEffortControl::admits(const FleetWorker& worker, std::size_t image, std::int64_t millicores, int minPercent) const
{
    if (worker.targetMissedSince != Instant())
        return false;
    const double idle = minPercent < 100 ? this->idleMillicoresAtSpeeds(worker) : this->idleMillicores(worker);
    if (idle < static_cast<double>(millicores) * minPercent / 100)
        return false;
    if (100 * this->harmlessShare(worker, image, millicores) >= minPercent)
        return true;
    return minPercent == this->options.minSpeedPercent && (!hasThrottledRun(worker) || this->areThrottledRunsBearable(worker, image, millicores));
}

bool BestEffortControl::areThrottledRunsBearable(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores * this->options.minSpeedPercent / 100);
    return std::all_of(worker.servingHeadrooms.begin(), worker.servingHeadrooms.end(), [&](const ServingHeadroom& entry) {
        double loss = this->effectOf(entry.image, image) * exposure;
        for (const auto& [run, allocation] : worker.runs) {
            const auto number = isThrottled(allocation) ? this->imageNumbers.find(allocation.image) : this->imageNumbers.end();
            if (number != this->imageNumbers.end())
                loss += this->effectOf(entry.image, number->second) * this->exposureOf(worker, allocation);
        }
        return loss < this->options.admissionHeadroom - 1;
    });
}

double BestEffortControl::risk(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const
{
    const double exposure = this->exposureOf(worker, millicores);
    double risk = 0;
    for (const ServingHeadroom& entry : worker.servingHeadrooms)
        risk += entry.runs * this->effectOf(entry.image, image) * exposure;
    return risk;
}

} // namespace dragonflytray
