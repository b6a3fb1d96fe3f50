#pragma once

// Best-effort tasks beside serving ones: how many fit into what serving tasks leave idle, and how fast they may
// work so that no serving task misses its latency target because of them.
//
// The tail of a serving task behaves like c / (1 - pressure): its inverse falls linearly with the load of the
// task itself and with the cores that best-effort tasks use beside it, by a factor for each pair of images. The
// headroom target / tail is therefore linear in what best-effort tasks use, and differences between two reports of one
// run show the factors, since the task's own load hardly changes in between. A model for each serving image
// learns them. A best-effort task is placed only where the predicted headroom stays, and slowed down where it is gone.
//
// Example:
//
//     BestEffortControl control({});
//     control.observe(worker, now);
//     for (const SpeedChange& change : control.speedChangesFor(worker)) { ... }

#include "interference/interference.h"
#include "scheduling/fleet.h"
#include <limits>

namespace dragonflytray {

// SpeedChange is a new share of its speed for one run.
struct SpeedChange {
    TaskRunId run;
    int percent { 100 };
};

// BestEffortControl learns and decides. Not thread-safe.
class BestEffortControl {
public:
    struct Options {
        double admissionHeadroom { 1.25 }; // target / tail that has to remain with one more best-effort task, at the load seen worst
        double minHeadroomRecovery { 0.12 }; // by which the worst headroom seen is forgotten in a second; loads swing within tens
        double harmfulEffect { 0.12 }; // headroom that a best-effort task has to take before it counts as harmful
        double throttleHeadroom { 1.15 }; // below it best-effort tasks are slowed down
        double fullExposureShare { 0.125 }; // of a worker's cores in use by best-effort tasks that counts as one full task to the model
        double lowHeadroom { 1.5 }; // below it reports are asked for more often; twice the margin of throttleHeadroom and more
        Duration missedTargetTimeout { std::chrono::milliseconds(1200) }; // a target missed for so long slows every best-effort task beside it
        int minSpeedPercent { 5 }; // percent
        int speedStepPercent { 35 }; // percent by which a best-effort task is sped up after a report
        double initialServingUsage { 0.5 }; // share of its reserved cores that a serving task uses until more is known
        double servingUsageGain { 0.1 }; // weight of a new measurement of that share
        double starvedMillicores { 15000 }; // wanted by best-effort tasks on one worker before a lack of idle cores is believed
        double starvedShare { 0.5 }; // of it that they get in that case
        double overcommitRatio { 1.1 }; // best-effort tasks may want this much of what is idle
        Duration reportInterval { std::chrono::milliseconds(500) }; // over which workers report
    };

    explicit BestEffortControl(Options options);

    // observe() learns from the loads that the last report gave for the worker's runs.
    void observe(FleetWorker& worker, Instant now);

    // speedChangesFor() is what has to change so that the targets hold. Linear in the worker's runs, squared.
    std::vector<SpeedChange> speedChangesFor(FleetWorker& worker, Instant now);

    // isHeadroomLow() says whether best-effort tasks work beside a serving task that is near its target, or not measured yet.
    bool isHeadroomLow(const FleetWorker& worker) const;

    // idleMillicores() is what best-effort tasks may still use on the worker.
    double idleMillicores(const FleetWorker& worker) const;

    // admits() says whether one more best-effort task of that image keeps every target, as far as is known.
    bool admits(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // risk() is the headroom that one more best-effort task is predicted to take from the tasks beside it; for choosing
    // among workers.
    double risk(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // compatibility() is the share of the best-effort images seen so far that harm none of the serving images on the worker.
    double compatibility(const FleetWorker& worker) const;

    // imageNumber() is the number that admits() and risk() know an image by; a new one for a new image.
    std::size_t imageNumber(const ImageName& image);

    // summarizeServing() counts the serving runs of the worker by image. Call it when one has been added.
    void summarizeServing(FleetWorker& worker);

    // unknownImage is the number of an image that no report has named.
    static constexpr std::size_t unknownImage = std::numeric_limits<std::size_t>::max();

private:
    double exposureOf(const FleetWorker& worker, std::int64_t millicores) const;
    double exposureOf(const FleetWorker& worker, const RunAllocation& allocation) const;
    void learn(const FleetWorker& worker, const BestEffortSample& sample);
    double effectOf(std::size_t serving, std::size_t bestEffort) const;
    void refreshEffects(std::size_t serving, const ImageName& image);
    double predictedLossOf(const FleetWorker& worker, std::size_t serving) const;
    // summaryOf() is what summarizeServing() last found for an image; null when it serves nothing there.
    const ServingHeadroom* summaryOf(const FleetWorker& worker, const ImageName& image) const;
    void updateMinHeadrooms(FleetWorker& worker, Instant now) const;
    bool maySpeedUp(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    bool keepsHeadroom(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    void learnUsage(FleetWorker& worker, Instant now) const;
    void slowDown(FleetWorker& worker, double missing, double least, std::size_t serving, std::vector<SpeedChange>& changes);
    void speedUp(FleetWorker& worker, std::vector<SpeedChange>& changes);

    Options options;
    std::map<ImageName, SlowdownEstimator> estimators; // by serving image
    std::map<ImageName, std::size_t> imageNumbers;
    std::vector<std::vector<double>> effects; // by number of the serving and of the best-effort image; absent: not known
    std::vector<double> compatibilities; // by number of the serving image
};

} // namespace dragonflytray
