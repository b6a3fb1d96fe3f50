#include "membership/membership.h"

namespace dragonflytray {

MembershipView Membership::status(const MembershipQuery&, Instant now) const
{
    MembershipStatus status;
    status.self = this->options.self;
    status.dataCentre = this->options.dataCentre;
    status.version = this->version;
    if (this->declaration)
        status.evacuatedDataCentres = this->declaration->evacuatedDataCentres;
    status.isReady = this->isReady();
    status.isListRead = this->isListRead;
    status.listAge = this->isListRead ? now - this->lastListReadAt : Duration(0);
    status.hosts = this->listedHosts;
    for (const Host& host : this->listedHosts) {
        if (host.kind != HostKind::EntryHost || host.name == this->options.self)
            continue;
        auto peer = this->peers.find(host.name);
        if (peer == this->peers.end())
            status.peers.push_back({ .host = host.name, .dataCentre = host.dataCentre });
        else
            status.peers.push_back({ host.name, host.dataCentre, peer->second.heartbeat.version, true, now - peer->second.lastHeartbeatAt });
    }
    for (const Host& host : this->listedHosts)
        status.hostStatuses.push_back(this->statusOf(host, now));
    for (const auto& [name, entry] : this->goneHosts)
        status.hostStatuses.push_back({ name, entry.host.kind, HostLiveness::Gone, now - entry.goneSince });
    status.counts = this->counts;
    return status;
}

} // namespace dragonflytray
