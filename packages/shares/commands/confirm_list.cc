#include "shares/shares.h"

namespace dragonflytray {

void Shares::listConfirmed(const SharesCommand& command, Instant, SharesEffects&)
{
    const Instant askedAt = std::get<ListConfirmed>(command).askedAt;
    this->listAskedAt = std::max(this->listAskedAt, askedAt);
    // A lapsed holder has nothing to confirm; the list gives no shares.
    if (this->isListed()) {
        this->leftOutSince.reset();
        this->confirm(askedAt);
    } else if (!this->leftOutSince)
        this->leftOutSince = askedAt;
}

} // namespace dragonflytray
