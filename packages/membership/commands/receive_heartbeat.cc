#include "membership/membership.h"

namespace dragonflytray {

void Membership::heartbeatReceived(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const PeerHeartbeat& heartbeat = std::get<HeartbeatReceived>(command).heartbeat;
    const auto before = this->peers.find(heartbeat.host);
    const ConfigurationVersion claimed = before == this->peers.end() ? 0 : before->second.heartbeat.version;
    if (heartbeat.host == this->options.self)
        return;
    ++this->counts.heartbeatsReceived;
    this->peers[heartbeat.host] = { heartbeat, now };
    if (this->isListRead)
        this->publishHosts(effects);
    // A version higher than the known one prompts a read of the table, once for each increase that the peer claims. The
    // claim itself is not trusted here.
    if (heartbeat.version > claimed && heartbeat.version > std::max(this->version, this->row.value.version))
        effects.push_back(ReadRows { { RowKind::Configuration }, this->row.revision });
}

void Membership::stopMembership(const MembershipCommand&, Instant, MembershipEffects& effects)
{
    this->isStopping = true;
    this->sendHeartbeats(effects);
}

} // namespace dragonflytray
