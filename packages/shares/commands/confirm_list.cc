#include "shares/shares.h"

namespace dragonflytray {

void Shares::listConfirmed(const SharesCommand& command, Instant, SharesEffects&)
{
    const Instant requestedAt = std::get<HostListConfirmed>(command).requestedAt;
    this->listRequestedAt = std::max(this->listRequestedAt, requestedAt);
    // A lapsed holder has nothing to confirm; the list gives no shares.
    if (this->isListed()) {
        this->delistedSince.reset();
        this->recordEvidence(requestedAt);
    } else if (!this->delistedSince)
        this->delistedSince = requestedAt;
}

} // namespace dragonflytray
