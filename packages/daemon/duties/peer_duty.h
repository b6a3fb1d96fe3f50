#pragma once

// The duty towards other entry hosts: gRPC heartbeats, share reports and share grants.

#include "daemon/messages.h"
#include "daemon/settings.h"
#include "peers/peers.h"

namespace dragonflytray {

// PeerDuty owns both ends of the protocol between entry hosts.
class PeerDuty {
public:
    PeerDuty(const Settings& settings, Rings& rings);

    // start() listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start() { return this->exchange.start(); }

    void run() { this->exchange.run(); }
    void stop() { this->exchange.stop(); }

private:
    void deliver(PeerHeartbeat heartbeat);
    void deliver(ShareReport report);
    void deliver(ShareGrant grant);

    Rings& rings;
    PeerExchange exchange;
};

} // namespace dragonflytray
