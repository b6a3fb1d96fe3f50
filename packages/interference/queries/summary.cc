#include "interference/interference.h"

namespace dragonflytray {

InterferenceView Interference::summary(const InterferenceQuery&, Instant) const
{
    InterferenceSummary summary;
    summary.workers = this->workers.size();
    summary.tasks = this->placements.size();
    for (const auto& [name, worker] : this->workers) {
        for (const auto& [job, task] : worker.tasks) {
            summary.throttled += task.rung == LadderRung::Throttled ? 1 : 0;
            summary.evicting += task.rung == LadderRung::Evicting ? 1 : 0;
        }
        summary.historyEntries += worker.history.closedCount();
        summary.avoidances += worker.avoidedUntil.size();
    }
    summary.samples = this->samples;
    summary.throttles = this->moves[LadderMove::Throttle];
    summary.restores = this->moves[LadderMove::Restore];
    summary.evictions = this->moves[LadderMove::Evict];
    summary.rejections = this->rejections;
    return summary;
}

} // namespace dragonflytray
