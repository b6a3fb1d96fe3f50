#pragma once

// What the programs of the stand-ins share: they listen on free ports and write one line for each
// endpoint to a file.

#include "transport/transport.h"
#include <string>
#include <vector>

namespace dragonflytray {

// writeEndpointLines() writes `lines` to `path` in one step, so that a reader never sees half of them.
void writeEndpointLines(const std::string& path, const std::vector<std::string>& lines);

// registerHost() tells the platform stand-in of one host.
bool registerHost(const Endpoint& platform, const Host& host);

// runUntilTerminated() runs the loop until SIGTERM or SIGINT.
void runUntilTerminated(IoLoop& loop);

} // namespace dragonflytray
