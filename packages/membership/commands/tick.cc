#include "membership/membership.h"

namespace dragonflytray {

void Membership::tick(const MembershipCommand&, Instant now, MembershipEffects& effects)
{
    if (now >= this->nextList) {
        this->nextList = now + this->options.listInterval;
        effects.push_back(ReadHostList {});
    }
    if (now >= this->nextConfiguration) {
        this->nextConfiguration = now + this->options.configurationInterval;
        if (!this->tableReadAt)
            this->tableReadAt = now;
        effects.push_back(ReadRows { { RowKind::Configuration }, this->row.revision });
        this->follow(now, effects);
    }
    this->advanceApplies(now, effects);
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + this->options.heartbeatInterval;
        this->sendHeartbeats(effects);
    }
}

} // namespace dragonflytray
