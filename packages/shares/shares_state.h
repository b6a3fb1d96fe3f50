#pragma once

// The state machine that manages the shares of one entry host and, on the leader, allocates those of all.
//
// Example:
//
//     Shares shares({ .self = HostName("entry-1"), .dataCentre = DataCentreName("dc1"), .incarnation = 17 });
//     SharesEffects effects = shares.handle(SharesTick {}, now);

#include "shares/share_allocator.h"
#include "shares/shares_commands.h"
#include "shares/shares_effects.h"
#include "shares/shares_queries.h"
#include <array>
#include <deque>
#include <optional>

namespace dragonflytray {

// Shares holds the shares of this host and, while it leads, the allocator of the data centre. Not thread-safe: one duty
// owns it. Deterministic. A command takes time linear in the runners of the data centre; the leader's tick takes time
// proportional to runners times entry hosts.
class Shares {
public:
    // Timing bounds how long a process may act on old information. All hosts must have the same values.
    struct Timing {
        Duration isolationTimeout { std::chrono::seconds(10) }; // without evidence for this long, shares expire
        Duration pauseMargin { std::chrono::seconds(2) }; // for process pauses, clock drift and late news of a lost lease
        Duration maxListLag { std::chrono::seconds(10) }; // maximum staleness of the platform's host list
        Duration maxRequestDuration { std::chrono::seconds(30) }; // from sending a request to its end

        // releaseTimeout() returns the time without a report after which a process can use no slots any more.
        Duration releaseTimeout() const { return this->isolationTimeout + this->pauseMargin + this->maxListLag + this->maxRequestDuration; }
    };

    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Endpoint peerEndpoint; // of this host; port 0: the listed one
        Incarnation incarnation { 1 }; // must be nonzero and differ from all earlier processes with this name
        Timing timing {};
        Duration reportInterval { std::chrono::seconds(1) };
        Duration rebalanceInterval { std::chrono::milliseconds(500) };
        Duration guardedRecoveryTimeout { std::chrono::seconds(3) }; // with guards, a new leader ends recovery after this
        Duration moveInterval { std::chrono::seconds(1) }; // minimum time between two moves of one runner's slots
    };

    explicit Shares(Options options);

    // handle() applies one command and returns the effects to carry out. `now` is a time of one monotonic clock.
    SharesEffects handle(const SharesCommand& command, Instant now);

    // ask() answers one query without changing the state.
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

    // For both roles.

    // detectPause() suspends shares and leadership if the process was paused since the last command.
    void detectPause(Instant now);
    // adoptEpoch() follows `nextLeader` in `nextEpoch`; a higher epoch voids what was known of the former leader.
    void adoptEpoch(const HostName& nextLeader, Epoch nextEpoch);
    // endpointOf() returns the listed peer endpoint of an entry host; port 0 if it isn't listed.
    Endpoint endpointOf(const HostName& host) const;

    // As holder.

    // validUntil() returns when the shares expire unless new evidence arrives.
    Instant validUntil() const;
    // recordEvidence() records that the leader or the host list confirmed this process no earlier than `evidenceAt`.
    void recordEvidence(Instant evidenceAt);
    // expireIfIsolated() drops all shares if there has been no evidence for the isolation timeout. With guards, the
    // process must also be delisted.
    void expireIfIsolated(Instant now);
    void setShares(const std::vector<SlotShare>& next);
    // publish() sends shares and their validity to routing if either changed.
    void publish(SharesEffects& effects);
    void sendReport(Instant now, SharesEffects& effects);
    ShareReport makeReport() const;
    void applyGrant(const ShareGrant& grant);
    // isListed() says whether the host list shows this process, rather than another one with its name.
    bool isListed() const;
    // isDelistedTooLong() says whether every host list that was read for the isolation timeout left this process out. It
    // was then replaced by another process, whereas a process that is only cut off reads no lists.
    bool isDelistedTooLong() const;

    // As leader.

    void startLeading(Instant now);
    // hasCurrentAllocator() says whether the allocator belongs to the present epoch.
    bool hasCurrentAllocator() const;
    void createAllocator(Instant now);
    void updateAllocatorHosts(Instant now);
    // sendGrant() sends the holder an acknowledgement of its last report, with its shares if `withShares` is set. A grant
    // to this process itself is applied at once.
    void sendGrant(const ShareAllocator::Holder& holder, bool withShares, Instant now, SharesEffects& effects);
    // announceLeadership() sends the present epoch to entry hosts that have not reported in it.
    void announceLeadership(SharesEffects& effects);
    // rebalanceShares() releases expired holders and sends the grants that changed.
    void rebalanceShares(Instant now, SharesEffects& effects);

    Options options;
    std::map<HostName, Host> entryHosts; // of this data centre
    std::map<HostName, int> runners; // slots of each runner of this data centre
    ConfigurationVersion version { 0 }; // of the declaration in force
    bool hasGuards { false }; // false until a declaration is known
    HostName leader;
    Endpoint leaderEndpoint; // according to the leader's grants; port 0: the listed one
    Epoch epoch { 0 };
    Instant lastCommandAt;
    bool hasHandledCommand { false };
    std::uint64_t pauses { 0 };

    // As holder.
    std::map<HostName, int> shares; // as granted
    std::map<HostName, int> held; // what routing may still use, at least `shares`
    std::vector<SlotShare> wanted;
    std::uint64_t revision { 0 }; // counts changes of `shares`
    std::uint64_t grantSequence { 0 }; // of the last grant applied in this epoch
    std::uint64_t reportSequence { 0 };
    std::deque<SentReport> sentReports; // of the last isolation timeout
    std::optional<Instant> lastEvidenceAt;
    std::optional<Instant> delistedSince; // start of the first of the latest reads that all left this process out
    bool isSuspended { false }; // after a pause, until there is new evidence
    Instant evidenceRequiredSince; // older evidence doesn't end a suspension
    std::optional<Instant> publishedValidUntil; // as last sent to routing
    std::uint64_t publishedRevision { 0 };
    std::uint64_t expirations { 0 };
    bool isStopping { false };
    Instant nextReport;

    // As leader.
    bool isLeading { false };
    Instant leadershipCheckedAt;
    std::optional<ShareAllocator> allocator;
    Epoch allocatorEpoch { 0 };
    std::uint64_t allocatorPauses { 0 }; // value of `pauses` when this process last started to lead
    Instant listRequestedAt; // start of the latest successful read of the host list
    Instant nextRebalance;
    Instant nextAnnouncement;
};

} // namespace dragonflytray
