#include "shares/shares.h"

namespace dragonflytray {

SharesView Shares::summary(const SharesQuery&, Instant now) const
{
    SharesSummary summary;
    summary.leader = this->leader;
    summary.epoch = this->epoch;
    summary.isLeading = this->isLeading;
    summary.isRecovered = this->isLeading && this->allocator->isRecovered();
    summary.hasGuards = this->hasGuards;
    summary.isUsable = now < this->validUntil();
    summary.expirations = this->expirations;
    summary.pauses = this->pauses;
    for (const auto& [runner, slots] : this->shares)
        summary.shares.push_back({ runner, slots });
    return summary;
}

} // namespace dragonflytray
