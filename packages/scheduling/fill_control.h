#pragma once

// Filling tasks beside serving ones: how many fit into what serving tasks leave idle, and how fast they may
// work so that no serving task misses its latency target because of them.
//
// A model for each serving image learns from reports what each filling image does to the tail. A fill is
// placed only where the predicted tail stays under the target, and paced down where a report is above it.
//
// Example:
//
//     FillControl control({});
//     control.observe(worker, now);
//     for (const PaceChange& change : control.pacesFor(worker)) { ... }

#include "interference/interference.h"
#include "scheduling/fleet.h"

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
        double admitRatio { 0.75 }; // of the target that the predicted tail may reach with one more fill
        double paceRatio { 0.9 }; // of the target at which fills are paced down
        double relaxRatio { 0.6 }; // of the target below which they are let go faster
        double exposureCores { 8 }; // cores of a fill that count as one full task to the model
        int lowestPace { 5 }; // percent
        int paceStep { 35 }; // percent by which a fill is let go faster after a report
        double usagePrior { 0.5 }; // share of its reserved cores that a serving task uses until more is known
        double usageGain { 0.3 }; // weight of a new measurement of that share
        double overcommit { 1.1 }; // fills may want this much of what is idle
        Duration window { std::chrono::milliseconds(500) }; // over which workers report
    };

    explicit FillControl(Options options);

    // observe() learns from the loads that the last report gave for the worker's runs.
    void observe(FleetWorker& worker, Instant now);

    // pacesFor() is what has to change so that the targets hold. Linear in the worker's runs, squared.
    std::vector<PaceChange> pacesFor(FleetWorker& worker);

    // idleMillicores() is what fills may still use on the worker.
    double idleMillicores(const FleetWorker& worker) const;

    // admits() says whether one more fill of that image keeps every target, as far as is known.
    bool admits(const FleetWorker& worker, const ImageName& image, std::int64_t millicores) const;

    // risk() is the predicted rise of the logarithm of the worst tail; for choosing among workers.
    double risk(const FleetWorker& worker, const ImageName& image, std::int64_t millicores) const;

private:
    double exposureOf(const RunCharge& charge) const;
    double effectOf(const ImageName& serving, const ImageName& filling) const;
    void learnUsage(FleetWorker& worker) const;
    void paceDown(FleetWorker& worker, double excess, const ImageName& serving, std::vector<PaceChange>& changes) const;
    void relax(FleetWorker& worker, std::vector<PaceChange>& changes) const;

    Options options;
    std::map<ImageName, PairEstimator> estimators; // by serving image
};

} // namespace dragonflytray
