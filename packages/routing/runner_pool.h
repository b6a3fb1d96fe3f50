#pragma once

// The runners of one service that have a free slot, in a dense array over which RunnerChoice can iterate quickly.
//
// Example:
//
//     pool.update(runner, runner.inFlight < runner.share);
//     RunnerState* chosen = pool.choose(*runnerChoice, nullptr);

#include "routing/runner_choice.h"
#include <vector>

namespace dragonflytray {

// crossRegionDistance is the distance to a data centre in another region, reached over the link between regions.
inline constexpr int crossRegionDistance = 2;

// RunnerState is the state that this entry host keeps for one runner.
struct RunnerState {
    static constexpr std::size_t notInPool = static_cast<std::size_t>(-1);

    Host host;
    int share { 0 }; // slots that this entry host may use
    int inFlight { 0 }; // attempts of this entry host
    int distance { 0 }; // 0: same data centre, 1: same region, 2: other region
    bool isListed { true }; // false: no longer in the list of hosts, kept while it has attempts in flight
    double latencySeconds { 0 }; // moving average with a penalty for failures; 0: not measured
    int consecutiveFailures { 0 };
    bool isEjected { false }; // gets no attempt until `ejectedUntil`, because of consecutive failures
    Instant ejectedUntil;
    std::size_t poolIndex { notInPool }; // in the pool of its service
};

// RunnerPool holds pointers to the runners with a free slot. A runner must be removed by update() before it is
// destroyed. Not thread-safe.
class RunnerPool {
public:
    // update() adds or refreshes `runner` if `isEligible`, and removes it otherwise. Constant time.
    void update(RunnerState& runner, bool isEligible);

    // choose() returns the runner that `choice` selects, or null if there is none besides `excluded`, which may be
    // null. Costs as much as `choice`.
    RunnerState* choose(RunnerChoice& choice, RunnerState* excluded);

    // isEmpty() returns true if no runner has a free slot.
    bool isEmpty() const { return this->runners.empty(); }

private:
    void swap(std::size_t left, std::size_t right);

    std::vector<RunnerCandidate> candidates; // same indices as `runners`; contiguous for a fast scan
    std::vector<RunnerState*> runners;
};

} // namespace dragonflytray
