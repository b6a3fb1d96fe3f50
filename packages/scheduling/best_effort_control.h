#pragma once

// Control of best-effort tasks that share workers with serving tasks: how many are admitted to the cores that serving
// tasks leave idle, and at what speed they may run so that no serving task misses its latency target because of them.
//
// The tail latency of a serving task behaves like c / (1 - pressure): its inverse falls linearly with the task's own
// load and with the cores that best-effort tasks use on the same worker, by a factor for each pair of images. The
// headroom (latency target / tail latency) is therefore linear in what best-effort tasks use. The difference between
// two reports of one run shows the factors, since the task's own load hardly changes in between; one model for each
// serving image learns them. A best-effort task is placed only where the predicted headroom suffices, and is throttled
// where it does not.
//
// Example:
//
//     BestEffortControl control({});
//     control.observe(worker, now);
//     for (const SpeedChange& change : control.speedChangesFor(worker, now)) { ... }

#include "interference/interference.h"
#include "scheduling/fleet.h"
#include <limits>

namespace dragonflytray {

// SpeedChange is a new speed for one run.
struct SpeedChange {
    TaskRunId run;
    int percent { 100 }; // of its full speed
    double headroom { std::numeric_limits<double>::infinity() }; // the least reported one that it rests on; infinite: none
};

// BestEffortControl learns how images affect each other, and decides on admission and speed. The state of a worker is
// remainingShare in its FleetWorker. Not thread-safe.
class BestEffortControl {
public:
    struct Options {
        double admissionHeadroom { 1.25 }; // that has to remain with one more best-effort task, at the worst load seen recently
        double minHeadroomRecovery { 0.12 }; // by which the least headroom seen rises in a second; loads change within tens of seconds
        double harmfulEffect { 0.12 }; // headroom that a best-effort task has to take before it counts as harmful
        double throttleHeadroom { 1.15 }; // below which best-effort tasks are throttled
        double fullExposureShare { 0.125 }; // of a worker's cores in use by best-effort tasks that the model counts as one full task
        double lowHeadroom { 1.5 }; // below which reports are requested more often; at least twice the margin of throttleHeadroom above 1
        Duration missedTargetTimeout { std::chrono::milliseconds(1200) }; // after which a missed target throttles every best-effort task on the worker
        Duration unrelievedMissTimeout { std::chrono::milliseconds(1600) }; // after which tasks at the least speed are stopped; with the reports before it and two stops after it less than the miss that users accept
        double unrelievedMissHeadroom { 0.5 }; // below which a task that misses its target beside tasks at the least speed does so by its own load
        int minSpeedPercent { 5 };
        int speedStepPercent { 35 }; // by which a best-effort task is sped up after a report
        double assumedServingUsage { 0.5 }; // share of its reserved cores that a serving task uses while best-effort tasks get theirs
        double servingUsageGain { 0.1 }; // weight of a new observation in the estimate of that share
        double starvedMillicores { 15000 }; // that best-effort tasks on one worker have to want before a lack of idle cores is inferred
        double starvedShare { 0.5 }; // of the wanted cores; with less in use no idle cores are left
        double overcommitRatio { 1.1 }; // of what best-effort tasks may want to what is idle
        Duration reportInterval { std::chrono::milliseconds(500) }; // at which workers report
        double informativeChange { 0.25 }; // of the exposure to one image between two reports, from which every sample is taken
        std::uint32_t maxRoutineSamplesPerSecond { 250 }; // of the other samples, for each serving image, so that their cost does not grow with the fleet
    };

    explicit BestEffortControl(Options options);

    // observe() learns from the loads in the last report of the worker. Call it after each report.
    void observe(FleetWorker& worker, Instant now);

    // speedChangesFor() returns the changes of speed after which the targets should hold, and records them in the worker.
    // Quadratic in the runs of the worker.
    std::vector<SpeedChange> speedChangesFor(FleetWorker& worker, Instant now);

    // runsToStop() returns best-effort runs that keep a target missed although all of them are at the least speed: the half with the
    // largest effect. Call it after speedChangesFor(). Linearithmic in the runs of the worker.
    std::vector<TaskRunId> runsToStop(const FleetWorker& worker, Instant now) const;

    // sampleCount() is the number of samples from which effects have been learned. A sample costs as much as the square of the number of
    // best-effort images.
    std::uint64_t sampleCount() const { return this->samples; }

    // isHeadroomLow() says whether best-effort tasks run beside a serving task that is near its target or not measured
    // yet.
    bool isHeadroomLow(const FleetWorker& worker) const;

