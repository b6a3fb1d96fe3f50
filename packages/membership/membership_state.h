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
    ReadingBack, // the transaction may have taken effect; it is sent again until the table says
    AwaitingWinner, // another version was accepted; the operator is told once it is in force here
};

inline constexpr NameTable applyStageNames { std::to_array<NameEntry<ApplyStage>>({
    { ApplyStage::WritingObject, "writing-object" },
    { ApplyStage::WritingRow, "writing-row" },
    { ApplyStage::ReadingBack, "reading-back" },
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
        Duration listInterval { std::chrono::seconds(1) };
        Duration configurationInterval { std::chrono::seconds(2) };
        Duration applyTimeout { std::chrono::seconds(8) }; // an operator is told by then
        Duration resendPause { std::chrono::milliseconds(500) }; // between tries of an ambiguous apply
        Duration winnerWait { std::chrono::seconds(3) }; // for the text of the version that won a race
        Duration tableSilence { std::chrono::seconds(5) }; // after it peers are believed about versions
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
        bool mayBeWritten { false }; // an answer was ambiguous
        ConfigurationVersion winner { 0 };
        bool isEnded { false };
    };

    void peerHeard(const MembershipCommand& command, Instant now, MembershipEffects& effects);
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

    PeerHeartbeat ownHeartbeat() const;
    void sendHeartbeats(MembershipEffects& effects);

    // noteRow() takes in a row of the table and ends the applies that it decides.
    void noteRow(const RowChange& change, Instant now, MembershipEffects& effects);
    // follow() reads the texts of versions that are higher than the one in force.
    void follow(Instant now, MembershipEffects& effects);
    // isClaimBelieved() says whether the table is silent and two peers agree on this version.
    bool isClaimBelieved(const PeerHeartbeat& claim, Instant now) const;
    void putInForce(ConfigurationVersion newVersion, const std::string& key, const std::string& newText, Instant now, MembershipEffects& effects);

    PendingApply* findApply(const TransactionId& transaction);
    void sendRow(PendingApply& apply, Instant now, MembershipEffects& effects);
    // compareWithRow() ends the apply when `row` proves that it took effect or never will.
    void compareWithRow(PendingApply& apply, const KnownRow& row, Instant now, MembershipEffects& effects);
    void conflicted(PendingApply& apply, const TransactionResult& result, Instant now, MembershipEffects& effects);
    void win(PendingApply& apply, Instant now, MembershipEffects& effects);
    void lose(PendingApply& apply, ConfigurationVersion winner, Instant now, MembershipEffects& effects);
    void endApply(PendingApply& apply, ApplyStatus status, MembershipEffects& effects);
    void advanceApplies(Instant now, MembershipEffects& effects);

    Options options;
    std::vector<Host> hosts;
    bool isListRead { false };
    Instant listReadAt;
    Instant nextList;
    Instant nextHeartbeat;
    Instant nextConfiguration;
    std::map<HostName, Peer> peers;
    ConfigurationVersion version { 0 };
    std::string objectKey;
    std::string text;
    KnownRow row;
    std::optional<Instant> tableReadAt; // or since when it is waited for
    std::vector<PendingApply> applies;
    std::uint64_t lastTransaction { 0 };
    bool isStopping { false };
};

} // namespace dragonflytray
