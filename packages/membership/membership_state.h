#pragma once

// The state behind the view of hosts and configuration of one entry host.

#include "membership/membership_commands.h"
#include "membership/membership_effects.h"
#include "membership/membership_queries.h"
#include <array>
#include <map>
#include <unordered_map>

namespace dragonflytray {

// Membership owns the view of hosts and the declaration in force. Not thread-safe: one duty owns it.
class Membership {
public:
    struct Options {
        HostName self;
        DataCentreName dataCentre;
        Duration heartbeatInterval { std::chrono::seconds(1) };
        Duration listInterval { std::chrono::seconds(1) };
        Duration configurationInterval { std::chrono::seconds(2) };
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
    struct PendingApply {
        ApplyDeclaration command;
        std::string objectKey;
        TransactionId transaction; // empty until the object is written
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
    // follow() begins to put `row` in force when it is higher than what was seen so far.
    void follow(const ConfigurationRow& row, MembershipEffects& effects);
    void putInForce(const ConfigurationRow& row, const std::string& text, MembershipEffects& effects);

    Options options;
    std::vector<Host> hosts;
    bool isListRead { false };
    Instant listReadAt;
    Instant nextList;
    Instant nextHeartbeat;
    Instant nextConfiguration;
    std::map<HostName, Peer> peers;
    ConfigurationVersion version { 0 };
    RowVersion configurationRowVersion { 0 };
    std::string objectKey;
    std::string text;
    ConfigurationRow wanted; // highest row seen; its text may not be here yet
    std::vector<PendingApply> applies;
    std::uint64_t lastTransaction { 0 };
    bool isStopping { false };
};

} // namespace dragonflytray
