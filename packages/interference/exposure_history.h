#pragma once

// ExposureHistory remembers which batch tasks ran on one worker and when, so that a measurement that
// arrives late is matched to those who ran then.
//
// Example:
//
//     ExposureHistory history({ .horizon = std::chrono::minutes(5), .limit = 256 });
//     history.begin(job, batchClass, 1.0, now);
//     std::vector<Exposure> exposures = history.exposures(windowStart, windowEnd);

#include "interference/slowdown_estimator.h"
#include <deque>
#include <map>

namespace dragonflytray {

// ExposureHistory holds the open stays of tasks and a bounded number of closed ones. Not thread-safe.
// Every operation is linear in what it holds at most.
class ExposureHistory {
public:
    struct Options {
        Duration horizon { std::chrono::minutes(5) }; // closed stays are kept this long
        std::size_t limit { 256 }; // closed stays kept at most
    };

    explicit ExposureHistory(Options options);

    // begin() opens a stay with a share of the declared processors; it closes an open one of the job.
    void begin(const JobId& job, const BatchClassName& batchClass, double share, Instant now);

    // end() closes the open stay of the job, if there is one.
    void end(const JobId& job, Instant now);

    // prune() forgets what is older than the horizon.
    void prune(Instant now);

    // covers() says whether everything that ran since `from` is still known.
    bool covers(Instant from) const { return from >= this->knownFrom; }

    // exposures() is the time-weighted share of each class in a window, zero ones left out.
    std::vector<Exposure> exposures(Instant from, Instant to) const;

    // closedCount() is the number of closed stays; at most the limit.
    std::size_t closedCount() const { return this->closed.size(); }

    // isEmpty() says whether no stay is known.
    bool isEmpty() const { return this->open.empty() && this->closed.empty(); }

private:
    struct Stay {
        BatchClassName batchClass;
        double share { 1 };
        Instant from;
        Instant to; // of a closed stay
    };

    Options options;
    std::map<JobId, Stay> open;
    std::deque<Stay> closed; // by end
    Instant knownFrom { Instant::min() };
};

} // namespace dragonflytray
