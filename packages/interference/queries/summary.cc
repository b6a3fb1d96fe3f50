#include "interference/interference.h"

namespace dragonflytray {

InterferenceView Interference::summary(const InterferenceQuery&, Instant) const
{
    InterferenceSummary summary;
    summary.workers = this->workers.size();
    summary.tasks = this->placements.size();
    for (const auto& [name, worker] : this->workers) {
        for (const auto& [job, task] : worker.tasks) {
            summary.throttled += task.rung == MitigationLevel::Throttled ? 1 : 0;
            summary.evicting += task.rung == MitigationLevel::Evicting ? 1 : 0;
        }
        summary.historyEntries += worker.history.closedCount();
        summary.avoidances += worker.avoidedUntil.size();
    }
    summary.samples = this->samples;
    summary.throttles = this->moves[MitigationAction::Throttle];
    summary.restores = this->moves[MitigationAction::Restore];
    summary.evictions = this->moves[MitigationAction::Evict];
    summary.rejections = this->rejections;
    return summary;
}

} // namespace dragonflytray
