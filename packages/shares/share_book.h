#pragma once

// The leader's account of who may hold what. It keeps, for each runner, the sum of what every process may
// hold at most, of what is withheld for processes not heard, and of what is free equal to its slots.
//
// Example:
//
//     ShareBook book({ .releaseAfter = std::chrono::seconds(50) }, now);
//     book.changeHosts(entryHosts, runners, now);
//     book.takeReport(report, now);
//     for (ShareBook::Holder* holder : book.rebalance(now)) ...

#include "shares/shares_commands.h"
#include <map>
#include <utility>

namespace dragonflytray {

// ShareBook belongs to one epoch of one leader. Not thread-safe. rebalance() costs runners times holders; the
// rest is linear in the runners.
class ShareBook {
public:
    struct Options {
        Duration releaseAfter { std::chrono::seconds(52) }; // silence after which a process surely uses nothing
        Duration settleAfter { std::chrono::seconds(52) }; // tenure after which hosts not listed hold nothing
        Duration silentAfter { std::chrono::seconds(4) }; // silence after which a holder gets no more slots
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
        Instant heardAt;
        std::uint64_t reportSequence { 0 };
        std::uint64_t grantSequence { 0 }; // of `granted`; 0: nothing was granted
        bool isAcknowledged { true };
        bool isLeaving { false };
        std::map<HostName, int> held; // by its last report
        std::map<HostName, int> granted; // by the last grant
        std::map<HostName, int> desired;
        std::map<HostName, double> demand;

        // bound() is the most that the process may hold of `runner`.
        int bound(const HostName& runner) const;
    };

    ShareBook(Options options, Instant now);

    // Address tells the process that the list means from an earlier one under the same name.
    using Address = std::pair<HostName, Endpoint>;

    // changeHosts() takes the entry hosts with their peer endpoints and the slots of the runners of the data centre.
    void changeHosts(const std::map<HostName, Endpoint>& entryHosts, const std::map<HostName, int>& runners, Instant now);

    // resume() begins again after a time in which reports may have been missed.
    void resume(Instant now);

    // takeReport() returns the holder, or nothing when the report is older than one already taken.
    Holder* takeReport(const ShareReport& report, Instant now);

    // releaseSilent() frees what processes held that surely use nothing any more. `isListFresh` says that the
    // platform's list was read lately; nothing is freed from an old view.
    void releaseSilent(Instant now, bool isListFresh);

    // rebalance() decides anew and returns the holders whose grant changed.
    std::vector<Holder*> rebalance(Instant now);

    // unheard() are the listed entry hosts that have not reported to this book.
    std::vector<HostName> unheard() const;

    // isSettled() says whether nothing is withheld any more.
    bool isSettled() const { return this->settled; }

    // settle() ends the withholding: nobody can hold what was not reported.
    void settle();

private:
    struct Member {
        Holder* holder { nullptr };
        double target { 0 };
    };

    bool isCurrent(const Holder& holder, Instant now) const;
    // isDeparted() says whether the list has left the holder out for a while, so that it should give back.
    bool isDeparted(const Holder& holder, Instant now) const;
    bool isReleasable(const Holder& holder, Instant now) const;
    const Holder* latestAt(const Address& address) const;
    bool isListed(const Holder& holder) const;
    Address addressOf(const Holder& holder) const;
    void forgetDeparted();
    void rebalanceRunner(const HostName& runner, int slots, Instant now);
    void lowerSurplus(const HostName& runner, std::vector<Member>& members, int excess);
    void raiseDeficits(const HostName& runner, std::vector<Member>& members, int free);
    void moveOne(const HostName& runner, std::vector<Member>& members, Instant now);
    int withheldOf(const HostName& runner, int slots);
    int boundOfAll(const HostName& runner) const;

    Options options;
    Instant beganAt;
    bool settled { false };
    std::map<HostName, int> runners;
    std::map<HostName, Endpoint> entryHosts;
    std::map<Address, Instant> unlistedAt; // those that were listed once and are not now
    std::map<HolderId, Holder> holders;
    // One count for all holders: a process that was freed and comes back under the same epoch has seen earlier ones.
    std::uint64_t lastGrant { 0 };
    std::map<HostName, int> withheld;
    std::map<HostName, Instant> movedAt;
};

} // namespace dragonflytray
