#pragma once

// Allocates the slots of runners to the processes of entry hosts, on the leader. For each runner, its slots are
// divided into those that a process may hold, those reserved for processes that have not reported yet, and free ones.
// Only free slots are granted.
//
// Example:
//
//     ShareAllocator allocator({ .releaseTimeout = std::chrono::seconds(50) }, now);
//     allocator.changeHosts(entryHosts, runners, now);
//     allocator.applyReport(report, now);
//     std::vector<ShareAllocator::Holder*> changed = allocator.rebalance(now);

#include "shares/shares_commands.h"
#include <map>
#include <utility>

namespace dragonflytray {

// ShareAllocator serves one leader in one epoch. It starts in recovery: until all processes that may hold slots have
// reported or timed out, slots that nobody has reported are reserved. Not thread-safe. rebalance() takes time
// proportional to runners times holders; applyReport() takes time linear in the runners.
class ShareAllocator {
public:
    struct Options {
        Duration releaseTimeout { std::chrono::seconds(52) }; // without a report for this long, a process uses no slots
        Duration recoveryTimeout { std::chrono::seconds(52) }; // after this, processes that are not listed hold no slots
        Duration reportTimeout { std::chrono::seconds(4) }; // without a report for this long, a holder gets no more slots
        Duration moveInterval { std::chrono::seconds(1) }; // minimum time between two moves of one runner's slots
        double demandSmoothing { 0.3 }; // weight of the latest report in the moving average
        double moveThreshold { 0.75 }; // slots off target, for giver and receiver, from which a slot is moved
    };

    // HolderId identifies one process of an entry host.
    struct HolderId {
        HostName host;
        Incarnation incarnation { 0 };

        auto operator<=>(const HolderId&) const = default;
    };

    // Holder is what the leader knows about one process of an entry host.
    struct Holder {
        HolderId id;
        Endpoint endpoint;
        Instant lastReportAt;
        std::uint64_t reportSequence { 0 };
        std::uint64_t grantSequence { 0 }; // of `granted`; 0: nothing was granted
        bool isAcknowledged { true }; // the holder has reported `grantSequence` or a later one
        bool isLeaving { false };
        std::map<HostName, int> held; // according to its last report
        std::map<HostName, int> granted; // according to the last grant sent
        std::map<HostName, int> desired; // to be granted next
        std::map<HostName, double> demand; // slots, moving average over reports

        // maxHeldSlots() returns the largest number of slots of `runner` that the process may hold now.
        int maxHeldSlots(const HostName& runner) const;
    };

    ShareAllocator(Options options, Instant now);

    // Address distinguishes the listed process from an earlier one with the same host name.
    using Address = std::pair<HostName, Endpoint>;

    // changeHosts() replaces the entry hosts of the data centre with their peer endpoints, and its runners with their
    // slots.
    void changeHosts(const std::map<HostName, Endpoint>& entryHosts, const std::map<HostName, int>& runners, Instant now);

    // restartTimeouts() restarts all timeouts. Call it after a period in which reports may have been missed.
    void restartTimeouts(Instant now);

    // applyReport() updates and returns the holder, or returns nullptr if this report or a later one was applied already.
    Holder* applyReport(const ShareReport& report, Instant now);

    // releaseExpired() removes holders that can use no slots any more, and ends recovery when nobody else may hold any.
    // `isListFresh` says whether the platform's host list was read recently; otherwise nothing is released, since the
    // silent process may still be listed.
    void releaseExpired(Instant now, bool isListFresh);

    // rebalance() computes new allocations and returns the holders to which a new grant has to be sent. The pointers are
    // valid until the next call of releaseExpired().
    std::vector<Holder*> rebalance(Instant now);

    // unreportedHosts() returns the listed entry hosts that have not reported to this allocator.
    std::vector<HostName> unreportedHosts() const;

    // isRecovered() says whether recovery has ended, so that no slots are reserved.
    bool isRecovered() const { return this->hasRecovered; }

    // finishRecovery() ends recovery and frees all reserved slots. Call it only when no process can hold slots that it
    // has not reported.
    void finishRecovery();

private:
    struct ActiveHolder {
        Holder* holder { nullptr };
        double target { 0 }; // slots
    };

    // isActive() says whether the holder may be given more slots.
    bool isActive(const Holder& holder, Instant now) const;
    // isDelisted() says whether the holder has been off the host list for the report timeout, so that its allocation is
    // withdrawn.
    bool isDelisted(const Holder& holder, Instant now) const;
    // isReleasable() says whether the holder can use no slots any more.
    bool isReleasable(const Holder& holder, Instant now) const;
    // latestHolderAt() returns the holder at `address` that reported last, or nullptr.
    const Holder* latestHolderAt(const Address& address) const;
    // isListed() says whether the host list shows this process, rather than another one with its name.
    bool isListed(const Holder& holder) const;
    // addressOf() returns the holder's reported address, or the listed one if it reported none.
    Address addressOf(const Holder& holder) const;
    void eraseRemovedRunners();
    void rebalanceRunner(const HostName& runner, int slots, Instant now);
    // reduceAllocations() withdraws `excess` slots, each from the holder furthest above its target.
    void reduceAllocations(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int excess);
    // distributeFreeSlots() allocates `free` slots, each to the holder furthest below its target.
    void distributeFreeSlots(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int free);
    // startMove() withdraws one slot from the holder furthest above its target if another one is far enough below. A
    // later rebalance gives the slot to that one, once it is reported free.
    void startMove(const HostName& runner, std::vector<ActiveHolder>& activeHolders, Instant now);
    // reservedSlots() returns the slots of `runner` reserved for processes that have not reported. At the first call for
    // a runner these are all that nobody has reported.
    int reservedSlots(const HostName& runner, int slots);
    // committedSlots() returns the slots of `runner` that holders may hold or are about to be granted.
    int committedSlots(const HostName& runner) const;

    Options options;
    Instant recoveryStartedAt;
    bool hasRecovered { false };
    std::map<HostName, int> runners;
    std::map<HostName, Endpoint> entryHosts;
    std::map<Address, Instant> delistedAt; // processes that were listed before and are not now
    std::map<HolderId, Holder> holders;
    // Shared by all holders: a process that was released and reports again in the same epoch ignores sequences that are
    // not higher than those it has seen.
    std::uint64_t lastGrantSequence { 0 };
    std::map<HostName, int> reserved; // slots of each runner, while in recovery
    std::map<HostName, Instant> lastMoveAt; // of each runner
};

} // namespace dragonflytray
