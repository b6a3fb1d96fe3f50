#pragma once

// The effects of `Membership`: what its owner has to carry out, in order.

#include "membership/membership_commands.h"

namespace dragonflytray {

// SendHeartbeat sends one heartbeat to a peer, whose own comes back as HeartbeatReceived.
struct SendHeartbeat {
    HostName peer;
    Endpoint endpoint;
    PeerHeartbeat heartbeat;
};

// PublishHosts hands the present view of hosts to the other decisions.
struct PublishHosts {
    std::vector<Host> hosts;
};

// PublishConfiguration hands the declaration in force to the other decisions.
struct PublishConfiguration {
    DeclarationInForce inForce;
};

// ApplyStatus says how ApplyDeclaration ended.
enum class ApplyStatus {
    Applied,
    Invalid, // findings say why; nothing changed
    Conflict, // another version is in force; nothing changed
    Unavailable, // the platform did not take it; surely nothing changed
    Unknown, // may have been applied; ask again
};

inline constexpr NameTable applyStatusNames { std::to_array<NameEntry<ApplyStatus>>({
    { ApplyStatus::Applied, "applied" },
    { ApplyStatus::Invalid, "faulty" },
    { ApplyStatus::Conflict, "conflict" },
    { ApplyStatus::Unavailable, "unavailable" },
    { ApplyStatus::Unknown, "unknown" },
}) };
static_assert(applyStatusNames.isWhole(ApplyStatus::Unknown));

// ReplyToOperator ends one ApplyDeclaration.
struct ReplyToOperator {
    ReplyToken token {};
    ApplyStatus status { ApplyStatus::Unavailable };
    ConfigurationVersion version { 0 }; // applied, or in force on conflict
    Findings findings;
    std::vector<DeclarationChange> changes {}; // on conflict: what the file would change of what is in force
};

using MembershipEffect = std::variant<WriteTransaction, ReadRows, ReadObject, WriteObject, ReadHostList, SendHeartbeat, PublishHosts, PublishConfiguration, ReplyToOperator>;
using MembershipEffects = std::vector<MembershipEffect>;

} // namespace dragonflytray
