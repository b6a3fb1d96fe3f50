#include "membership/membership.h"

namespace dragonflytray {

MembershipView Membership::status(const MembershipQuery&, Instant now) const
{
    MembershipStatus status;
    status.self = this->options.self;
    status.dataCentre = this->options.dataCentre;
    status.version = this->version;
    status.isReady = this->isReady();
    status.isListRead = this->isListRead;
    status.listAge = this->isListRead ? now - this->listReadAt : Duration(0);
    status.hosts = this->hosts;
    for (const Host& host : this->hosts) {
        if (host.kind != HostKind::EntryHost || host.name == this->options.self)
            continue;
        auto peer = this->peers.find(host.name);
        if (peer == this->peers.end())
            status.peers.push_back({ .host = host.name, .dataCentre = host.dataCentre });
        else
            status.peers.push_back({ host.name, host.dataCentre, peer->second.heartbeat.version, true, now - peer->second.heardAt });
    }
    return status;
}

} // namespace dragonflytray
