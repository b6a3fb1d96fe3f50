#pragma once

// The scheduler daemon: five duties, each on a thread of its own, joined by bounded rings.
//
// Example:
//
//     SchedulerDaemon daemon(settings, protocols);
//     if (auto started = daemon.start(); !started)
//         std::cerr << started.error();
//     daemon.drain(); // after SIGTERM
//     daemon.stop();

#include "entry/entry_settings.h"
#include "entry/protocols.h"
#include <memory>

namespace dragonflytray {

// SchedulerDaemon is one entry host's process. start(), drain() and stop() belong to one thread, in this order.
class SchedulerDaemon {
public:
    SchedulerDaemon(const EntrySettings& settings, const Protocols& protocols);
    ~SchedulerDaemon();
    SchedulerDaemon(const SchedulerDaemon&) = delete;
    SchedulerDaemon& operator=(const SchedulerDaemon&) = delete;

    // start() listens and starts every duty; a sentence that says why not.
    tl::expected<void, std::string> start();

    // drain() says "not ready", gives up every lease, serves on until the balancer has moved callers away, and returns when no
    // connection of a caller is left. At the limit for it, calls that are open are answered as unclear.
    void drain();

    // stop() ends every duty.
    void stop();

private:
    struct Duties;
    std::unique_ptr<Duties> duties;
};

} // namespace dragonflytray
