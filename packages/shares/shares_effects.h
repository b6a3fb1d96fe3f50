#pragma once

// The effects of `Shares`: what its owner has to carry out, in order.

#include "shares/shares_commands.h"

namespace dragonflytray {

// SendShareReport sends a report to the leader. Its loss is silence.
struct SendShareReport {
    HostName leader;
    Endpoint endpoint;
    ShareReport report;
};

// SendShareGrant sends a grant to a holder. Its loss is silence.
struct SendShareGrant {
    Endpoint endpoint;
    ShareGrant grant;
};

// ChangeShares goes to `routing`.
using SharesEffect = std::variant<ChangeShares, SendShareReport, SendShareGrant>;
using SharesEffects = std::vector<SharesEffect>;

} // namespace dragonflytray
