#pragma once

// The state machine that tracks hosts and configuration on one entry host.
//
// Example:
//
//     Membership membership({ .self = HostName("entry-1"), .dataCentre = DataCentreName("dc1") });
//     MembershipEffects effects = membership.handle(MembershipTick {}, now); // reads the host list and the table

#include "membership/membership_commands.h"
#include "membership/membership_effects.h"
#include "membership/membership_queries.h"
#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace dragonflytray {

// ApplyStage is the progress of an apply.
enum class ApplyStage {
    WritingObject, // the write of the text to the object store has been sent
    WritingRow, // the transaction has been sent to the table
    ResolvingOutcome, // the transaction may have committed; it is sent again until the table gives a clear answer
    AwaitingWinner, // another version won; the reply waits until that version is in force on this host
};

inline constexpr NameTable applyStageNames { std::to_array<NameEntry<ApplyStage>>({
    { ApplyStage::WritingObject, "writing-object" },
    { ApplyStage::WritingRow, "writing-row" },
    { ApplyStage::ResolvingOutcome, "reading-back" },
    { ApplyStage::AwaitingWinner, "awaiting-winner" },
}) };
static_assert(applyStageNames.isWhole(ApplyStage::AwaitingWinner));

// Membership holds the known hosts, the declaration in force and the pending applies. Not thread-safe: one duty owns it.
// Deterministic. A heartbeat or a read of the host list takes time n log n in the number of hosts.
class Membership {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Duration heartbeatInterval { std::chrono::seconds(1) };
        Duration listReadInterval { std::chrono::seconds(1) };
        Duration configurationReadInterval { std::chrono::seconds(2) };
        Duration applyTimeout { std::chrono::seconds(8) }; // from ApplyDeclaration to its reply
        Duration resendInterval { std::chrono::milliseconds(500) }; // between attempts of an ambiguous transaction
        Duration suspectTimeout { std::chrono::seconds(3) }; // without a heartbeat for this long, a peer is suspected
        Duration goneHostRetention { std::chrono::minutes(1) }; // how long delisted hosts and old heartbeats are kept
        Duration winnerTimeout { std::chrono::seconds(3) }; // for reading the text of the version that won
        Duration tableTimeout { std::chrono::seconds(5) }; // without a read for this long, peers are trusted about versions
    };

    explicit Membership(Options options);

    // handle() applies one command and returns the effects to carry out. `now` is a time of one monotonic clock.
    MembershipEffects handle(const MembershipCommand& command, Instant now);

    // ask() answers one query without changing the state.
    MembershipView ask(const MembershipQuery& query, Instant now) const;

    // isReady() says whether a declaration and a host list are known and the host isn't shutting down.
    bool isReady() const { return this->version > 0 && this->isListRead && !this->isStopping; }

