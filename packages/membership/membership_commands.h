#pragma once

// The commands of `Membership`. Each changes its state; the handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// PeerHeartbeat is what one entry host tells another about itself.
struct PeerHeartbeat {
    HostName host;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 }; // of the declaration in force
    std::string objectKey; // of that declaration
    bool isLeaving { false };
};

// HeartbeatReceived brings a heartbeat of another entry host, as a request or as the answer to one.
struct HeartbeatReceived {
    PeerHeartbeat heartbeat;
};

// ApplyDeclaration asks to put a whole file in force. It is refused unless `baseVersion` is the version in force.
struct ApplyDeclaration {
    ReplyToken token {};
    std::string file; // name, for findings
    std::string text;
    ConfigurationVersion baseVersion { 0 };
};

// MembershipTick lets time pass. Send it a few times a second.
struct MembershipTick {
};

// StopMembership tells the peers that this host leaves.
struct StopMembership {
};

using MembershipCommand = std::variant<HeartbeatReceived, ApplyDeclaration, TransactionResult, RowsRead, ObjectRead, ObjectWritten, HostListRead, StopMembership, MembershipTick>;

// MembershipCommandKind names the alternatives of MembershipCommand, in their order.
enum class MembershipCommandKind {
    HeartbeatReceived,
    ApplyDeclaration,
    TransactionResult,
    RowsRead,
    ObjectRead,
    ObjectWritten,
    HostListRead,
    StopMembership,
    Tick,
};

inline constexpr NameTable membershipCommandNames { std::to_array<NameEntry<MembershipCommandKind>>({
    { MembershipCommandKind::HeartbeatReceived, "peer-heard" },
    { MembershipCommandKind::ApplyDeclaration, "apply-declaration" },
    { MembershipCommandKind::TransactionResult, "transaction-result" },
    { MembershipCommandKind::RowsRead, "rows-read" },
    { MembershipCommandKind::ObjectRead, "object-read" },
    { MembershipCommandKind::ObjectWritten, "object-written" },
    { MembershipCommandKind::HostListRead, "host-list-read" },
    { MembershipCommandKind::StopMembership, "stop-membership" },
    { MembershipCommandKind::Tick, "tick" },
}) };
static_assert(membershipCommandNames.isWhole(MembershipCommandKind::Tick));
static_assert(membershipCommandNames.size() == std::variant_size_v<MembershipCommand>);

} // namespace dragonflytray
