#pragma once

// The commands of `Shares`. Each changes its state. The handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// Incarnation distinguishes successive processes of an entry host with the same name.
using Incarnation = std::uint64_t;

// ShareReport is sent by a holder to the leader. It lists the slots that the holder may still use or is using, and those
// that it could use.
struct ShareReport {
    HostName host;
    Endpoint endpoint; // of the holder's peer service; port 0: the listed one
    Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 }; // counts the reports of this incarnation
    Epoch epoch { 0 }; // the holder ignores grants of lower epochs from now on
    std::uint64_t grantSequence { 0 }; // last grant applied in that epoch; 0: none
    bool isLeaving { false };
    std::vector<SlotShare> held; // a runner that is missing here: 0 slots
    std::vector<SlotShare> wanted;
};

// ShareGrant is sent by the leader to one holder. With sequence 0 it carries no shares: it only acknowledges a report or
// announces the leader.
struct ShareGrant {
    HostName leader;
    Endpoint endpoint; // of the leader's peer service; port 0: the listed one
    Epoch epoch { 0 };
    HostName holder;
    Incarnation incarnation { 0 }; // of the holder; 0: unknown
    std::uint64_t reportSequence { 0 }; // the last report that the leader has received
    std::uint64_t sequence { 0 }; // 0: no shares
    std::vector<SlotShare> shares; // all of the holder; a runner that is missing here: 0 slots
};

// LeaderChanged says which host leads this data centre. Send it at least twice a second: this host acts as leader only
// while the last check of the lease is not older than `Timing::pauseMargin`, so that a check from before a pause of the
// process has no effect.
struct LeaderChanged {
    HostName leader; // empty: unknown
    Epoch epoch { 0 };
    bool isSelf { false };
    Instant checkedAt; // when the state of the lease was read
};

// HostListConfirmed reports a successful read of the platform's host list that was requested at `requestedAt`. If the
// hosts changed, send ChangeHosts with them first.
struct HostListConfirmed {
    Instant requestedAt;
};

// ShareReportReceived carries a report from a holder to the leader.
struct ShareReportReceived {
    ShareReport report;
};

// ShareGrantReceived carries a grant from the leader to a holder.
struct ShareGrantReceived {
    ShareGrant grant;
};

// StopShares drops all shares for a graceful shutdown. Slots in use are reported until their attempts end.
struct StopShares {
};

// SharesTick runs the periodic work. Send it every 100 ms.
struct SharesTick {
};

using SharesCommand = std::variant<ChangeHosts, ChangeConfiguration, LeaderChanged, HostListConfirmed, SharesHeld, ShareReportReceived, ShareGrantReceived, StopShares, SharesTick>;

// SharesCommandKind enumerates the alternatives of SharesCommand, in the same order.
enum class SharesCommandKind {
    ChangeHosts,
    ChangeConfiguration,
    LeaderChanged,
    HostListConfirmed,
    SharesHeld,
    ShareReportReceived,
    ShareGrantReceived,
    StopShares,
    Tick,
};

inline constexpr NameTable sharesCommandNames { std::to_array<NameEntry<SharesCommandKind>>({
    { SharesCommandKind::ChangeHosts, "change-hosts" },
    { SharesCommandKind::ChangeConfiguration, "change-configuration" },
    { SharesCommandKind::LeaderChanged, "leader-changed" },
    { SharesCommandKind::HostListConfirmed, "list-confirmed" },
    { SharesCommandKind::SharesHeld, "shares-held" },
    { SharesCommandKind::ShareReportReceived, "share-report-received" },
    { SharesCommandKind::ShareGrantReceived, "share-grant-received" },
    { SharesCommandKind::StopShares, "stop-shares" },
    { SharesCommandKind::Tick, "tick" },
}) };
static_assert(sharesCommandNames.isWhole(SharesCommandKind::Tick));
static_assert(sharesCommandNames.size() == std::variant_size_v<SharesCommand>);

} // namespace dragonflytray
