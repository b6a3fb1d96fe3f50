#pragma once

// The duty that decides about shares of runners' slots: it owns `Shares`.

#include "daemon/messages.h"
#include "daemon/settings.h"

namespace dragonflytray {

// ShareDuty carries commands to `Shares` and its effects to the other duties.
class ShareDuty {
public:
    ShareDuty(const Settings& settings, Rings& rings);

    // run() returns once the ring of share messages is closed and empty.
    void run();

private:
    void decide(const SharesCommand& command);
    void carryOut(ChangeShares effect);
    void carryOut(SendShareReport effect);
    void carryOut(SendShareGrant effect);
    void tick(Instant now);
    void reportMetrics(Instant now) const;

    Rings& rings;
    Shares shares;
    Instant nextReport;
};

} // namespace dragonflytray
