#pragma once

// One stream of requests of a load run, described by one line of text.
//
// Example:
//
//     Findings findings;
//     LoadStream quick = parseLoadStream("name=quick,team=loan-desk,service=loan-desk,rate=200,seconds=5", findings);

#include "model/model.h"
#include <string>

namespace dragonflytray {

// LoadTarget says where the requests of a stream go.
enum class LoadTarget {
    EntryHosts,
    Runner, // straight to one runner, without the system in between
};

inline constexpr NameTable loadTargetNames { std::to_array<NameEntry<LoadTarget>>({
    { LoadTarget::EntryHosts, "entry-hosts" },
    { LoadTarget::Runner, "runner" },
}) };
static_assert(loadTargetNames.isWhole(LoadTarget::Runner));

// LoadStream is one flow of requests with exponential gaps between them.
struct LoadStream {
    std::string name;
    LoadTarget target { LoadTarget::EntryHosts };
    TeamName team;
    ServiceName service;
    Priority priority { Priority::Normal };
    Idempotency idempotency { Idempotency::Idempotent };
    double rate { 100 }; // requests a second
    Duration from { 0 }; // after the start of the run
    Duration length { std::chrono::seconds(5) };
    Duration deadline { std::chrono::seconds(2) };
};

// parseLoadStream() reads `key=value` pairs separated by commas. Faults become findings.
LoadStream parseLoadStream(const std::string& text, Findings& findings);

} // namespace dragonflytray