    // idleMillicores() is what best-effort tasks may still use on the worker; negative when they want too much already.
    double idleMillicores(const FleetWorker& worker) const;

    // keepsReportedHeadroom() says whether, by the last reports alone, every target holds with one more best-effort task at full speed.
    // harmlessPercent() rests on the least headroom seen recently instead.
    bool keepsReportedHeadroom(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // idleMillicoresAtSpeeds() is idleMillicores(), but throttled tasks want only what their speed lets them use. Linear in the runs of
    // the worker.
    double idleMillicoresAtSpeeds(const FleetWorker& worker) const;

    // admits() says whether one more best-effort task of that image may run at `minPercent` of its full speed or more: so many of its
    // cores are idle, and as far as is known every target holds at that speed. One task at Options::minSpeedPercent is admitted whatever
    // is predicted of the targets, and further ones as long as all throttled tasks on the worker together take less than the headroom
    // above 1 that admission keeps. None is admitted from the report of a missed target beside best-effort tasks on, until every target
    // is kept by the margin of Options::throttleHeadroom.
    bool admits(const FleetWorker& worker, std::size_t image, std::int64_t millicores, int minPercent) const;

    // harmlessPercent() is the highest speed at which, as far as is known, every target holds with one more best-effort task of that
    // image; at least Options::minSpeedPercent.
    int harmlessPercent(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // risk() is the headroom that one more best-effort task is predicted to take, summed over the serving tasks on the
    // worker. Used to choose among workers.
    double risk(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // compatibility() is the share of the known best-effort images that do not harm a serving image; the least share
    // among the serving images on the worker.
    double compatibility(const FleetWorker& worker) const;

    // imageNumber() is the number of an image in admits() and risk(). A new image gets the next number.
    std::size_t imageNumber(const ImageName& image);

    // summarizeServing() updates FleetWorker::servingHeadrooms. Call it when a run has been added.
    void summarizeServing(FleetWorker& worker);

    // unknownImage stands for an image without a number.
    static constexpr std::size_t unknownImage = std::numeric_limits<std::size_t>::max();

private:
    // ScarcestHeadroom is the least reported headroom on a worker, and the image of its task.
    struct ScarcestHeadroom {
        double headroom { std::numeric_limits<double>::infinity() }; // infinite: none was reported
        std::size_t serving { unknownImage };

        bool isMissed() const { return this->headroom <= 1; } // a tail that is reported at the target may be over it by less than a millisecond
    };
    static ScarcestHeadroom scarcestHeadroom(const FleetWorker& worker);

    // harmlessShare() is the share of its full speed that harmlessPercent() rounds; 0: a target may be missed at any speed.
    double harmlessShare(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    bool areThrottledRunsBearable(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const; // with one more at the least speed
    double exposureOf(const FleetWorker& worker, std::int64_t millicores) const;
    double exposureOf(const FleetWorker& worker, const RunAllocation& allocation) const;
    void learn(const FleetWorker& worker, const BestEffortSample& sample);
    // takeRoutineSample() counts a sample whose exposures have hardly changed. It returns false where there are enough in this second.
    bool takeRoutineSample(std::size_t serving, Instant now);
    double effectOf(std::size_t serving, std::size_t bestEffort) const;
    void refreshEffects(std::size_t serving, const ImageName& image);
    double predictedLossOf(const FleetWorker& worker, std::size_t serving) const;
    // summaryOf() is the worker's summary for a serving image, or null when none of its runs is there.
    const ServingHeadroom* summaryOf(const FleetWorker& worker, const ImageName& image) const;
    void updateMinHeadrooms(FleetWorker& worker, Instant now) const;
    bool maySpeedUp(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    void learnUsage(FleetWorker& worker, Instant now) const;
    void slowDown(FleetWorker& worker, double missingHeadroom, double minEffect, std::size_t serving, std::vector<SpeedChange>& changes);
    void speedUp(FleetWorker& worker, std::vector<SpeedChange>& changes);

    Options options;
    std::map<ImageName, SlowdownEstimator> estimators; // by serving image
    std::map<ImageName, std::size_t> imageNumbers;
    std::vector<std::vector<double>> effects; // of a full task on headroom, by number of the serving and of the best-effort image
    std::vector<double> compatibilities; // by number of the serving image
    // RoutineSamples is the number of samples in the second from `begin` on.
    struct RoutineSamples {
        Instant begin;
        std::uint32_t count { 0 };
    };
    std::vector<RoutineSamples> routineSamples; // by number of the serving image
    std::uint64_t samples { 0 };
};

} // namespace dragonflytray
