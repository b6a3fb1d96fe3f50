#pragma once

// The queries of `Membership`. Each reads its state and returns a value. The handlers are under `queries/`, one file
// each.

#include "membership/membership_effects.h"
#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// StatusQuery asks for the hosts and the configuration version that this host knows.
struct StatusQuery {
};

// HostLiveness combines the state of a host on the platform's list with its heartbeats.
enum class HostLiveness {
    Live,
    Leaving, // according to the list or to the host itself; it gets no new work
    Suspected, // a listed entry host without a recent heartbeat
    Gone, // no longer on the list
};

inline constexpr NameTable hostLivenessNames { std::to_array<NameEntry<HostLiveness>>({
    { HostLiveness::Live, "live" },
    { HostLiveness::Leaving, "leaving" },
    { HostLiveness::Suspected, "suspected" },
    { HostLiveness::Gone, "gone" },
}) };
static_assert(hostLivenessNames.isWhole(HostLiveness::Gone));

// HostStatus is the state of one host as this entry host sees it. Two entry hosts may see different states for a while.
struct HostStatus {
    HostName host;
    HostKind kind { HostKind::Worker };
    HostLiveness liveness { HostLiveness::Live };
    Duration age { 0 }; // since its last heartbeat, else since the last read of the list; if gone, since it left the list
};

// MembershipCounts holds counters of events since this process started.
struct MembershipCounts {
    std::uint64_t failedListReads { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t missedHeartbeats { 0 }; // counted at each heartbeat interval for each listed peer without a recent one
    EnumArray<ApplyStatus, std::uint64_t, applyStatusNames.size()> applies;
};

// PeerStatus is what this host knows about another entry host.
struct PeerStatus {
    HostName host;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 };
    bool hasHeartbeat { false }; // a heartbeat of it was received within the retention time
    Duration age { 0 }; // since its last heartbeat
};

// MembershipStatus is the answer to StatusQuery.
struct MembershipStatus {
    HostName self;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 };
    std::vector<DataCentreName> evacuatedDataCentres; // in the declaration in force
    bool isReady { false }; // see Membership::isReady()
    bool isListRead { false }; // the host list has been read at least once
    Duration listAge { 0 }; // since the last successful read of the host list
    std::vector<Host> hosts; // on the list
    std::vector<PeerStatus> peers; // the other entry hosts on the list
    std::vector<HostStatus> hostStatuses; // of `hosts` and of hosts that left the list recently
    MembershipCounts counts;
};

// ConfigurationQuery asks for the text of the declaration in force, or of an earlier version that is still cached.
struct ConfigurationQuery {
    ConfigurationVersion version { 0 }; // 0: the one in force
};

// ConfigurationText is the answer to ConfigurationQuery. Its version is 0 if there is no such text.
struct ConfigurationText {
    ConfigurationVersion version { 0 };
    std::string text;
};

using MembershipQuery = std::variant<StatusQuery, ConfigurationQuery>;
using MembershipView = std::variant<MembershipStatus, ConfigurationText>;

} // namespace dragonflytray
