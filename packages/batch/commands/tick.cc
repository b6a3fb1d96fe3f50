#include "batch/batch.h"

namespace dragonflytray {

void Batch::tick(const BatchCommand&, Instant now, BatchEffects& effects)
{
    if (!this->isScanning && now >= this->nextScan) {
        this->isScanning = true;
        this->nextScan = now + this->options.scanInterval;
        effects.push_back(ReadRows { { RowKind::Leader, RowKind::LeaderBeat, RowKind::Job }, this->revision });
    }
    this->maintainLeadership(now, effects);
    if (!this->isLeader(now))
        return;
    this->expireLeases(now, effects);
    this->placeQueued(now, effects);
    this->contactWorkers(now, effects);
}

} // namespace dragonflytray
