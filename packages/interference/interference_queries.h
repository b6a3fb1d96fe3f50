#pragma once

// The queries of `Interference`, which read its state and return a value. Their handlers are under `queries/`.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// PlacementPenaltyQuery asks how much one more task of a class would slow the services on a worker.
struct PlacementPenaltyQuery {
    HostName worker;
    BatchClassName batchClass;
};

// PlacementCost is the answer to PlacementPenaltyQuery. Lower is better; costs of workers with different services are
// comparable.
struct PlacementCost {
    double cost { 0 }; // expected additional log-slowdown, weighted by the objective
    double deviation { 0 }; // standard deviation of the additional log-slowdown
    bool isAvoided { false }; // tasks of the class should not be placed there now
};

// SlowdownEstimatesQuery asks for the estimates of all pairs of service and batch class.
struct SlowdownEstimatesQuery {
};

// SlowdownEstimate is how much one unthrottled task of a class slows the p99 of a service on the same worker.
struct SlowdownEstimate {
    ServiceName service;
    BatchClassName batchClass;
    double slowdownAtZeroLoad { 1 }; // factor on the p99 at load 0
    double slowdownAtFullLoad { 1 }; // factor on the p99 at load 1
    double deviation { 0 }; // standard deviation of the log-slowdown at half load
    double effectiveWindows { 0 }; // measurement windows behind the estimate, older ones counting less
};

// SlowdownEstimates is the answer to SlowdownEstimatesQuery, sorted by service; classes in the order first measured.
struct SlowdownEstimates {
    std::vector<SlowdownEstimate> pairs;
};

// InterferenceSummaryQuery asks for counters and gauges.
struct InterferenceSummaryQuery {
};

// SampleRejection is the reason why a measurement was not used.
enum class SampleRejection {
    NoRunner, // the worker has no runner of the service, or got it after the window began
    OutsideHistory, // the window starts before the retained history or has not ended yet
    Malformed, // empty window, no requests, p99 not positive, or load not within 0 and 1
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
    std::size_t evicting { 0 }; // evictions requested whose end has not been reported
    std::size_t historyEntries { 0 }; // closed intervals in the exposure histories of all workers
    std::size_t placementCooldowns { 0 }; // pairs of worker and class in cooldown after an eviction
    std::uint64_t samples { 0 }; // measurements used
    std::uint64_t throttles { 0 }; // counted since construction, like the following
    std::uint64_t restores { 0 };
    std::uint64_t evictions { 0 };
    SampleRejectionCounts rejections;
};

using InterferenceQuery = std::variant<PlacementPenaltyQuery, SlowdownEstimatesQuery, InterferenceSummaryQuery>;
using InterferenceView = std::variant<PlacementCost, SlowdownEstimates, InterferenceSummary>;

} // namespace dragonflytray
