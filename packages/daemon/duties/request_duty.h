#pragma once

// The duty that decides about requests: it owns `Routing`.

#include "daemon/messages.h"
#include "daemon/settings.h"

namespace dragonflytray {

// RequestDuty carries commands and queries to `Routing` and its effects to the other duties.
class RequestDuty {
public:
    RequestDuty(const Settings& settings, Rings& rings);

    // run() returns once the ring of requests is closed and empty.
    void run();

private:
    void handle(RequestMessage message);
    void decide(const RoutingCommand& command);
    void carryOut(RoutingEffects effects);
    void carryOut(SendToRunner effect);
    void carryOut(const ForwardToPeer& effect);
    void carryOut(ReplyToCaller effect);
    void carryOut(StartWatch effect);
    void carryOut(SharesHeld effect);
    void carryOut(WriteTransaction effect);
    void tick(Instant now);
    void reportMetrics() const;

    Rings& rings;
    Routing routing;
    Instant nextReport;
};

} // namespace dragonflytray
