#pragma once

// The effects of `Membership`. The owner has to carry them out in order.

#include "membership/membership_commands.h"

namespace dragonflytray {

// SendHeartbeat sends one heartbeat to a peer. The peer's response, if any, comes back as HeartbeatReceived.
struct SendHeartbeat {
    HostName peer;
    Endpoint endpoint;
    PeerHeartbeat heartbeat;
};

// PublishHosts passes the present view of all hosts to the other decision packages.
struct PublishHosts {
    std::vector<Host> hosts;
};

// PublishConfiguration passes the declaration in force to the other decision packages.
struct PublishConfiguration {
    DeclarationInForce inForce;
};

// ApplyStatus is the outcome of an ApplyDeclaration. It may have changed something only if it is Applied or Unknown.
enum class ApplyStatus {
    Applied,
    Invalid, // the file has errors, listed in the findings
    Conflict, // another version than the base is in force
    Unavailable, // the platform did not perform the writes
    Unknown, // may have been applied; query the version in force
};

inline constexpr NameTable applyStatusNames { std::to_array<NameEntry<ApplyStatus>>({
    { ApplyStatus::Applied, "applied" },
    { ApplyStatus::Invalid, "faulty" },
    { ApplyStatus::Conflict, "conflict" },
    { ApplyStatus::Unavailable, "unavailable" },
    { ApplyStatus::Unknown, "unknown" },
}) };
static_assert(applyStatusNames.isWhole(ApplyStatus::Unknown));

// ReplyToOperator answers one ApplyDeclaration. Each gets exactly one reply.
struct ReplyToOperator {
    ReplyToken token {};
    ApplyStatus status { ApplyStatus::Unavailable };
    ConfigurationVersion version { 0 }; // the applied one; else the one in force or, if higher, the one that won
    Findings findings;
    std::vector<DeclarationChange> changes {}; // on conflict: differences between the declaration in force and the file
};

using MembershipEffect = std::variant<WriteTransaction, ReadRows, ReadObject, WriteObject, ReadHostList, SendHeartbeat, PublishHosts, PublishConfiguration, ReplyToOperator>;
using MembershipEffects = std::vector<MembershipEffect>;

} // namespace dragonflytray
