#pragma once

// The difference between two reports of a worker, which an agent sends instead of the whole report: most runs have not changed but
// for their load.
//
// Example:
//
//     const ReportChange change = changeOf(base, report);
//     if (const auto rows = applyChange(base, change))
//         ...

#include "scheduling/worker_types.h"
#include <optional>

namespace dragonflytray {

// ChangedRun is a run of the base with new values.
struct ChangedRun {
    std::uint32_t index { 0 }; // in the base
    std::int64_t load { 0 };
    std::optional<int> percent; // nothing: as in the base
    std::optional<std::string> checkpoint; // the same
};

// ReportChange leads from a base to a report. Runs of the base that are not named stay as they are.
struct ReportChange {
    std::vector<std::uint32_t> removed; // indices in the base, increasing
    std::vector<ChangedRun> changed;
    std::vector<RunningTask> added; // at the end
};

// changeOf() returns the change from `base` to `report`. N log N in the runs.
ReportChange changeOf(const std::vector<RunningTask>& base, const std::vector<RunningTask>& report);

// applyChange() returns the runs that `change` leads to, or nothing if it does not fit the base. Linear in the runs.
std::optional<std::vector<RunningTask>> applyChange(const std::vector<RunningTask>& base, const ReportChange& change);

} // namespace dragonflytray
