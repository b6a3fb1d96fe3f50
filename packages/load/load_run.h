#pragma once

// Sends the streams of a run on an open loop: each request goes out when it is due, whatever became of
// the ones before it.

#include "load/load_report.h"
#include "load/load_stream.h"
#include <vector>

namespace dragonflytray {

// LoadOptions describes one run.
struct LoadOptions {
    std::vector<Endpoint> entryHosts; // taken in turn, as the platform's balancer does
    Endpoint runner; // of streams with LoadTarget::Runner
    std::vector<LoadStream> streams;
    std::uint64_t seed { 1 };
    std::size_t requestLimit { 1000000 }; // of the whole run
};

// runLoad() sends every stream and waits for the last answer. Bounded by the streams' lengths and
// deadlines. Uses the calling thread.
LoadReport runLoad(const LoadOptions& options);

} // namespace dragonflytray
