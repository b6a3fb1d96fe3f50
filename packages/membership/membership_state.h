#pragma once

// The state behind the view of hosts and configuration of one entry host.

#include "membership/membership_commands.h"
#include "membership/membership_effects.h"
#include "membership/membership_queries.h"
#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace dragonflytray {

// ApplyStage is how far an apply has come.
enum class ApplyStage {
    WritingObject, // the text is on its way to the object store
    WritingRow, // the transaction is on its way to the table
    ResolvingOutcome, // the transaction may have taken effect; it is sent again until the table says
    AwaitingWinner, // another version was accepted; the operator is told once it is in force here
};

inline constexpr NameTable applyStageNames { std::to_array<NameEntry<ApplyStage>>({
    { ApplyStage::WritingObject, "writing-object" },
    { ApplyStage::WritingRow, "writing-row" },
    { ApplyStage::ResolvingOutcome, "reading-back" },
    { ApplyStage::AwaitingWinner, "awaiting-winner" },
}) };
static_assert(applyStageNames.isWhole(ApplyStage::AwaitingWinner));

// Membership owns the view of hosts and the declaration in force. Not thread-safe: one duty owns it.
class Membership {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Duration heartbeatInterval { std::chrono::seconds(1) };
        Duration listReadInterval { std::chrono::seconds(1) };
        Duration configurationReadInterval { std::chrono::seconds(2) };
        Duration applyTimeout { std::chrono::seconds(8) }; // an operator is told by then
        Duration resendInterval { std::chrono::milliseconds(500) }; // between tries of an ambiguous apply
        Duration suspectTimeout { std::chrono::seconds(3) }; // silence of a listed entry host
        Duration goneHostRetention { std::chrono::minutes(1) }; // hosts off the list are shown this long
        Duration winnerTimeout { std::chrono::seconds(3) }; // for the text of the version that won a race
        Duration tableTimeout { std::chrono::seconds(5) }; // after it peers are believed about versions
    };

    explicit Membership(Options options);

    // handle() changes the state by one command and returns what has to be done.
    MembershipEffects handle(const MembershipCommand& command, Instant now);

    // ask() answers one query from the state.
    MembershipView ask(const MembershipQuery& query, Instant now) const;

    // isReady() says whether a declaration and a host list are known.
    bool isReady() const { return this->version > 0 && this->isListRead && !this->isStopping; }

private:
    using Handler = void (Membership::*)(const MembershipCommand&, Instant, MembershipEffects&);
    static const std::array<Handler, membershipCommandNames.size()> handlers;

    struct Peer {
        PeerHeartbeat heartbeat;
        Instant heardAt;
    };
    // KnownRow is the highest configuration row read from the table.
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
        Instant nextSend; // while reading back
        Transaction transaction {}; // empty until the object is written
        bool mayHaveCommitted { false }; // an answer was ambiguous
        ConfigurationVersion winningVersion { 0 };
        bool isEnded { false };
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
        Instant goneSince;
    };

    // publishHosts() publishes the list with the hosts that say themselves that they leave marked so.
    void publishHosts(MembershipEffects& effects);
    HostStatus statusOf(const Host& host, Instant now) const;
    void eraseExpired(Instant now);
    void countMissedHeartbeats(Instant now);

    PeerHeartbeat makeHeartbeat() const;
    void sendHeartbeats(MembershipEffects& effects);

    // applyRow() takes in a row of the table and ends the applies that it decides.
    void applyRow(const RowChange& change, Instant now, MembershipEffects& effects);
    // readNewerTexts() reads the texts of versions that are higher than the one in force.
    void readNewerTexts(Instant now, MembershipEffects& effects);
    // readHistoryTexts() reads the newest text of the row's history that is not here; cacheText() keeps it.
    void readHistoryTexts(MembershipEffects& effects);
    void cacheText(const std::string& key, const std::string& earlier);
    // isClaimTrusted() says whether the table is silent and two peers agree on this version.
    bool isClaimTrusted(const PeerHeartbeat& claim, Instant now) const;
    void activateDeclaration(ConfigurationVersion newVersion, const std::string& key, const std::string& newText, Instant now, MembershipEffects& effects);

    PendingApply* findApply(const TransactionId& transaction);
    void writeRow(PendingApply& apply, Instant now, MembershipEffects& effects);
    // resolveByRow() ends the apply when `row` proves that it took effect or never will.
    void resolveByRow(PendingApply& apply, const KnownRow& row, Instant now, MembershipEffects& effects);
    void resolveConflict(PendingApply& apply, const TransactionResult& result, Instant now, MembershipEffects& effects);
    void completeApply(PendingApply& apply, Instant now, MembershipEffects& effects);
    void rejectApply(PendingApply& apply, ConfigurationVersion winningVersion, Instant now, MembershipEffects& effects);
    void endApply(PendingApply& apply, ApplyStatus status, MembershipEffects& effects);
    void advanceApplies(Instant now, MembershipEffects& effects);

    Options options;
    std::vector<Host> listedHosts; // as listed
    std::vector<Host> publishedHosts;
    std::map<HostName, GoneHost> goneHosts;
    MembershipCounts counts;
    bool isListRead { false };
    Instant lastListReadAt;
    Instant nextListRead;
    Instant nextHeartbeat;
    Instant nextConfigurationRead;
    std::map<HostName, Peer> peers;
    ConfigurationVersion version { 0 };
    std::string objectKey;
    std::string text;
    std::map<ConfigurationVersion, std::string> cachedTexts; // of the versions in the row's history that are here
    std::shared_ptr<const Declaration> declaration; // in force
    KnownRow row;
    RowVersion historyReadRevision { 0 }; // the row's revision whose history was asked for
    std::optional<Instant> lastTableReadAt; // or since when it is waited for
    std::vector<PendingApply> applies;
    std::uint64_t transactionCount { 0 };
    bool isStopping { false };
};

} // namespace dragonflytray
