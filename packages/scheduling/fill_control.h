#pragma once

// Filling tasks beside serving ones: how many fit into what serving tasks leave idle, and how fast they may
// work so that no serving task misses its latency target because of them.
//
// The tail of a serving task behaves like c / (1 - pressure): its inverse falls linearly with the load of the
// task itself and with the cores that filling tasks use beside it, by a factor for each pair of images. The
// headroom target / tail is therefore linear in what fills use, and differences between two reports of one
// run show the factors, since the task's own load hardly changes in between. A model for each serving image
// learns them. A fill is placed only where the predicted headroom stays, and paced down where it is gone.
//
// Example:
//
//     FillControl control({});
//     control.observe(worker, now);
//     for (const PaceChange& change : control.pacesFor(worker)) { ... }

#include "interference/interference.h"
#include "scheduling/fleet.h"
#include <limits>

namespace dragonflytray {

// PaceChange is a new share of its speed for one run.
struct PaceChange {
    TaskRunId run;
    int percent { 100 };
};

// FillControl learns and decides. Not thread-safe.
class FillControl {
public:
    struct Options {
        double admitHeadroom { 1.25 }; // target / tail that has to remain with one more fill, at the load seen worst
        double recovery { 0.12 }; // by which the worst headroom seen is forgotten in a second; loads swing within tens
        double material { 0.12 }; // headroom that a fill has to take before it counts as harmful
        double paceHeadroom { 1.15 }; // below it fills are paced down
        double exposureShare { 0.125 }; // of a worker's cores in use by fills that counts as one full task to the model
        double tightHeadroom { 1.5 }; // below it reports are asked for more often; twice the margin of paceHeadroom and more
        Duration missLimit { std::chrono::milliseconds(1200) }; // a target missed for so long slows every fill beside it
        int lowestPace { 5 }; // percent
        int paceStep { 35 }; // percent by which a fill is let go faster after a report
        double usagePrior { 0.5 }; // share of its reserved cores that a serving task uses until more is known
        double usageGain { 0.1 }; // weight of a new measurement of that share
        double starvedMillicores { 15000 }; // wanted by fills on one worker before a lack of idle cores is believed
        double starvedShare { 0.5 }; // of it that they get in that case
        double overcommit { 1.1 }; // fills may want this much of what is idle
        Duration window { std::chrono::milliseconds(500) }; // over which workers report
    };

    explicit FillControl(Options options);

    // observe() learns from the loads that the last report gave for the worker's runs.
    void observe(FleetWorker& worker, Instant now);

    // pacesFor() is what has to change so that the targets hold. Linear in the worker's runs, squared.
    std::vector<PaceChange> pacesFor(FleetWorker& worker, Instant now);

    // isTight() says whether fills work beside a serving task that is near its target, or not measured yet.
    bool isTight(const FleetWorker& worker) const;

    // idleMillicores() is what fills may still use on the worker.
    double idleMillicores(const FleetWorker& worker) const;

    // admits() says whether one more fill of that image keeps every target, as far as is known.
    bool admits(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // risk() is the headroom that one more fill is predicted to take from the tasks beside it; for choosing
    // among workers.
    double risk(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;

    // openness() is the share of the filling images seen so far that harm none of the serving images on the worker.
    double openness(const FleetWorker& worker) const;

    // numberOf() is the number that admits() and risk() know an image by; a new one for a new image.
    std::size_t numberOf(const ImageName& image);

    // summarize() counts the serving runs of the worker by image. Call it when one has been added.
    void summarize(FleetWorker& worker);

    // unknownImage is the number of an image that no report has named.
    static constexpr std::size_t unknownImage = std::numeric_limits<std::size_t>::max();

private:
    double exposureOf(const FleetWorker& worker, std::int64_t millicores) const;
    double exposureOf(const FleetWorker& worker, const RunCharge& charge) const;
    void learn(const FleetWorker& worker, const FillSample& sample);
    double effectOf(std::size_t serving, std::size_t filling) const;
    void refreshEffects(std::size_t serving, const ImageName& image);
    double takenFrom(const FleetWorker& worker, std::size_t serving) const;
    // summaryOf() is what summarize() last found for an image; null when it serves nothing there.
    const ServingHeadroom* summaryOf(const FleetWorker& worker, const ImageName& image) const;
    void trackWorst(FleetWorker& worker, Instant now) const;
    bool mayRelax(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    bool keepsHeadroom(const FleetWorker& worker, std::size_t image, std::int64_t millicores) const;
    void learnUsage(FleetWorker& worker, Instant now) const;
    void paceDown(FleetWorker& worker, double missing, double least, std::size_t serving, std::vector<PaceChange>& changes);
    void relax(FleetWorker& worker, std::vector<PaceChange>& changes);

    Options options;
    std::map<ImageName, PairEstimator> estimators; // by serving image
    std::map<ImageName, std::size_t> numbers;
    std::vector<std::vector<double>> effects; // by number of the serving and of the filling image; absent: not known
    std::vector<double> opennesses; // by number of the serving image
};

} // namespace dragonflytray
