#pragma once

// The queries of `Membership`. Each reads its state and returns a value; one file under `queries/` each.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// StatusQuery asks for this host's view of the others.
struct StatusQuery {
};

// PeerStatus is what is known about one other entry host.
struct PeerStatus {
    HostName host;
    DataCentreName dataCentre;
    ConfigurationVersion version { 0 };
    bool isHeard { false };
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
};

// ConfigurationQuery asks for the declaration in force.
struct ConfigurationQuery {
};

// ConfigurationText is the answer to ConfigurationQuery.
struct ConfigurationText {
    ConfigurationVersion version { 0 };
    std::string text;
};

using MembershipQuery = std::variant<StatusQuery, ConfigurationQuery>;
using MembershipView = std::variant<MembershipStatus, ConfigurationText>;

} // namespace dragonflytray