private:
    using Handler = void (Membership::*)(const MembershipCommand&, Instant, MembershipEffects&);
    static const std::array<Handler, membershipCommandNames.size()> handlers;

    struct Peer {
        PeerHeartbeat heartbeat;
        Instant lastHeartbeatAt;
    };
    // KnownRow is a version of the configuration row, with its revision in the table and the transaction that wrote it.
    struct KnownRow {
        ConfigurationRow value;
        RowVersion revision { 0 };
        TransactionId writer;
    };
    struct PendingApply {
        ApplyDeclaration command;
        std::string objectKey;
        ApplyStage stage { ApplyStage::WritingObject };
        Instant deadline;
        Instant nextSend; // of the transaction, while its outcome is being resolved
        Transaction transaction {}; // empty until the object is written
        bool mayHaveCommitted { false }; // a result was ambiguous
        ConfigurationVersion winningVersion { 0 }; // once another version has won
        bool isEnded { false }; // the operator has been answered
    };

    void heartbeatReceived(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void applyDeclaration(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void transactionEnded(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void rowsRead(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void objectRead(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void objectWritten(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void hostListRead(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void stopMembership(const MembershipCommand& command, Instant now, MembershipEffects& effects);
    void tick(const MembershipCommand& command, Instant now, MembershipEffects& effects);

    MembershipView status(const MembershipQuery& query, Instant now) const;
    MembershipView configuration(const MembershipQuery& query, Instant now) const;

    struct GoneHost {
        Host host;
        Instant goneSince; // when the list without it was read
    };

    // publishHosts() publishes the listed hosts if they changed. A host whose heartbeat says that it is leaving is marked
    // as leaving, even if the list doesn't show that yet.
    void publishHosts(MembershipEffects& effects);
    HostStatus statusOf(const Host& host, Instant now) const;
    // eraseExpired() removes old gone hosts and heartbeats, and texts of versions that have left the row's history.
    void eraseExpired(Instant now);
    void countMissedHeartbeats(Instant now);

    PeerHeartbeat makeHeartbeat() const;
    void sendHeartbeats(MembershipEffects& effects);

    // applyRow() stores the configuration row if it is newer than the known one, and ends the applies whose outcome it
    // shows.
    void applyRow(const RowChange& change, Instant now, MembershipEffects& effects);
    // readNewerTexts() requests the texts of versions that are higher than the one in force.
    void readNewerTexts(Instant now, MembershipEffects& effects);
    // readHistoryTexts() requests the texts of the row's history that are not cached.
    void readHistoryTexts(MembershipEffects& effects);
    // cacheText() stores the text of each version in the row's history that has this key.
    void cacheText(const std::string& key, const std::string& earlier);
    // isClaimTrusted() says whether the claimed version is higher than the known ones, the table has not been readable
    // for the table timeout, and enough peers claim the same version and key.
    bool isClaimTrusted(const PeerHeartbeat& claim, Instant now) const;
    // activateDeclaration() puts a version in force if it is higher than the present one and its text is intact.
    void activateDeclaration(ConfigurationVersion newVersion, const std::string& key, const std::string& newText, Instant now, MembershipEffects& effects);

    // findApply() returns the pending apply with this transaction, or nullptr.
    PendingApply* findApply(const TransactionId& transaction);
    // writeRow() sends the transaction that writes the configuration row, on condition that the row is the known one.
    void writeRow(PendingApply& apply, Instant now, MembershipEffects& effects);
    // resolveByRow() ends the apply if `row` proves that its transaction has committed or never will.
    void resolveByRow(PendingApply& apply, const KnownRow& row, Instant now, MembershipEffects& effects);
    void resolveConflict(PendingApply& apply, const TransactionResult& result, Instant now, MembershipEffects& effects);
    // completeApply() puts the applied version in force and answers the operator.
    void completeApply(PendingApply& apply, Instant now, MembershipEffects& effects);
    // rejectApply() answers the operator with a conflict once `winningVersion` is in force on this host, so that the reply
    // can show the differences, or at the latest after the winner timeout.
    void rejectApply(PendingApply& apply, ConfigurationVersion winningVersion, Instant now, MembershipEffects& effects);
    // endApply() answers the operator.
    void endApply(PendingApply& apply, ApplyStatus status, MembershipEffects& effects);
    // advanceApplies() ends applies at their deadline and sends ambiguous transactions again.
    void advanceApplies(Instant now, MembershipEffects& effects);

    Options options;
    std::vector<Host> listedHosts;
    std::vector<Host> publishedHosts;
    std::map<HostName, GoneHost> goneHosts;
    MembershipCounts counts;
    bool isListRead { false }; // at least once
    Instant lastListReadAt;
    Instant nextListRead;
    Instant nextHeartbeat;
    Instant nextConfigurationRead;
    std::map<HostName, Peer> peers;
    ConfigurationVersion version { 0 }; // in force on this host; 0: none
    std::string objectKey; // of the version in force
    std::string text; // of the version in force
    std::map<ConfigurationVersion, std::string> cachedTexts; // of the version in force and of versions in the row's history
    std::shared_ptr<const Declaration> declaration; // in force
    KnownRow row; // the latest one read from the table
    RowVersion historyReadRevision { 0 }; // of the row whose history texts were last requested
    std::optional<Instant> lastTableReadAt; // until the first successful read: when the first read was requested
    std::vector<PendingApply> applies;
    std::uint64_t transactionCount { 0 }; // makes transaction identifiers unique
    bool isStopping { false };
};

} // namespace dragonflytray
