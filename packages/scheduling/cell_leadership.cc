#include "scheduling/cell_leadership.h"

namespace dragonflytray {

CellLeadership::CellLeadership(Options options)
    : options(std::move(options))
{
}

LeadershipChange CellLeadership::observe(const CellLease& row, RowVersion version, Instant now)
{
    if (this->hasObserved && version <= this->lastVersion)
        return LeadershipChange::None;
    this->hasObserved = true;
    this->lastRow = row;
    this->lastVersion = version;
    this->lastChangedAt = now;
    this->unclearSentAt.reset();
    const bool isForeign = row.holder != this->options.self || row.epoch != this->ownEpoch;
    if (this->ownEpoch != 0 && row.epoch >= this->ownEpoch && isForeign)
        return this->loseLeadership();
    return LeadershipChange::None;
}

bool CellLeadership::mayAcquire(Instant now) const
{
    if (this->lastRow.holder.isEmpty() || this->lastRow.holder == this->options.self)
        return now >= this->lastChangedAt + this->options.acquisitionDelay;
    return now >= this->lastChangedAt + this->options.lease + this->options.acquisitionDelay;
}

void CellLeadership::storeRegained(Instant now)
{
    if (this->ownEpoch == 0)
        this->lastChangedAt = std::max(this->lastChangedAt, now - this->options.lease);
}

void CellLeadership::beginObserving(Instant now)
{
    if (this->lastChangedAt == Instant())
        this->lastChangedAt = now;
}

bool CellLeadership::isWriteDue(Instant now) const
{
    if (this->inFlight != 0 || now < this->nextAttempt)
        return false;
    return this->ownEpoch != 0 || (!this->isReleasing && this->mayAcquire(now));
}

WriteStoredRows CellLeadership::nextWrite(std::uint64_t number, const CellReport& report, Instant now)
{
    const bool isHolder = this->ownEpoch != 0;
    this->sentRow = {
        .holder = isHolder && this->isReleasing ? HostName() : this->options.self,
        .epoch = isHolder ? this->ownEpoch : this->lastRow.epoch + 1,
        .renewalCount = this->lastRow.renewalCount + 1,
        .capacityMillicores = isHolder ? report.capacityMillicores : this->lastRow.capacityMillicores,
        .labels = isHolder ? report.labels : this->lastRow.labels,
        .unconfirmed = isHolder ? report.unconfirmed : this->lastRow.unconfirmed,
    };
    this->inFlight = number;
    this->sentAt = now;
    const StoredRowKey key { StoredRowKind::CellLease, this->options.cell.value() };
    return WriteStoredRows { .write = number, .partition = leasePartition, .conditions = { { key, this->lastVersion } }, .puts = { { key, this->sentRow } }, .removals = {} };
}

LeadershipChange CellLeadership::writeEnded(const RowsWriteEnded& end, Instant now)
{
    this->inFlight = 0;
    if (end.status == TransactionStatus::Committed)
        return this->applyCommitted(end.revision, this->sentAt);
    if (end.status == TransactionStatus::Ambiguous && !this->unclearSentAt)
        this->unclearSentAt = this->sentAt;
    this->nextAttempt = now + this->options.retryDelay;
    for (const StoredRowChange& conflict : end.conflicts) {
        const auto* row = conflict.value ? std::get_if<CellLease>(&*conflict.value) : nullptr;
        if (!row)
            continue;
        // The row is the one that this host sent: an earlier write whose answer was lost has taken effect.
        if (*row == this->sentRow)
            return this->applyCommitted(conflict.version, this->unclearSentAt.value_or(this->sentAt));
        return this->observe(*row, conflict.version, now);
    }
    return LeadershipChange::None;
}

LeadershipChange CellLeadership::applyCommitted(RowVersion version, Instant writeSentAt)
{
    this->lastRow = this->sentRow;
    this->lastVersion = version;
    this->lastChangedAt = writeSentAt;
    this->unclearSentAt.reset();
    this->hasObserved = true;
    this->nextAttempt = writeSentAt + this->options.renewInterval;
    if (this->sentRow.holder.isEmpty())
        return this->loseLeadership();
    if (this->sentRow.epoch <= this->lastLostEpoch) // a renewal that was in flight when the leadership ended
        return LeadershipChange::None;
    this->leaseEnd = writeSentAt + this->options.lease;
    if (this->ownEpoch == this->sentRow.epoch)
        return LeadershipChange::None;
    this->ownEpoch = this->sentRow.epoch;
    this->acquiredVersion = version;
    return LeadershipChange::Acquired;
}

LeadershipChange CellLeadership::fence()
{
    return this->ownEpoch == 0 ? LeadershipChange::None : this->loseLeadership();
}

LeadershipChange CellLeadership::loseLeadership()
{
    this->lastLostEpoch = std::max(this->lastLostEpoch, this->ownEpoch);
    this->ownEpoch = 0;
    this->leaseEnd = {};
    return LeadershipChange::Lost;
}

bool CellLeadership::isLeader(Instant now) const
{
    return this->ownEpoch != 0 && now < this->leaseEnd + this->options.storeOutageTimeout;
}

bool CellLeadership::holdsLease(Instant now) const
{
    return this->ownEpoch != 0 && now < this->leaseEnd;
}

} // namespace dragonflytray
