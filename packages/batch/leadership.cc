#include "batch/batch.h"

namespace dragonflytray {

namespace {

    constexpr int renewalsInLease = 3;

} // namespace

bool Batch::isLeader(Instant now) const
{
    return this->leaderRow && this->leaderRow->holder == this->options.self && now < this->leaseEnd;
}

void Batch::maintainLeadership(Instant now, BatchEffects& effects)
{
    if (!this->hasScanned)
        return;
    if (this->isLeader(now)) {
        if (now >= this->nextRenewal)
            this->renewLeadership(now, effects);
        return;
    }
    // Others are believed alive until the beat has stood still for a whole lease on this host's clock.
    const bool isVacant = !this->leaderRow || now - this->beatSeen > this->options.leaderLease + this->options.pauseMargin;
    if (isVacant && now >= this->nextRenewal)
        this->takeLeadership(now, effects);
}

void Batch::takeLeadership(Instant now, BatchEffects& effects)
{
    const std::string& name = this->options.dataCentre.value();
    const Epoch epoch = this->leaderRow ? this->leaderRow->epoch + 1 : 1;
    PendingTransaction pending;
    pending.purpose = Purpose::TakeLeadership;
    pending.transaction.conditions = { { { RowKind::Leader, name }, this->leaderVersion }, { { RowKind::LeaderBeat, name }, this->beatVersion } };
    pending.transaction.writes = { { { RowKind::Leader, name }, LeaderRow { this->options.self, epoch } }, { { RowKind::LeaderBeat, name }, LeaderBeatRow { epoch, 0 } } };
    this->nextRenewal = now + this->options.leaderLease;
    this->send(std::move(pending), now, effects);
}

void Batch::renewLeadership(Instant now, BatchEffects& effects)
{
    const std::string& name = this->options.dataCentre.value();
    PendingTransaction pending;
    pending.purpose = Purpose::RenewLeadership;
    pending.transaction.conditions = { { { RowKind::Leader, name }, this->leaderVersion } };
    pending.transaction.writes = { { { RowKind::LeaderBeat, name }, LeaderBeatRow { this->leaderRow->epoch, ++this->beat } } };
    this->nextRenewal = now + this->options.leaderLease / renewalsInLease;
    this->send(std::move(pending), now, effects);
}

void Batch::leadershipEnded(const PendingTransaction& pending, const TransactionResult& result)
{
    if (result.status != TransactionStatus::Committed)
        return;
    if (pending.purpose == Purpose::TakeLeadership) {
        this->leaderRow = std::get<LeaderRow>(pending.transaction.writes[0].value);
        this->leaderVersion = result.revision;
        this->nextRenewal = pending.sentAt + this->options.leaderLease / renewalsInLease;
        // The holder before may have renewed worker leases until a moment ago.
        for (auto& [id, entry] : this->jobs)
            entry.lastConfirmed = pending.sentAt + this->options.leaderLease;
    }
    this->beatVersion = result.revision;
    // The lease counts from the send: that is the latest moment at which others can have seen the old beat.
    this->leaseEnd = pending.sentAt + this->options.leaderLease;
}

} // namespace dragonflytray
