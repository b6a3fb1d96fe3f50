#pragma once

// The lease that makes one entry host the leader of a cell.
//
// The lease is a row of the store that its holder renews by conditional writes. Another host acquires it once the row has
// not changed for the duration of the lease, measured on its own clock. The holder measures from the time at which it sent
// its last successful renewal, so that its lease always expires before another host can acquire it. If a renewal was sent
// several times because its result was unknown, the first time counts.
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

namespace dragonflytray {

// CellReport is the information about a cell that its leader writes into the lease for the other hosts. Its members are
// those of CellLease.
struct CellReport {
    std::int64_t capacityMillicores { 0 };
    std::vector<std::string> labels;
    std::vector<TaskId> unconfirmed;
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
        Duration retryDelay { std::chrono::milliseconds(200) }; // after a write that failed
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

    // owns() returns true if `write` is the write in flight.
    bool owns(std::uint64_t write) const { return this->inFlight == write && write != 0; }

    // isLeader() returns true if this host may decide for the cell. This includes the time after the lease for which it
    // continues without the store.
    bool isLeader(Instant now) const;

    // holdsLease() returns true if the lease has not expired.
    bool holdsLease(Instant now) const;

    // epoch() returns the epoch under which this host leads; 0: it does not lead.
    Epoch epoch() const { return this->ownEpoch; }

    // acquiredAt() returns the version of the write that acquired the lease.
    RowVersion acquiredAt() const { return this->acquiredVersion; }

    // isReleased() returns true if the lease is no longer held after release() and no write is in flight.
    bool isReleased() const { return this->isReleasing && this->ownEpoch == 0 && this->inFlight == 0; }

    // row() returns the last known content of the lease, changedAt() the time at which it last changed.
    const CellLease& row() const { return this->lastRow; }
    Instant changedAt() const { return this->lastChangedAt; }

    // renewImmediately() makes the next write due now, unless one is in flight.
    void renewImmediately() { this->nextAttempt = {}; }

private:
    bool mayAcquire(Instant now) const;
    LeadershipChange loseLeadership();
    LeadershipChange applyCommitted(RowVersion version, Instant writeSentAt);

    Options options;
    CellLease lastRow; // as last read or written
    RowVersion lastVersion { 0 }; // of lastRow; 0: the row does not exist
    Instant lastChangedAt; // when this host read or sent lastRow
    bool hasObserved { false }; // whether the row was ever read or written
    CellLease sentRow; // content of the last write
    std::uint64_t inFlight { 0 }; // number of the write in flight; 0: none
    Instant sentAt; // of the last write
    std::optional<Instant> unclearSentAt; // of the first write over lastRow whose result is unknown
    Instant leaseEnd; // of the own lease
    Instant nextAttempt; // no write before this
    Epoch ownEpoch { 0 }; // 0: this host does not lead
    Epoch lastLostEpoch { 0 }; // of the last leadership of this host that ended; 0: none
    RowVersion acquiredVersion { 0 };
    bool isReleasing { false }; // release() was called
};

} // namespace dragonflytray
