#pragma once

// The lease that makes one entry host the leader of a cell.
//
// The lease is a row of the store that its holder renews by conditional writes. Another host acquires it once the row has
// not changed for the duration of the lease, measured on its own clock. The holder measures from the time at which it sent
// its last successful renewal, so that its lease always expires before another host can acquire it.
//
// A write without an answer does not cost the lease: it is sent again soon, and the row shows which of the writes was stored.
// At most one of them can be, since each is conditional on the version that they replace.
//
// Without the store, a leader continues for a limited time after its lease, or until a worker rejects a call because it
// knows a higher epoch. Its successor has to expect runs that were started in that time.
//
// Example:
//
//     CellLeadership leadership({ .self = HostName("entry-1"), .cell = CellName("whole") });
//     leadership.observe(lease, version, now);
//     if (leadership.isWriteDue(now))
//         effects.push_back(leadership.nextWrite(number, report, now));

#include "scheduling/scheduling_commands.h"
#include <utility>

namespace dragonflytray {

// CellReport is the information about a cell that its leader writes together with the lease, for the other hosts and for its
// successor. Members that CellLease has too are described there.
struct CellReport {
    std::uint64_t number { 0 }; // counts up from 1 on each host
    std::int64_t capacityMillicores { 0 };
    std::vector<std::string> labels {};
    std::vector<TaskId> unconfirmed {};
    std::uint64_t rosterSize { 0 };
    bool isRosterComplete { false };
    std::vector<StoredRowPut> rosterPuts {}; // changed rows of the roster
    std::optional<Forecast> forecast {};
};

// StoredReport names a report that the store holds.
struct StoredReport {
    std::uint64_t number { 0 };
    RowVersion version { 0 };
};

// LeadershipChange is the effect of an observation or a write on the leadership of this host.
enum class LeadershipChange {
    None,
    Acquired,
    Lost,
};

// CellLeadership decides when this host acquires, renews and releases the lease of one cell. Not thread-safe.
class CellLeadership {
public:
    struct Options {
        HostName self;
        CellName cell;
        Duration lease { std::chrono::milliseconds(1500) }; // a change of the leader has to fit into the lease of workers
        Duration renewInterval { std::chrono::milliseconds(500) }; // three renewals per lease
        Duration minRenewInterval { std::chrono::milliseconds(100) }; // between renewals that carry an urgent report
        Duration retryDelay { std::chrono::milliseconds(200) }; // after a write that failed
        Duration attemptInterval { std::chrono::milliseconds(150) }; // without an answer, after which a write is sent again; twice a round trip between regions
        std::size_t maxWritesInFlight { 6 };
        Duration acquisitionDelay { 0 }; // waited in addition to the lease; shorter on hosts that are preferred as leader
        Duration storeOutageTimeout { std::chrono::seconds(5) }; // for which a leader continues after its lease without the store
    };

    explicit CellLeadership(Options options);

    // observe() applies the row as read from the store. Versions that are not newer than the known one have no effect.
    LeadershipChange observe(const CellLease& row, RowVersion version, Instant now);

    // isWriteDue() returns true if the lease should be acquired, renewed or released now.
    bool isWriteDue(Instant now) const;

    // nextWrite() returns the conditional write that is due, under the given number. Requires isWriteDue().
    WriteStoredRows nextWrite(std::uint64_t number, const CellReport& report, Instant now);

    // storeRegained() restarts the acquisition delay after an outage of the store, so that preferred hosts are the first to
    // acquire the lease then, too.
    void storeRegained(Instant now);

    // beginObserving() starts the acquisition delay of a lease that has never existed. Later calls have no effect.
    void beginObserving(Instant now);

    // writeEnded() handles the result of a write that nextWrite() returned.
    LeadershipChange writeEnded(const RowsWriteEnded& end, Instant now);

    // release() gives the lease up with the next write. This host never acquires it again.
    void release() { this->isReleasing = true; }

    // fence() ends the leadership of this host, for example because a worker or the store knows a higher epoch.
    LeadershipChange fence();

    // owns() returns true if `write` is a write in flight.
    bool owns(std::uint64_t write) const;

    // isLeader() returns true if this host may decide for the cell. This includes the time after the lease for which it
    // continues without the store.
    bool isLeader(Instant now) const;

    // leaseEndsAt() returns the end of the own lease, which a release ends when it is sent; it is past if this host has none.
    Instant leaseEndsAt() const;

    // holdsLease() returns true if the lease has not expired.
    bool holdsLease(Instant now) const;

    // epoch() returns the epoch under which this host leads; 0: it does not lead.
    Epoch epoch() const { return this->ownEpoch; }

    // acquiredAt() returns the version of the write that acquired the lease.
    RowVersion acquiredAt() const { return this->acquiredVersion; }

    // isReleased() returns true if the lease is no longer held after release() and no write in flight can acquire it.
    bool isReleased() const;

    // row() returns the last known content of the lease, changedAt() the time at which it last changed.
    const CellLease& row() const { return this->lastRow; }
    Instant changedAt() const { return this->lastChangedAt; }

    // renewImmediately() makes the next write due now, unless one is in flight.
    void renewImmediately() { this->nextAttempt = {}; }

    // renewSoon() makes the next renewal due Options::minRenewInterval after the last one, unless that one failed.
    void renewSoon();

    // takeStoredReport() returns the newest report that is known to be stored, once.
    std::optional<StoredReport> takeStoredReport() { return std::exchange(this->storedReport, std::nullopt); }

private:
    // SentWrite is a write that is in flight, or whose result is unknown.
    struct SentWrite {
        std::uint64_t number { 0 };
        CellLease row;
        std::uint64_t report { 0 }; // number; 0: none
        RowVersion replaced { 0 }; // version that the row must have
        Instant sentAt;
        bool isInFlight { true };
    };

    bool mayAcquire(Instant now) const;
    std::size_t writesInFlight() const;
    LeadershipChange loseLeadership();

    // resolve() applies the row as the store holds it: one of the writes of this host, or another row.
    LeadershipChange resolve(const CellLease& row, RowVersion version, Instant now);
    LeadershipChange applyCommitted(SentWrite write, RowVersion version);

    // dropObsoleteWrites() forgets the writes that can't be stored any more, except those in flight.
    void dropObsoleteWrites();

    Options options;
    CellLease lastRow; // as last read or written
    RowVersion lastVersion { 0 }; // of lastRow; 0: the row does not exist
    Instant lastChangedAt; // when this host read or sent lastRow
    bool hasObserved { false }; // whether the row was ever read or written
    std::vector<SentWrite> sentWrites; // in the order in which they were sent
    std::uint64_t lastRenewalCount { 0 }; // of the last write
    std::optional<StoredReport> storedReport; // not taken yet
    bool hasFailed { false }; // the last result of a write was not that it is stored
    Instant lastSentAt; // of any write
    Instant leaseEnd; // of the own lease
    Instant nextAttempt; // no write before this
    Epoch ownEpoch { 0 }; // 0: this host does not lead
    Epoch lastLostEpoch { 0 }; // of the last leadership of this host that ended; 0: none
    RowVersion acquiredVersion { 0 };
    bool isReleasing { false }; // release() was called
    std::optional<Instant> releaseSentAt; // when the lease was first given up; a successor may acquire it from then on
};

} // namespace dragonflytray
