#pragma once

// The lease by which one entry host leads a cell.
//
// The lease is a row of the store that its holder renews by conditional writes. Another host takes it once
// the row has not changed for the lease's duration on its own clock. The holder counts from the moment at
// which it sent its last recorded renewal, so it always gives up first.
//
// Example:
//
//     CellLeadership leadership({ .self = HostName("entry-1"), .cell = DataCentreName("rs-poa") });
//     leadership.observe(lease, version, now);
//     if (leadership.isWriteDue(now))
//         effects.push_back(leadership.nextWrite(number, report, now));

#include "scheduling/scheduling_commands.h"

namespace dragonflytray {

// CellReport is what the leader adds to its lease for the other hosts.
struct CellReport {
    std::int64_t capacityMillicores { 0 };
    std::vector<std::string> labels;
    std::vector<TaskId> unconfirmed;
};

// LeadershipChange says what an observation or a write changed.
enum class LeadershipChange {
    None,
    Acquired,
    Lost,
};

// CellLeadership decides when this host takes, renews and gives up the lease of one cell. Not thread-safe.
class CellLeadership {
public:
    struct Options {
        HostName self;
        CellName cell;
        Duration lease { std::chrono::milliseconds(1500) }; // a takeover has to fit in the lease of workers
        Duration renewInterval { std::chrono::milliseconds(500) }; // three renewals in a lease
        Duration retryInterval { std::chrono::milliseconds(200) }; // after a write without effect
        Duration takeDelay { 0 }; // beyond the lease; smaller on hosts that should lead
        Duration storeOutageTimeout { std::chrono::seconds(5) }; // decides on without the store after its lease
    };

    explicit CellLeadership(Options options);

    // observe() takes the row as read from the store.
    LeadershipChange observe(const CellLease& row, RowVersion version, Instant now);

    // isWriteDue() says whether the lease should be taken, renewed or given up now.
    bool isWriteDue(Instant now) const;

    // nextWrite() is the conditional write that is due. Call it when isWriteDue().
    WriteStoredRows nextWrite(std::uint64_t number, const CellReport& report, Instant now);

    // storeRegained() counts the delay before a lease is taken anew, so that after an outage, too, the hosts that
    // should lead come first.
    void storeRegained(Instant now);

    // beginWatch() counts the delay before a lease that nobody ever took from `now`. Later calls change nothing.
    void beginWatch(Instant now);

    // writeEnded() takes the end of a write of nextWrite().
    LeadershipChange writeEnded(const RowsWriteEnded& end, Instant now);

    // giveUp() lets the lease go with the next write and never takes it again.
    void giveUp() { this->isGivingUp = true; }

    // fence() notes that a worker has met a higher epoch.
    LeadershipChange fence();

    // owns() says whether `write` is the one in flight.
    bool owns(std::uint64_t write) const { return this->inFlight == write && write != 0; }

    // isLeader() says whether this host may decide for the cell.
    bool isLeader(Instant now) const;

    // holdsLease() says whether the lease is surely valid.
    bool holdsLease(Instant now) const;

    // epoch() is the epoch of the own leadership; 0: none.
    Epoch epoch() const { return this->ownEpoch; }

    // acquiredAt() is the version of the write that took the lease.
    RowVersion acquiredAt() const { return this->acquiredVersion; }

    // isGivenUp() says whether a wanted hand-over is done.
    bool isGivenUp() const { return this->isGivingUp && this->ownEpoch == 0 && this->inFlight == 0; }

    // row() is the lease as last known, and seenAt() when it last changed.
    const CellLease& row() const { return this->lastRow; }
    Instant seenAt() const { return this->lastSeen; }

    // renewSoon() brings the next renewal forward to now.
    void renewSoon() { this->nextAttempt = {}; }

private:
    bool mayTake(Instant now) const;
    LeadershipChange lose();
    LeadershipChange recorded(const RowsWriteEnded& end);

    Options options;
    CellLease lastRow;
    RowVersion lastVersion { 0 };
    Instant lastSeen;
    bool hasSeen { false };
    CellLease sentRow;
    std::uint64_t inFlight { 0 };
    Instant sentAt;
    Instant leaseEnd;
    Instant nextAttempt;
    Epoch ownEpoch { 0 };
    RowVersion acquiredVersion { 0 };
    bool isGivingUp { false };
};

} // namespace dragonflytray
