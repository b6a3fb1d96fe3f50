#pragma once

// The duty towards other entry hosts: gRPC heartbeats.

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
    Rings& rings;
    PeerExchange exchange;
};

} // namespace dragonflytray
