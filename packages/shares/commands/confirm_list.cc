#include "shares/shares.h"

namespace dragonflytray {

void Shares::listConfirmed(const SharesCommand& command, Instant, SharesEffects&)
{
    const Instant requestedAt = std::get<HostListConfirmed>(command).requestedAt;
    this->listRequestedAt = std::max(this->listRequestedAt, requestedAt);
    // This extends the shares that the holder has; shares that expired come back only by a new grant.
    if (this->isListed()) {
        this->delistedSince.reset();
        this->recordEvidence(requestedAt);
    } else if (!this->delistedSince)
        this->delistedSince = requestedAt;
}

} // namespace dragonflytray
