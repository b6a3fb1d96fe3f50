#pragma once

// The leader's account of who may hold what. It keeps, for each runner, the sum of what every process may
// hold at most, of what is withheld for processes not heard, and of what is free equal to its slots.
//
// Example:
//
//     ShareAllocator book({ .releaseTimeout = std::chrono::seconds(50) }, now);
//     book.changeHosts(entryHosts, runners, now);
//     book.applyReport(report, now);
//     for (ShareAllocator::Holder* holder : book.rebalance(now)) ...

#include "shares/shares_commands.h"
#include <map>
#include <utility>

namespace dragonflytray {

// ShareAllocator belongs to one epoch of one leader. Not thread-safe. rebalance() costs runners times holders; the
// rest is linear in the runners.
class ShareAllocator {
public:
    struct Options {
        Duration releaseTimeout { std::chrono::seconds(52) }; // silence after which a process surely uses nothing
        Duration recoveryTimeout { std::chrono::seconds(52) }; // tenure after which hosts not listed hold nothing
        Duration reportTimeout { std::chrono::seconds(4) }; // silence after which a holder gets no more slots
        Duration moveInterval { std::chrono::seconds(1) }; // between two moves of one runner's slots
        double demandSmoothing { 0.3 }; // weight of the latest report
        double moveThreshold { 0.75 }; // slots off target, on both sides, that justify a move
    };

    struct HolderId {
        HostName host;
        Incarnation incarnation { 0 };

        auto operator<=>(const HolderId&) const = default;
    };

    // Holder is one process of an entry host.
    struct Holder {
        HolderId id;
        Endpoint endpoint;
        Instant lastReportAt;
        std::uint64_t reportSequence { 0 };
        std::uint64_t grantSequence { 0 }; // of `granted`; 0: nothing was granted
        bool isAcknowledged { true };
        bool isLeaving { false };
        std::map<HostName, int> held; // by its last report
        std::map<HostName, int> granted; // by the last grant
        std::map<HostName, int> desired;
        std::map<HostName, double> demand;

        // maxHeldSlots() is the most that the process may hold of `runner`.
        int maxHeldSlots(const HostName& runner) const;
    };

    ShareAllocator(Options options, Instant now);

    // Address tells the process that the list means from an earlier one under the same name.
    using Address = std::pair<HostName, Endpoint>;

    // changeHosts() takes the entry hosts with their peer endpoints and the slots of the runners of the data centre.
    void changeHosts(const std::map<HostName, Endpoint>& entryHosts, const std::map<HostName, int>& runners, Instant now);

    // restartTimeouts() begins again after a time in which reports may have been missed.
    void restartTimeouts(Instant now);

    // applyReport() returns the holder, or nothing when the report is older than one already taken.
    Holder* applyReport(const ShareReport& report, Instant now);

    // releaseExpired() frees what processes held that surely use nothing any more. `isListFresh` says that the
    // platform's list was read lately; nothing is freed from an old view.
    void releaseExpired(Instant now, bool isListFresh);

    // rebalance() decides anew and returns the holders whose grant changed.
    std::vector<Holder*> rebalance(Instant now);

    // unreportedHosts() are the listed entry hosts that have not reported to this book.
    std::vector<HostName> unreportedHosts() const;

    // isRecovered() says whether nothing is withheld any more.
    bool isRecovered() const { return this->hasRecovered; }

    // finishRecovery() ends the withholding: nobody can hold what was not reported.
    void finishRecovery();

private:
    struct ActiveHolder {
        Holder* holder { nullptr };
        double target { 0 };
    };

    bool isActive(const Holder& holder, Instant now) const;
    // isDelisted() says whether the list has left the holder out for a while, so that it should give back.
    bool isDelisted(const Holder& holder, Instant now) const;
    bool isReleasable(const Holder& holder, Instant now) const;
    const Holder* latestHolderAt(const Address& address) const;
    bool isListed(const Holder& holder) const;
    Address addressOf(const Holder& holder) const;
    void eraseRemovedRunners();
    void rebalanceRunner(const HostName& runner, int slots, Instant now);
    void reduceAllocations(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int excess);
    void distributeFreeSlots(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int free);
    void startMove(const HostName& runner, std::vector<ActiveHolder>& activeHolders, Instant now);
    int reservedSlots(const HostName& runner, int slots);
    int committedSlots(const HostName& runner) const;

    Options options;
    Instant recoveryStartedAt;
    bool hasRecovered { false };
    std::map<HostName, int> runners;
    std::map<HostName, Endpoint> entryHosts;
    std::map<Address, Instant> delistedAt; // those that were listed once and are not now
    std::map<HolderId, Holder> holders;
    // One count for all holders: a process that was freed and comes back under the same epoch has seen earlier ones.
    std::uint64_t lastGrantSequence { 0 };
    std::map<HostName, int> reserved;
    std::map<HostName, Instant> lastMoveAt;
};

} // namespace dragonflytray
