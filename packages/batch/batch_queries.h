#pragma once

// The queries of `Batch`. Each reads its state and returns a value; one file under `queries/` each.

#include "model/model.h"
#include <optional>
#include <variant>
#include <vector>

namespace dragonflytray {

// ListJobsQuery asks for the jobs of every data centre, as last read from the table.
struct ListJobsQuery {
    std::optional<JobState> state;
};

// JobList is the answer to ListJobsQuery.
struct JobList {
    std::vector<Job> jobs;
};

// ExplainJobQuery asks why one job stands where it does.
struct ExplainJobQuery {
    JobId job;
};

// JobExplanation is the answer to ExplainJobQuery.
struct JobExplanation {
    std::optional<Job> job;
    std::string why; // one sentence
    Duration since { 0 }; // time in this state as seen here
};

// BatchSummaryQuery asks for counts and gauges.
struct BatchSummaryQuery {
};

// BatchSummary is the answer to BatchSummaryQuery.
struct BatchSummary {
    bool isLeader { false };
    HostName leader;
    Epoch epoch { 0 };
    EnumArray<JobState, std::size_t, jobStateNames.size()> jobs;
    std::size_t workers { 0 };
    RefusalCounts refusals;
    RetryCounts retries;
};

using BatchQuery = std::variant<ListJobsQuery, ExplainJobQuery, BatchSummaryQuery>;
using BatchView = std::variant<JobList, JobExplanation, BatchSummary>;

} // namespace dragonflytray
