#include "shares/shares.h"

namespace dragonflytray {

void Shares::stopShares(const SharesCommand&, Instant now, SharesEffects&)
{
    this->isStopping = true;
    this->setShares({});
    this->nextReport = now;
}

} // namespace dragonflytray
