#include "scheduling/cell_leadership.h"

#include <algorithm>

namespace dragonflytray {

CellLeadership::CellLeadership(Options options)
    : options(std::move(options))
{
}

LeadershipChange CellLeadership::observe(const CellLease& row, RowVersion version, Instant now)
{
    if (this->hasObserved && version <= this->lastVersion)
        return LeadershipChange::None;
    return this->resolve(row, version, now);
}

LeadershipChange CellLeadership::resolve(const CellLease& row, RowVersion version, Instant now)
{
    const auto sent = std::find_if(this->sentWrites.begin(), this->sentWrites.end(), [&](const SentWrite& write) { return write.row == row; });
    if (sent != this->sentWrites.end())
        return this->applyCommitted(*sent, version);
    this->hasObserved = true;
    this->lastRow = row;
    this->lastVersion = version;
    this->lastChangedAt = now;
    this->dropObsoleteWrites();
    const bool isForeign = row.holder != this->options.self || row.epoch != this->ownEpoch;
    if (this->ownEpoch != 0 && row.epoch >= this->ownEpoch && isForeign)
        return this->loseLeadership();
    return LeadershipChange::None;
}

void CellLeadership::dropObsoleteWrites()
{
    std::erase_if(this->sentWrites, [this](const SentWrite& write) { return !write.isInFlight && write.replaced < this->lastVersion; });
}

std::size_t CellLeadership::writesInFlight() const
{
    return static_cast<std::size_t>(std::count_if(this->sentWrites.begin(), this->sentWrites.end(), [](const SentWrite& write) { return write.isInFlight; }));
}

bool CellLeadership::isReleased() const
{
    const bool mayAcquireYet = std::any_of(this->sentWrites.begin(), this->sentWrites.end(), [this](const SentWrite& write) { return write.isInFlight && write.replaced >= this->lastVersion; });
    return this->isReleasing && this->ownEpoch == 0 && !mayAcquireYet;
}

bool CellLeadership::owns(std::uint64_t write) const
{
    return std::any_of(this->sentWrites.begin(), this->sentWrites.end(), [write](const SentWrite& sent) { return sent.number == write && sent.isInFlight; });
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
    const std::size_t inFlight = this->writesInFlight();
    if (inFlight >= this->options.maxWritesInFlight || now < this->nextAttempt)
        return false;
    if ((inFlight > 0 || this->hasFailed) && now < this->lastSentAt + this->options.attemptInterval)
        return false;
    return this->ownEpoch != 0 || (!this->isReleasing && this->mayAcquire(now));
}

WriteStoredRows CellLeadership::nextWrite(std::uint64_t number, const CellReport& report, Instant now)
{
    const bool isHolder = this->ownEpoch != 0;
    this->lastRenewalCount = std::max(this->lastRow.renewalCount, this->lastRenewalCount) + 1; // no two writes are equal
    const CellLease row {
        .holder = isHolder && this->isReleasing ? HostName() : this->options.self,
        .epoch = isHolder ? this->ownEpoch : this->lastRow.epoch + 1,
        .renewalCount = this->lastRenewalCount,
        .capacityMillicores = isHolder ? report.capacityMillicores : this->lastRow.capacityMillicores,
        .labels = isHolder ? report.labels : this->lastRow.labels,
        .unconfirmed = isHolder ? report.unconfirmed : this->lastRow.unconfirmed,
        .silentWorkers = isHolder ? std::vector<WorkerId>() : this->lastRow.silentWorkers,
        .rosterSize = isHolder ? report.rosterSize : this->lastRow.rosterSize,
        .isRosterComplete = isHolder ? report.isRosterComplete : this->lastRow.isRosterComplete || this->lastRow.epoch == 0,
        .forecast = isHolder && !this->isReleasing ? report.forecast : std::nullopt,
    };
    this->sentWrites.push_back({ .number = number, .row = row, .report = isHolder ? report.number : 0, .replaced = this->lastVersion, .sentAt = now });
    this->lastSentAt = now;
    if (row.holder.isEmpty() && !this->releaseSentAt)
        this->releaseSentAt = now;
    const StoredRowKey key { StoredRowKind::CellLease, this->options.cell.value() };
    WriteStoredRows write { .write = number, .partition = leasePartition, .conditions = { { key, this->lastVersion } }, .puts = { { key, row } }, .removals = {} };
    if (isHolder)
        write.puts.insert(write.puts.end(), report.rosterPuts.begin(), report.rosterPuts.end());
    return write;
}

LeadershipChange CellLeadership::writeEnded(const RowsWriteEnded& end, Instant now)
{
    const auto sent = std::find_if(this->sentWrites.begin(), this->sentWrites.end(), [&](const SentWrite& write) { return write.number == end.write; });
    if (sent == this->sentWrites.end())
        return LeadershipChange::None;
    sent->isInFlight = false;
    if (end.status == TransactionStatus::Committed)
        return this->applyCommitted(*sent, end.revision);
    if (sent->replaced == this->lastVersion) {
        this->hasFailed = true;
        if (end.status != TransactionStatus::Ambiguous)
            this->nextAttempt = now + this->options.retryDelay;
    }
    if (end.status != TransactionStatus::Ambiguous)
        this->sentWrites.erase(sent);
    this->dropObsoleteWrites();
    for (const StoredRowChange& conflict : end.conflicts) {
        if (const auto* row = conflict.value ? std::get_if<CellLease>(&*conflict.value) : nullptr)
            return this->observe(*row, conflict.version, now);
    }
    return LeadershipChange::None;
}

LeadershipChange CellLeadership::applyCommitted(SentWrite write, RowVersion version)
{
    if (this->hasObserved && version <= this->lastVersion) { // the feed has shown it already
        this->dropObsoleteWrites();
        return LeadershipChange::None;
    }
    this->lastRow = write.row;
    this->lastVersion = version;
    this->lastChangedAt = write.sentAt;
    this->hasObserved = true;
    this->hasFailed = false;
    std::erase_if(this->sentWrites, [&](const SentWrite& sent) { return sent.number == write.number && !sent.isInFlight; });
    this->dropObsoleteWrites();
    if (write.report != 0)
        this->storedReport = { write.report, version };
    this->nextAttempt = write.sentAt + this->options.renewInterval;
    if (write.row.holder.isEmpty())
        return this->loseLeadership();
    if (write.row.epoch <= this->lastLostEpoch) // a renewal that was in flight when the leadership ended
        return LeadershipChange::None;
    this->leaseEnd = std::max(this->leaseEnd, write.sentAt + this->options.lease);
    if (this->ownEpoch == write.row.epoch)
        return LeadershipChange::None;
    this->ownEpoch = write.row.epoch;
    this->acquiredVersion = version;
    return LeadershipChange::Acquired;
}

void CellLeadership::renewSoon()
{
    if (!this->hasFailed)
        this->nextAttempt = std::min(this->nextAttempt, this->lastSentAt + this->options.minRenewInterval);
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

Instant CellLeadership::leaseEndsAt() const
{
    return this->releaseSentAt ? std::min(this->leaseEnd, *this->releaseSentAt) : this->leaseEnd;
}

bool CellLeadership::isLeader(Instant now) const
{
    return this->ownEpoch != 0 && now < this->leaseEndsAt() + this->options.storeOutageTimeout;
}

bool CellLeadership::holdsLease(Instant now) const
{
    return this->ownEpoch != 0 && now < this->leaseEndsAt();
}

} // namespace dragonflytray
