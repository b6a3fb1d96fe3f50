#include "batch/batch.h"

namespace dragonflytray {

void Batch::tick(const BatchCommand&, Instant now, BatchEffects& effects)
{
    if (!this->isScanning && now >= this->nextScan) {
        this->isScanning = true;
        this->nextScan = now + this->options.scanInterval;
        effects.push_back(ReadRows { { RowKind::Leader, RowKind::LeaderBeat, RowKind::Job }, this->revision });
    }
    this->sendAgain(now, effects);
    this->maintainLeadership(now, effects);
    this->writeCancellations(now, effects);
    if (this->isDeciding(now)) {
        this->expireLeases(now);
        this->writeOwed(now, effects);
        this->placeQueued(now, effects);
    }
    if (this->mayRenewTasks(now))
        this->contactWorkers(now, effects);
}

} // namespace dragonflytray
