#pragma once

// The public header of the `settings` library: values that the settings of every program share, read from a
// YAML map with findings.
//
// Example:
//
//     Endpoint callers = readEndpoint(map, "callers", Presence::Required);
//     LogOptions log = readLog(root.map("log"));

#include "model/model.h"
#include "telemetry/telemetry.h"
#include "yaml/yaml.h"

namespace dragonflytray {

// Presence says whether a key has to be there.
enum class Presence {
    Required,
    Optional,
};

// readEndpoint() is the address and port under the key; empty with a finding when it is none.
Endpoint readEndpoint(YamlMap& map, const std::string& key, Presence presence);

// readMilliseconds() is the time under the key within `bounds` of milliseconds, or `fallback`.
Duration readMilliseconds(YamlMap& map, const std::string& key, NumberRule bounds, Duration fallback);

// readLog() is the map of a program's log; unknown keys become findings.
LogOptions readLog(YamlMap map);

} // namespace dragonflytray
