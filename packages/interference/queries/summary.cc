#include "interference/interference.h"

namespace dragonflytray {

InterferenceView Interference::summary(const InterferenceQuery&, Instant) const
{
    InterferenceSummary summary;
    summary.workers = this->workers.size();
    summary.tasks = this->placements.size();
    for (const auto& [name, worker] : this->workers) {
        for (const auto& [job, task] : worker.tasks) {
            summary.throttled += task.level == MitigationLevel::Throttled ? 1 : 0;
            summary.evicting += task.level == MitigationLevel::Evicting ? 1 : 0;
        }
        summary.historyEntries += worker.history.closedIntervalCount();
        summary.placementCooldowns += worker.placementCooldownUntil.size();
    }
    summary.samples = this->samples;
    summary.throttles = this->mitigationCounts[MitigationAction::Throttle];
    summary.restores = this->mitigationCounts[MitigationAction::Restore];
    summary.evictions = this->mitigationCounts[MitigationAction::Evict];
    summary.rejections = this->rejections;
    return summary;
}

} // namespace dragonflytray
