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
        effects.push_back(ReadRows { { RowKind::Configuration }, this->configurationRowVersion });
        if (this->wanted.version > this->version)
            effects.push_back(ReadObject { this->wanted.objectKey });
    }
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + this->options.heartbeatInterval;
        this->sendHeartbeats(effects);
    }
}

} // namespace dragonflytray
