#include "shares/shares.h"

#include <algorithm>

namespace dragonflytray {

void Shares::sharesHeld(const SharesCommand& command, Instant, SharesEffects&)
{
    const auto& report = std::get<SharesHeld>(command);
    this->wanted = report.wanted;
    // A report that is based on an older revision frees no slots, since routing may already use those of the present
    // revision.
    if (report.revision == this->revision)
        this->held.clear();
    for (const SlotShare& share : report.held)
        this->held[share.runner] = std::max(this->held[share.runner], share.slots);
    for (const auto& [runner, slots] : this->shares)
        this->held[runner] = std::max(this->held[runner], slots);
}

} // namespace dragonflytray
