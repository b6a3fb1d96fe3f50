#include "entry/report_change.h"

#include <algorithm>

namespace dragonflytray {

ReportChange changeOf(const std::vector<RunningTask>& base, const std::vector<RunningTask>& report)
{
    std::map<TaskRunId, const RunningTask*> reported;
    for (const RunningTask& run : report)
        reported[run.id] = &run;
    ReportChange change;
    for (std::uint32_t index = 0; index < base.size(); ++index) {
        const RunningTask& before = base[index];
        const auto found = reported.find(before.id);
        if (found == reported.end()) {
            change.removed.push_back(index);
            continue;
        }
        const RunningTask& now = *found->second;
        ChangedRun changed { .index = index, .load = now.load, .percent = {}, .checkpoint = {} };
        if (now.percent != before.percent)
            changed.percent = now.percent;
        if (now.checkpoint != before.checkpoint)
            changed.checkpoint = now.checkpoint;
        if (changed.percent || changed.checkpoint || now.load != before.load)
            change.changed.push_back(std::move(changed));
        reported.erase(found);
    }
    for (const RunningTask& run : report) {
        if (const auto found = reported.find(run.id); found != reported.end() && found->second == &run)
            change.added.push_back(run);
    }
    return change;
}

std::optional<std::vector<RunningTask>> applyChange(const std::vector<RunningTask>& base, const ReportChange& change)
{
    std::vector<RunningTask> runs = base;
    for (const ChangedRun& changed : change.changed) {
        if (changed.index >= runs.size())
            return std::nullopt;
        RunningTask& run = runs[changed.index];
        run.load = changed.load;
        run.percent = changed.percent.value_or(run.percent);
        if (changed.checkpoint)
            run.checkpoint = *changed.checkpoint;
    }
    std::vector<RunningTask> result;
    result.reserve(runs.size() + change.added.size());
    auto removed = change.removed.begin();
    for (std::uint32_t index = 0; index < runs.size(); ++index) {
        if (removed != change.removed.end() && *removed == index)
            ++removed;
        else
            result.push_back(std::move(runs[index]));
    }
    if (removed != change.removed.end())
        return std::nullopt;
    result.insert(result.end(), change.added.begin(), change.added.end());
    return result;
}

} // namespace dragonflytray
