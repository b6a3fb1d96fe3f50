#pragma once

// The queries of `Membership`. Each reads its state and returns a value; one file under `queries/` each.

#include "membership/membership_effects.h"
#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// StatusQuery asks for this host's view of the others.
struct StatusQuery {
};

// HostLiveness joins the platform's word about a host with what the host says itself.
enum class HostLiveness {
    Live,
    Leaving, // the list or the host itself says so; it gets nothing new
    Suspected, // an entry host on the list that has been silent
    Gone, // no longer on the list
};

inline constexpr NameTable hostLivenessNames { std::to_array<NameEntry<HostLiveness>>({
    { HostLiveness::Live, "live" },
    { HostLiveness::Leaving, "leaving" },
    { HostLiveness::Suspected, "suspected" },
    { HostLiveness::Gone, "gone" },
}) };
static_assert(hostLivenessNames.isWhole(HostLiveness::Gone));

// HostStatus is one host in this entry host's view. Views of two entry hosts may differ for a while.
struct HostStatus {
    HostName host;
    HostKind kind { HostKind::Worker };
    HostLiveness liveness { HostLiveness::Live };
    Duration age { 0 }; // since the last word of it or about it
};

// MembershipCounts counts events since this process started.
struct MembershipCounts {
    std::uint64_t failedListReads { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t missedHeartbeats { 0 }; // intervals in which a listed peer was silent
    EnumArray<ApplyStatus, std::uint64_t, applyStatusNames.size()> applies;
};

// PeerStatus is what is known about one other entry host.
struct PeerStatus {
    HostName host;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 };
    bool hasHeartbeat { false };
    Duration age { 0 }; // since it was last heard
};

// MembershipStatus is the answer to StatusQuery.
struct MembershipStatus {
    HostName self;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 };
    bool isReady { false };
    bool isListRead { false };
    Duration listAge { 0 }; // since the platform's list was last read
    std::vector<Host> hosts;
    std::vector<PeerStatus> peers;
    std::vector<HostStatus> hostStatuses; // of `hosts` and of those that left the list lately
    MembershipCounts counts;
};

// ConfigurationQuery asks for the declaration in force, or for an earlier one that is remembered.
struct ConfigurationQuery {
    ConfigurationVersion version { 0 }; // 0: the one in force
};

// ConfigurationText is the answer to ConfigurationQuery; version 0 when there is none.
struct ConfigurationText {
    ConfigurationVersion version { 0 };
    std::string text;
};

using MembershipQuery = std::variant<StatusQuery, ConfigurationQuery>;
using MembershipView = std::variant<MembershipStatus, ConfigurationText>;

} // namespace dragonflytray
