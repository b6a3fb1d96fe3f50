#pragma once

// ExposureHistory records which batch tasks ran on one worker and when, so that a delayed measurement is matched with
// the tasks that ran during its window.
//
// Example:
//
//     ExposureHistory history({ .retention = std::chrono::minutes(5), .maxClosedIntervals = 256 });
//     history.begin(job, batchClass, 1.0, now);
//     std::vector<Exposure> exposures = history.exposures(windowStart, windowEnd);

#include "interference/slowdown_estimator.h"
#include <deque>
#include <map>

namespace dragonflytray {

// ExposureHistory holds one open interval for each running task and a bounded number of closed ones. Not thread-safe.
// Every operation takes time at most linear in the intervals held.
class ExposureHistory {
public:
    struct Options {
        Duration retention { std::chrono::minutes(5) }; // of a closed interval, counted from its end
        std::size_t maxClosedIntervals { 256 };
    };

    explicit ExposureHistory(Options options);

    // begin() opens an interval in which the job uses `cpuShare` of its declared processors. An interval of the job
    // that is still open is closed first.
    void begin(const JobId& job, const BatchClassName& batchClass, double cpuShare, Instant now);

    // end() closes the open interval of the job, if there is one.
    void end(const JobId& job, Instant now);

    // prune() removes closed intervals that are past the retention or the limit.
    void prune(Instant now);

    // covers() says whether no interval that ended after `from` has been removed.
    bool covers(Instant from) const { return from >= this->completeSince; }

    // exposures() returns the average number of full tasks of each class in a window, without classes that had none.
    std::vector<Exposure> exposures(Instant from, Instant to) const;

    // closedIntervalCount() is the number of closed intervals, at most maxClosedIntervals.
    std::size_t closedIntervalCount() const { return this->closedIntervals.size(); }

    // isEmpty() says whether there is neither an open nor a closed interval.
    bool isEmpty() const { return this->openIntervals.empty() && this->closedIntervals.empty(); }

private:
    struct TaskInterval {
        BatchClassName batchClass;
        double cpuShare { 1 };
        Instant from;
        Instant to; // meaningful once the interval is closed
    };

    Options options;
    std::map<JobId, TaskInterval> openIntervals;
    std::deque<TaskInterval> closedIntervals; // in the order in which they ended
    Instant completeSince { Instant::min() }; // end of the last removed interval
};

} // namespace dragonflytray
