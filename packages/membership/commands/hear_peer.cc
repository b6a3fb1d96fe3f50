#include "membership/membership.h"

namespace dragonflytray {

void Membership::peerHeard(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const PeerHeartbeat& heartbeat = std::get<PeerHeard>(command).heartbeat;
    const auto before = this->peers.find(heartbeat.host);
    const ConfigurationVersion claimed = before == this->peers.end() ? 0 : before->second.heartbeat.version;
    this->peers[heartbeat.host] = { heartbeat, now };
    // A higher version is a hint to read the table now, once for each new claim.
    if (heartbeat.version > claimed && heartbeat.version > std::max(this->version, this->row.value.version))
        effects.push_back(ReadRows { { RowKind::Configuration }, this->row.revision });
}

void Membership::stopMembership(const MembershipCommand&, Instant, MembershipEffects& effects)
{
    this->isStopping = true;
    this->sendHeartbeats(effects);
}

} // namespace dragonflytray
