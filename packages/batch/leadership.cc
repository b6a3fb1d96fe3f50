#include "batch/batch.h"

namespace dragonflytray {

namespace {

    constexpr int renewalsInLease = 3;

} // namespace

bool Batch::holdsLeaderRow() const
{
    return this->ownEpoch != 0 && this->leaderRow && this->leaderRow->holder == this->options.self && this->leaderRow->epoch == this->ownEpoch;
}

bool Batch::isLeader(Instant now) const
{
    return this->holdsLeaderRow() && now < this->leaseEnd;
}

// A leader decides once it has read everything that holders before it wrote.
bool Batch::isDeciding(Instant now) const
{
    return this->isLeader(now) && this->revision >= this->leaderVersion;
}

bool Batch::mayRenewTasks(Instant now) const
{
    return this->holdsLeaderRow() && now < this->ownBeatSent + this->options.outageLimit;
}

void Batch::maintainLeadership(Instant now, BatchEffects& effects)
{
    if (!this->hasScanned || now < this->nextRenewal)
        return;
    // Also past the lease: the write commits only if nobody took over.
    if (this->holdsLeaderRow())
        return this->renewLeadership(now, effects);
    // Others are believed alive until the beat has stood still for a whole lease on this host's clock.
    const bool isVacant = !this->leaderRow || now - this->beatSeen > this->options.leaderLease + this->options.pauseMargin;
    if (isVacant)
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

void Batch::leadershipEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now)
{
    if (result.status != TransactionStatus::Committed)
        return;
    if (pending.purpose == Purpose::TakeLeadership)
        this->leadershipTaken(pending, result.revision, now);
    this->beatVersion = std::max(this->beatVersion, result.revision);
    this->ownBeatSent = std::max(this->ownBeatSent, pending.sentAt);
    // The lease counts from the send: that is the latest moment at which others can have seen the old beat.
    this->leaseEnd = std::max(this->leaseEnd, pending.sentAt + this->options.leaderLease);
}

void Batch::leadershipTaken(const PendingTransaction& pending, RowVersion version, Instant now)
{
    const auto& row = std::get<LeaderRow>(pending.transaction.writes[0].value);
    // It may have been replaced before its answer came.
    if (version < this->leaderVersion)
        return;
    this->nextScan = now; // before it decides anything
    const bool hadHolder = row.epoch > 1;
    this->leaderRow = row;
    this->leaderVersion = version;
    this->ownEpoch = row.epoch;
    this->nextRenewal = pending.sentAt + this->options.leaderLease / renewalsInLease;
    // The transaction held the last beat of the holder before, which was written before it was seen here.
    this->foreignEnd = hadHolder ? this->beatSeen + this->options.outageLimit : pending.sentAt;
    for (auto& [name, worker] : this->workers) {
        for (auto& [id, entry] : worker.held) {
            entry->lastConfirmed = now;
            entry->lastRenewal = std::max(now, this->foreignEnd);
            entry->contact = 0;
        }
    }
}

void Batch::leaderRowChanged(const LeaderRow& row, RowVersion version)
{
    if (version <= this->leaderVersion)
        return;
    this->leaderRow = row;
    this->leaderVersion = version;
    if (this->holdsLeaderRow())
        return;
    this->leaseEnd = Instant();
    // The next leader hears of these ends from the workers.
    for (const JobId& id : std::exchange(this->owedOrder, {})) {
        if (auto entry = this->jobs.find(id); entry != this->jobs.end())
            entry->second.owed.reset();
    }
}

} // namespace dragonflytray
