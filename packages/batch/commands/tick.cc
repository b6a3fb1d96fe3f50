#include "batch/batch.h"

namespace dragonflytray {

void Batch::tick(const BatchCommand&, Instant now, BatchEffects& effects)
{
    if (!this->isTableReadInFlight && now >= this->nextTableRead) {
        this->isTableReadInFlight = true;
        this->nextTableRead = now + this->options.tableReadInterval;
        effects.push_back(ReadRows { { RowKind::Leader, RowKind::LeaderBeat, RowKind::Job }, this->revision });
    }
    this->resendAmbiguousTransactions(now, effects);
    this->maintainLeadership(now, effects);
    this->writeCancellations(now, effects);
    if (this->mayDecide(now)) {
        this->expireLeases(now);
        this->withdrawUnsentStarts();
        this->writeUnrecordedEnds(now, effects);
        this->placeQueuedJobs(now, effects);
    }
    if (this->mayRenewTaskLeases(now))
        this->contactWorkers(now, effects);
}

} // namespace dragonflytray
