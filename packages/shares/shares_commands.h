#pragma once

// The commands of `Shares`. Each changes its state; the handlers are under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// Incarnation tells one process of an entry host from the next under the same name.
using Incarnation = std::uint64_t;

// ShareReport is what a holder tells the leader: what it may still use or is using, and what it would use.
struct ShareReport {
    HostName host;
    Endpoint endpoint; // of the holder's peer service; port 0: as listed
    Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 }; // counts the reports of this incarnation
    Epoch epoch { 0 }; // the holder takes no grant of a lower one any more
    std::uint64_t grantSequence { 0 }; // last grant in force of that epoch; 0: none
    bool isLeaving { false };
    std::vector<SlotShare> held; // runners that are not listed: none
    std::vector<SlotShare> wanted;
};

// ShareGrant is the leader's word to one holder. Without shares it only answers a report or announces the
// leader.
struct ShareGrant {
    HostName leader;
    Endpoint endpoint; // of the leader's peer service; port 0: as listed
    Epoch epoch { 0 };
    HostName holder;
    Incarnation incarnation { 0 }; // of the holder; 0: not known
    std::uint64_t reportSequence { 0 }; // the last report that the leader has heard
    std::uint64_t sequence { 0 }; // 0: no shares
    std::vector<SlotShare> shares; // the whole of them; runners that are not listed: none
};

// LeaderChanged says who leads this data centre. Send it twice a second at least: this host leads only while the
// latest word is not older than the pause margin, so that a word from before a pause counts for nothing.
struct LeaderChanged {
    HostName leader; // empty: nobody is known
    Epoch epoch { 0 };
    bool isSelf { false };
    Instant checkedAt; // when the lease was looked at
};

// HostListConfirmed reports a read of the platform's list that began at `requestedAt`. The hosts themselves come by
// ChangeHosts, which must be sent first when they changed.
struct HostListConfirmed {
    Instant requestedAt;
};

// ShareReportReceived brings a holder's report.
struct ShareReportReceived {
    ShareReport report;
};

// ShareGrantReceived brings a leader's grant.
struct ShareGrantReceived {
    ShareGrant grant;
};

// StopShares gives every share back as attempts end, for a graceful shutdown.
struct StopShares {
};

// SharesTick lets time pass. Send it every 100 ms.
struct SharesTick {
};

using SharesCommand = std::variant<ChangeHosts, ChangeConfiguration, LeaderChanged, HostListConfirmed, SharesHeld, ShareReportReceived, ShareGrantReceived, StopShares, SharesTick>;

// SharesCommandKind names the alternatives of SharesCommand, in their order.
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
