#pragma once

// The queries of `Routing`, each of which reads its state and returns a value. They are implemented under
// `queries/`, one file each.
//
// Example:
//
//     RoutingView view = routing.ask(ExplainRequestQuery { RequestId("pull-1") });
//     for (const std::string& step : std::get<RequestExplanation>(view).steps)
//         std::puts(step.c_str());

#include "model/model.h"
#include "routing/request_stage.h"
#include <optional>
#include <variant>
#include <vector>

namespace dragonflytray {

// RoutingSummaryQuery asks for counters and gauges.
struct RoutingSummaryQuery {
};

// RunnerSummary is the load of one runner as this entry host sees it.
struct RunnerSummary {
    HostName name;
    HostState state { HostState::Live };
    int inFlight { 0 }; // attempts of this entry host
    int share { 0 }; // slots that this entry host may use
};

// ClassSummary holds the counters and latencies of one priority class.
struct ClassSummary {
    std::uint64_t answered { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
    EnumArray<RequestStage, LatencyHistogram, requestStageNames.size()> stages;
};

// RoutingSummary is the result of RoutingSummaryQuery. Counters start at zero with each Routing.
struct RoutingSummary {
    std::uint64_t answered { 0 };
    std::uint64_t lateAnswers { 0 }; // answers and failures of attempts that had already ended; ignored
    std::size_t waiting { 0 }; // requests in a queue, in a claim or in a retry's backoff
    std::size_t inFlight { 0 }; // attempts
    RefusalCounts refusals;
    RetryCounts retries;
    std::uint64_t forwarded { 0 }; // attempts sent through peers
    EnumArray<Priority, ClassSummary, priorityNames.size()> classes;
    std::vector<RunnerSummary> runners;
};

// ExplainRequestQuery asks for the recorded steps of one of the latest requests.
struct ExplainRequestQuery {
    RequestId request;
};

// RequestExplanation is the result of ExplainRequestQuery. Without steps, nothing is recorded of the request.
struct RequestExplanation {
    RequestId request;
    std::vector<std::string> steps; // sentences, oldest first
};

// RoutingQuery is any query; RoutingView is any result.
using RoutingQuery = std::variant<RoutingSummaryQuery, ExplainRequestQuery>;
using RoutingView = std::variant<RoutingSummary, RequestExplanation>;

} // namespace dragonflytray
