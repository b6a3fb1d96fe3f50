#pragma once

// The queries of `Batch`, which read its state and return a value. Each is in its own file under `queries/`.
//
// Example:
//
//     JobList failed = std::get<JobList>(batch.ask(ListJobsQuery { JobState::Failed }, now));

#include "model/model.h"
#include <optional>
#include <variant>
#include <vector>

namespace dragonflytray {

// ListJobsQuery asks for the jobs of all data centres as last read from the table, optionally of one state only.
struct ListJobsQuery {
    std::optional<JobState> state;
};

// JobList is the answer to ListJobsQuery.
struct JobList {
    std::vector<Job> jobs;
};

// ExplainJobQuery asks why one job is in its present state.
struct ExplainJobQuery {
    JobId job;
};

// JobExplanation is the answer to ExplainJobQuery. `job` is empty when no such job is known.
struct JobExplanation {
    std::optional<Job> job;
    std::string why; // one or two sentences for a person
    Duration timeInState { 0 }; // time in this state on this host's clock
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
    bool isEvacuated { false }; // the data centre of this entry host
    std::uint64_t movedJobs { 0 }; // moved by this entry host out of the evacuated data centre
    RefusalCounts refusals;
    RetryCounts retries;
};

using BatchQuery = std::variant<ListJobsQuery, ExplainJobQuery, BatchSummaryQuery>;
using BatchView = std::variant<JobList, JobExplanation, BatchSummary>;

} // namespace dragonflytray
