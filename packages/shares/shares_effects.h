#pragma once

// The effects of `Shares`. The owner has to carry them out in order.

#include "shares/shares_commands.h"

namespace dragonflytray {

// SendShareReport sends a report to the leader. A failure to send is not reported back.
struct SendShareReport {
    HostName leader;
    Endpoint endpoint;
    ShareReport report;
};

// SendShareGrant sends a grant to a holder. A failure to send is not reported back.
struct SendShareGrant {
    Endpoint endpoint;
    ShareGrant grant;
};

// SharesEffect is one effect. ChangeShares is a command to `routing`.
using SharesEffect = std::variant<ChangeShares, SendShareReport, SendShareGrant>;
using SharesEffects = std::vector<SharesEffect>;

} // namespace dragonflytray
