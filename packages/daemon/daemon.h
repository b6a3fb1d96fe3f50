#pragma once

// The daemon: ten duties, each on a thread of its own, joined by bounded rings.
//
// Example:
//
//     Daemon daemon(settings);
//     auto bound = daemon.start();
//     daemon.drain(); // after SIGTERM: returns once every open request has its answer
//     daemon.stop();

#include "daemon/settings.h"
#include <memory>

namespace dragonflytray {

// BoundEndpoints is where a started daemon listens.
struct BoundEndpoints {
    Endpoint callers;
    Endpoint peers;
};

// Daemon is one entry host's process. start(), drain() and stop() belong to one thread, in this order.
class Daemon {
public:
    explicit Daemon(const Settings& settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // start() listens and starts every duty; a sentence that says why not.
    tl::expected<BoundEndpoints, std::string> start();

    // drain() says "not ready", waits out the grace, closes the listener and waits until no request is open.
    void drain();

    // stop() ends every duty.
    void stop();

private:
    struct Duties;
    std::unique_ptr<Duties> duties;
};

} // namespace dragonflytray
