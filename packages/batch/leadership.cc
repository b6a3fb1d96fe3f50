#include "batch/batch.h"

namespace dragonflytray {

namespace {

    constexpr int renewalsPerLease = 3;

} // namespace

bool Batch::isLeaderRowHolder() const
{
    return this->ownEpoch != 0 && this->leaderRow && this->leaderRow->holder == this->options.self && this->leaderRow->epoch == this->ownEpoch;
}

bool Batch::isLeader(Instant now) const
{
    return this->isLeaderRowHolder() && now < this->leaseEnd;
}

// A new leader decides only after it has read everything that earlier leaders wrote.
bool Batch::mayDecide(Instant now) const
{
    return this->isLeader(now) && this->revision >= this->leaderVersion;
}

bool Batch::mayRenewTaskLeases(Instant now) const
{
    return this->isLeaderRowHolder() && now < this->ownRenewalSentAt + this->options.maxOutageDuration;
}

void Batch::maintainLeadership(Instant now, BatchEffects& effects)
{
    if (!this->hasReadTable || now < this->nextRenewal)
        return;
    // Even after the lease has expired: the write commits only if no other host has become leader.
    if (this->isLeaderRowHolder())
        return this->renewLeadership(now, effects);
    // Another leader's lease counts as valid until no renewal was seen for a whole lease on this host's clock.
    const bool isVacant = !this->leaderRow || now - this->renewalSeenAt > this->options.leaderLease + this->options.leaseMargin;
    if (isVacant)
        this->acquireLeadership(now, effects);
}

void Batch::acquireLeadership(Instant now, BatchEffects& effects)
{
    const std::string& name = this->options.dataCentre.value();
    const Epoch epoch = this->leaderRow ? this->leaderRow->epoch + 1 : 1;
    PendingTransaction pending;
    pending.purpose = Purpose::AcquireLeadership;
    pending.transaction.conditions = { { { RowKind::Leader, name }, this->leaderVersion }, { { RowKind::LeaderBeat, name }, this->renewalVersion } };
    pending.transaction.writes = { { { RowKind::Leader, name }, LeaderRow { this->options.self, epoch } }, { { RowKind::LeaderBeat, name }, LeaderBeatRow { epoch, 0 } } };
    this->nextRenewal = now + this->options.leaderLease;
    this->sendTransaction(std::move(pending), now, effects);
}

void Batch::renewLeadership(Instant now, BatchEffects& effects)
{
    const std::string& name = this->options.dataCentre.value();
    PendingTransaction pending;
    pending.purpose = Purpose::RenewLeadership;
    pending.transaction.conditions = { { { RowKind::Leader, name }, this->leaderVersion } };
    pending.transaction.writes = { { { RowKind::LeaderBeat, name }, LeaderBeatRow { this->leaderRow->epoch, ++this->renewalCount } } };
    this->nextRenewal = now + this->options.leaderLease / renewalsPerLease;
    this->sendTransaction(std::move(pending), now, effects);
}

void Batch::leadershipWriteEnded(const PendingTransaction& pending, const TransactionResult& result, Instant now)
{
    if (result.status != TransactionStatus::Committed)
        return;
    if (pending.purpose == Purpose::AcquireLeadership)
        this->leadershipAcquired(pending, result.revision, now);
    this->renewalVersion = std::max(this->renewalVersion, result.revision);
    this->ownRenewalSentAt = std::max(this->ownRenewalSentAt, pending.sentAt);
    // The lease counts from the send time. Other hosts see the renewal only later, so this lease ends before any of
    // them regards it as expired.
    this->leaseEnd = std::max(this->leaseEnd, pending.sentAt + this->options.leaderLease);
}

void Batch::leadershipAcquired(const PendingTransaction& pending, RowVersion version, Instant now)
{
    const auto& row = std::get<LeaderRow>(pending.transaction.writes[0].value);
    // Another host may have become leader before this result arrived.
    if (version < this->leaderVersion)
        return;
    this->nextTableRead = now; // `mayDecide()` waits for this read
    const bool hadPreviousLeader = row.epoch > 1;
    this->leaderRow = row;
    this->leaderVersion = version;
    this->ownEpoch = row.epoch;
    this->nextRenewal = pending.sentAt + this->options.leaderLease / renewalsPerLease;
    // This transaction was conditional on the previous leader's last renewal, which was sent before this host saw it.
    this->previousLeaderRenewalsEnd = hadPreviousLeader ? this->renewalSeenAt + this->options.maxOutageDuration : pending.sentAt;
    for (auto& [name, worker] : this->workers) {
        for (auto& [id, entry] : worker.heldJobs) {
            entry->lastConfirmedAt = now;
            entry->lastPossibleRenewal = std::max(now, this->previousLeaderRenewalsEnd);
            entry->lastContactNumber = 0;
        }
    }
}

void Batch::leaderRowChanged(const LeaderRow& row, RowVersion version)
{
    if (version <= this->leaderVersion)
        return;
    this->leaderRow = row;
    this->leaderVersion = version;
    if (this->isLeaderRowHolder())
        return;
    this->leaseEnd = Instant();
    // The new leader learns from the workers how these attempts ended.
    for (const JobId& id : std::exchange(this->unrecordedEndQueue, {})) {
        if (auto entry = this->jobs.find(id); entry != this->jobs.end())
            entry->second.unrecordedEnd.reset();
    }
}

} // namespace dragonflytray
