#pragma once

// The commands of `Membership`. Each changes its state. The handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// PeerHeartbeat is the state that one entry host reports to another.
struct PeerHeartbeat {
    HostName host;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 }; // of the declaration in force
    std::string objectKey; // of the text of that declaration
    bool isLeaving { false };
};

// HeartbeatReceived carries a heartbeat of another entry host, which came as a request or in response to one.
struct HeartbeatReceived {
    PeerHeartbeat heartbeat;
};

// ApplyDeclaration asks to put a declaration in force. It is rejected unless `baseVersion` is the version in force. The
// answer is one ReplyToOperator with the same token.
struct ApplyDeclaration {
    ReplyToken token {};
    std::string file; // name of the file, for findings
    std::string text;
    ConfigurationVersion baseVersion { 0 };
};

// MembershipTick runs the periodic work. Send it a few times a second.
struct MembershipTick {
};

// StopMembership announces to the peers that this host is leaving, for a graceful shutdown.
struct StopMembership {
};

using MembershipCommand = std::variant<HeartbeatReceived, ApplyDeclaration, TransactionResult, RowsRead, ObjectRead, ObjectWritten, HostListRead, StopMembership, MembershipTick>;

// MembershipCommandKind enumerates the alternatives of MembershipCommand, in the same order.
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
