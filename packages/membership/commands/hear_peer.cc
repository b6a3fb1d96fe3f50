#include "membership/membership.h"

namespace dragonflytray {

void Membership::peerHeard(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const PeerHeartbeat& heartbeat = std::get<PeerHeard>(command).heartbeat;
    this->peers[heartbeat.host] = { heartbeat, now };
    this->follow({ heartbeat.version, heartbeat.objectKey }, effects);
}

void Membership::stopMembership(const MembershipCommand&, Instant, MembershipEffects& effects)
{
    this->isStopping = true;
    this->sendHeartbeats(effects);
}

} // namespace dragonflytray
