#include "membership/membership.h"

namespace dragonflytray {

void Membership::tick(const MembershipCommand&, Instant now, MembershipEffects& effects)
{
    if (now >= this->nextListRead) {
        this->nextListRead = now + this->options.listReadInterval;
        effects.push_back(ReadHostList {});
    }
    if (now >= this->nextConfigurationRead) {
        this->nextConfigurationRead = now + this->options.configurationReadInterval;
        if (!this->lastTableReadAt)
            this->lastTableReadAt = now;
        effects.push_back(ReadRows { { RowKind::Configuration }, this->row.revision });
        this->readNewerTexts(now, effects);
        this->readHistoryTexts(effects);
    }
    this->advanceApplies(now, effects);
    this->eraseExpired(now);
    if (now >= this->nextHeartbeat) {
        this->countMissedHeartbeats(now);
        this->nextHeartbeat = now + this->options.heartbeatInterval;
        this->sendHeartbeats(effects);
    }
}

} // namespace dragonflytray
