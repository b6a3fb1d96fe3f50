#pragma once

// Hosts as the platform lists them, and the addresses at which they are reached.

#include "model/ids.h"
#include <cstdint>
#include <string>

namespace dragonflytray {

// Endpoint is the IP address and TCP port of a process.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;
};

// HostKind says what a host of the list does.
enum class HostKind {
    EntryHost,
    Worker,
    Runner,
};

inline constexpr NameTable hostKindNames { std::to_array<NameEntry<HostKind>>({
    { HostKind::EntryHost, "entry-host" },
    { HostKind::Worker, "worker" },
    { HostKind::Runner, "runner" },
}) };
static_assert(hostKindNames.isWhole(HostKind::Runner));

// HostState is the platform's word about a host.
enum class HostState {
    Live,
    Leaving,
};

inline constexpr NameTable hostStateNames { std::to_array<NameEntry<HostState>>({
    { HostState::Live, "live" },
    { HostState::Leaving, "leaving" },
}) };
static_assert(hostStateNames.isWhole(HostState::Leaving));

// Capacity is what a worker holds or a task needs.
struct Capacity {
    double processors { 0 }; // cores
    double memoryGigabytes { 0 };
    int accelerators { 0 };

    bool operator==(const Capacity&) const = default;
};

// Host is one entry of the platform's host list.
struct Host {
    HostName name;
    HostKind kind { HostKind::Worker };
    HostState state { HostState::Live };
    DataCentreName dataCentre;
    RackName rack;
    Endpoint endpoint; // callers' side of an entry host; control of a worker; requests of a runner
    Endpoint peerEndpoint; // entry hosts only
    ServiceName service; // runners only
    HostName worker; // runners only: the worker that carries the runner
    int slots { 0 }; // runners only: requests at a time
    int connections { 0 }; // runners only: open connections at a time
    Capacity capacity; // workers only

    bool operator==(const Host&) const = default;
};

} // namespace dragonflytray
