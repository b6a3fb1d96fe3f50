#pragma once

// The queries of `Routing`. Each reads its state and returns a value; one file under `queries/` each.

#include "model/model.h"
#include "routing/request_stage.h"
#include <optional>
#include <variant>
#include <vector>

namespace dragonflytray {

// RoutingSummaryQuery asks for counts and gauges.
struct RoutingSummaryQuery {
};

// RunnerSummary is what one entry host knows about one runner.
struct RunnerSummary {
    HostName name;
    HostState state { HostState::Live };
    int inFlight { 0 }; // requests of this entry host
    int share { 0 }; // slots that this entry host may use
};

// ClassSummary is what happened to the requests of one class.
struct ClassSummary {
    std::uint64_t answered { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
    EnumArray<RequestStage, LatencyHistogram, requestStageNames.size()> stages;
};

// RoutingSummary is the answer to RoutingSummaryQuery.
struct RoutingSummary {
    std::uint64_t answered { 0 };
    std::uint64_t lateAnswers { 0 }; // answers to attempts that had ended; dropped
    std::size_t waiting { 0 };
    std::size_t inFlight { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
    std::uint64_t forwarded { 0 }; // attempts through peers
    EnumArray<Priority, ClassSummary, priorityNames.size()> classes;
    std::vector<RunnerSummary> runners;
};

// ExplainRequestQuery asks what happened to one of the latest requests.
struct ExplainRequestQuery {
    RequestId request;
};

// RequestExplanation is the answer to ExplainRequestQuery; no steps: the request is not remembered.
struct RequestExplanation {
    RequestId request;
    std::vector<std::string> steps; // short sentences, oldest first
};

using RoutingQuery = std::variant<RoutingSummaryQuery, ExplainRequestQuery>;
using RoutingView = std::variant<RoutingSummary, RequestExplanation>;

} // namespace dragonflytray
