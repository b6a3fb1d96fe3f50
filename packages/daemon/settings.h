#pragma once

// The settings of one daemon, read from a YAML file and checked as a whole.
//
// Example:
//
//     auto settings = parseSettings(text, "entry-1.yaml");
//     if (!settings)
//         std::cerr << settings.error().text();

#include "model/model.h"
#include "routing/routing.h"
#include "telemetry/telemetry.h"
#include <tl/expected.hpp>

namespace dragonflytray {

// Limits bound everything that comes from outside and every ring between duties.
struct Limits {
    std::size_t bodyBytes { 1 << 20 };
    std::size_t headerBytes { 16 << 10 };
    std::size_t connections { 4096 };
    std::size_t ringMessages { 8192 };
    Duration platformTimeout { std::chrono::seconds(2) };
    Duration watchSilence { std::chrono::seconds(30) };
    Duration shutdownGrace { std::chrono::milliseconds(500) }; // between "not ready" and the closed listener
};

// Settings is what a process knows before it has spoken to anyone.
struct Settings {
    HostName host;
    DataCentreName dataCentre;
    RegionName region;
    Endpoint callers; // port 0: any free port
    Endpoint peers;
    Endpoint platform;
    std::uint64_t seed { 1 };
    ShareSource shareSource { ShareSource::EvenSplit };
    Limits limits;
    LogOptions log;
};

// parseSettings() is the checked settings of `text`, or every finding with its place in `file`. Pure.
tl::expected<Settings, Findings> parseSettings(const std::string& text, const std::string& file);

} // namespace dragonflytray
