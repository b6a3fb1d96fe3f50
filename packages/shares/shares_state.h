#pragma once

// The state behind the shares of one entry host.

#include "shares/share_allocator.h"
#include "shares/shares_commands.h"
#include "shares/shares_effects.h"
#include "shares/shares_queries.h"
#include <array>
#include <deque>
#include <optional>

namespace dragonflytray {

// Shares owns what this host holds and, while it leads, the book of the data centre. Not thread-safe: one duty
// owns it. Deterministic. A command costs time linear in the runners of the data centre; the leader's
// tick, runners times entry hosts.
class Shares {
public:
    // Timing bounds how long words stay good. All hosts must agree on it.
    struct Timing {
        Duration isolationTimeout { std::chrono::seconds(10) }; // without evidence, a holder without guards gives up
        Duration pauseMargin { std::chrono::seconds(2) }; // pauses, clock rates and the news of a lost lease
        Duration maxListLag { std::chrono::seconds(10) }; // at most, of the platform's list
        Duration maxRequestDuration { std::chrono::seconds(30) }; // a request may run this long after its send

        // releaseTimeout() is the silence after which a process surely uses nothing any more.
        Duration releaseTimeout() const { return this->isolationTimeout + this->pauseMargin + this->maxListLag + this->maxRequestDuration; }
    };

    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Endpoint peerEndpoint; // of this host; port 0: as listed
        Incarnation incarnation { 1 }; // other than that of any earlier process of this name
        Timing timing {};
        Duration reportInterval { std::chrono::seconds(1) };
        Duration rebalanceInterval { std::chrono::milliseconds(500) };
        Duration guardedRecoveryTimeout { std::chrono::seconds(3) }; // tenure after which a leader with guards withholds nothing
        Duration moveInterval { std::chrono::seconds(1) };
    };

    explicit Shares(Options options);

    // handle() changes the state by one command and returns what has to be done.
    SharesEffects handle(const SharesCommand& command, Instant now);

    // ask() answers one query from the state.
    SharesView ask(const SharesQuery& query, Instant now) const;

private:
    using Handler = void (Shares::*)(const SharesCommand&, Instant, SharesEffects&);
    static const std::array<Handler, sharesCommandNames.size()> handlers;

    struct SentReport {
        std::uint64_t sequence { 0 };
        Instant sentAt;
    };

    void changeHosts(const SharesCommand& command, Instant now, SharesEffects& effects);
    void changeConfiguration(const SharesCommand& command, Instant now, SharesEffects& effects);
    void leaderChanged(const SharesCommand& command, Instant now, SharesEffects& effects);
    void listConfirmed(const SharesCommand& command, Instant now, SharesEffects& effects);
    void sharesHeld(const SharesCommand& command, Instant now, SharesEffects& effects);
    void reportReceived(const SharesCommand& command, Instant now, SharesEffects& effects);
    void grantReceived(const SharesCommand& command, Instant now, SharesEffects& effects);
    void stopShares(const SharesCommand& command, Instant now, SharesEffects& effects);
    void tick(const SharesCommand& command, Instant now, SharesEffects& effects);

    SharesView summary(const SharesQuery& query, Instant now) const;

    // Both roles.
    void detectPause(Instant now);
    void adoptEpoch(const HostName& nextLeader, Epoch nextEpoch);
    Endpoint endpointOf(const HostName& host) const;

    // As holder.
    Instant validUntil() const;
    void recordEvidence(Instant evidenceAt);
    void expireIfIsolated(Instant now);
    void setShares(const std::vector<SlotShare>& next);
    void publish(SharesEffects& effects);
    void sendReport(Instant now, SharesEffects& effects);
    ShareReport makeReport() const;
    void applyGrant(const ShareGrant& grant);
    bool isListed() const;
    // isDelistedTooLong() says whether every read of the list for the isolation limit left this process out, so that it has
    // been replaced and isn't merely cut off.
    bool isDelistedTooLong() const;

    // As assigner.
    void startLeading(Instant now);
    // hasCurrentAllocator() says whether the book is of the epoch in force.
    bool hasCurrentAllocator() const;
    void createAllocator(Instant now);
    void updateAllocatorHosts(Instant now);
    void sendGrant(const ShareAllocator::Holder& holder, bool withShares, Instant now, SharesEffects& effects);
    void announceLeadership(SharesEffects& effects);
    void rebalanceShares(Instant now, SharesEffects& effects);

    Options options;
    std::map<HostName, Host> entryHosts; // of this data centre
    std::map<HostName, int> runners; // slots of each, of this data centre
    ConfigurationVersion version { 0 };
    bool hasGuards { false }; // false until a declaration says so
    HostName leader;
    Endpoint leaderEndpoint; // as the leader says itself; port 0: as listed
    Epoch epoch { 0 };
    Instant lastCommandAt;
    bool hasHandledCommand { false };
    std::uint64_t pauses { 0 };

    // As holder.
    std::map<HostName, int> shares;
    std::map<HostName, int> held; // what routing may still be using
    std::vector<SlotShare> wanted;
    std::uint64_t revision { 0 };
    std::uint64_t grantSequence { 0 };
    std::uint64_t reportSequence { 0 };
    std::deque<SentReport> sentReports;
    std::optional<Instant> lastEvidenceAt;
    std::optional<Instant> delistedSince; // the first of the latest reads, none of which showed this host, began then
    bool isSuspended { false }; // after a pause, until there is new evidence
    Instant evidenceRequiredSince; // older evidence doesn't end a suspension
    std::optional<Instant> publishedValidUntil; // end of validity as last told to routing
    std::uint64_t publishedRevision { 0 };
    std::uint64_t expirations { 0 };
    bool isStopping { false };
    Instant nextReport;

    // As assigner.
    bool isLeading { false };
    Instant leadershipCheckedAt;
    std::optional<ShareAllocator> allocator;
    Epoch allocatorEpoch { 0 };
    std::uint64_t allocatorPauses { 0 }; // pauses of this process when it last began to lead
    Instant listRequestedAt; // of the latest read of the list
    Instant nextRebalance;
    Instant nextAnnouncement;
};

} // namespace dragonflytray
