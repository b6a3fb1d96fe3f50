#pragma once

// The queries of `Interference`. Each reads its state and returns a value; one file under `queries/` each.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// PlacementPenaltyQuery asks what one more task of a class would do to the services of a worker.
struct PlacementPenaltyQuery {
    HostName worker;
    BatchClassName batchClass;
};

// PlacementCost is the answer to PlacementPenaltyQuery. A lower cost is better; costs of different
// workers compare, whatever their services.
struct PlacementCost {
    double cost { 0 }; // expected added log-slowdown, weighed by the objective
    double deviation { 0 }; // standard deviation of the added log-slowdown
    bool isAvoided { false }; // place nothing of the class there now
};

// SlowdownEstimatesQuery asks for everything learned about pairs.
struct SlowdownEstimatesQuery {
};

// SlowdownEstimate is what one full task of a class does to the p99 of a service on the same worker.
struct SlowdownEstimate {
    ServiceName service;
    BatchClassName batchClass;
    double slowdownIdle { 1 }; // factor at load 0
    double slowdownBusy { 1 }; // factor at load 1
    double deviation { 0 }; // standard deviation of the log-slowdown at half load
    double weight { 0 }; // decayed number of windows behind it
};

// SlowdownEstimates is the answer to SlowdownEstimatesQuery, by service and class.
struct SlowdownEstimates {
    std::vector<SlowdownEstimate> pairs;
};

// InterferenceSummaryQuery asks for counts and gauges.
struct InterferenceSummaryQuery {
};

// SampleRejection is why a measurement taught nothing.
enum class SampleRejection {
    NoRunner, // the worker carried no such runner in the window
    OutsideHistory, // the window is older than the history or not over yet
    Malformed, // empty window, no requests, or a value that is not a number
};

inline constexpr NameTable sampleRejectionNames { std::to_array<NameEntry<SampleRejection>>({
    { SampleRejection::NoRunner, "no-runner" },
    { SampleRejection::OutsideHistory, "outside-history" },
    { SampleRejection::Malformed, "malformed" },
}) };
static_assert(sampleRejectionNames.isWhole(SampleRejection::Malformed));

using SampleRejectionCounts = EnumArray<SampleRejection, std::uint64_t, sampleRejectionNames.size()>;

// InterferenceSummary is the answer to InterferenceSummaryQuery.
struct InterferenceSummary {
    std::size_t workers { 0 };
    std::size_t tasks { 0 };
    std::size_t throttled { 0 };
    std::size_t evicting { 0 };
    std::size_t historyEntries { 0 }; // stays of tasks that have ended
    std::size_t avoidances { 0 }; // pairs of worker and class
    std::uint64_t samples { 0 };
    std::uint64_t throttles { 0 };
    std::uint64_t restores { 0 };
    std::uint64_t evictions { 0 };
    SampleRejectionCounts rejections;
};

using InterferenceQuery = std::variant<PlacementPenaltyQuery, SlowdownEstimatesQuery, InterferenceSummaryQuery>;
using InterferenceView = std::variant<PlacementCost, SlowdownEstimates, InterferenceSummary>;

} // namespace dragonflytray
