#pragma once

// The runners of one service that have a free slot, kept as a dense index for the choice.

#include "routing/runner_choice.h"
#include <vector>

namespace dragonflytray {

// crossRegionDistance is the distance to a data centre across the link between regions.
inline constexpr int crossRegionDistance = 2;

// RunnerState is what one entry host knows about one runner.
struct RunnerState {
    static constexpr std::size_t notInPool = static_cast<std::size_t>(-1);

    Host host;
    int share { 0 }; // slots that this entry host may use
    int inFlight { 0 }; // attempts of this entry host
    int distance { 0 }; // 0: same data centre, 1: same region, 2: other region
    bool isListed { true }; // false: off the list, kept for its attempts in flight
    double latencySeconds { 0 }; // smoothed; 0: not measured
    int consecutiveFailures { 0 };
    bool isEjected { false }; // takes no attempt until `ejectedUntil`, after failures in a row
    Instant ejectedUntil;
    std::size_t poolIndex { notInPool }; // in the pool of its service
};

// RunnerPool holds runners with a free slot. The runners outlive their stay in it. Not thread-safe.
class RunnerPool {
public:
    // update() adds, removes or refreshes `runner` as its state says. Constant time.
    void update(RunnerState& runner, bool isEligible);

    // choose() is the runner that `choice` picks, never `excluded`; nothing when no other has a free slot.
    RunnerState* choose(RunnerChoice& choice, RunnerState* excluded);

    // isEmpty() says whether no runner has a free slot.
    bool isEmpty() const { return this->runners.empty(); }

private:
    void swap(std::size_t left, std::size_t right);

    std::vector<RunnerCandidate> candidates; // beside `runners`, dense for the scan of a choice
    std::vector<RunnerState*> runners;
};

} // namespace dragonflytray
