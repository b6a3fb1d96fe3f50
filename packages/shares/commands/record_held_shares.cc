#include "shares/shares.h"

#include <algorithm>

namespace dragonflytray {

void Shares::sharesHeld(const SharesCommand& command, Instant, SharesEffects&)
{
    const auto& report = std::get<SharesHeld>(command);
    this->wanted = report.wanted;
    // Figures that obey older shares free nothing: routing may be filling what it was given since.
    if (report.revision == this->revision)
        this->held.clear();
    for (const SlotShare& share : report.held)
        this->held[share.runner] = std::max(this->held[share.runner], share.slots);
    for (const auto& [runner, slots] : this->shares)
        this->held[runner] = std::max(this->held[runner], slots);
}

} // namespace dragonflytray
