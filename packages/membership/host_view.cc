#include "membership/membership.h"

namespace dragonflytray {

void Membership::publishHosts(MembershipEffects& effects)
{
    std::vector<Host> view = this->listedHosts;
    for (Host& host : view) {
        const auto peer = this->peers.find(host.name);
        if (peer != this->peers.end() && peer->second.heartbeat.isLeaving)
            host.state = HostState::Leaving;
    }
    if (view == this->publishedHosts)
        return;
    this->publishedHosts = std::move(view);
    effects.push_back(PublishHosts { this->publishedHosts });
}

HostStatus Membership::statusOf(const Host& host, Instant now) const
{
    HostStatus status { host.name, host.kind, host.state == HostState::Leaving ? HostLiveness::Leaving : HostLiveness::Live, now - this->lastListReadAt };
    if (host.kind != HostKind::EntryHost || host.name == this->options.self)
        return status;
    const auto peer = this->peers.find(host.name);
    if (peer != this->peers.end())
        status.age = now - peer->second.lastHeartbeatAt;
    if (peer != this->peers.end() && peer->second.heartbeat.isLeaving)
        status.liveness = HostLiveness::Leaving;
    else if (status.liveness == HostLiveness::Live && (peer == this->peers.end() || status.age > this->options.suspectTimeout))
        status.liveness = HostLiveness::Suspected;
    return status;
}

void Membership::eraseExpired(Instant now)
{
    std::erase_if(this->goneHosts, [&](const auto& entry) { return now - entry.second.goneSince > this->options.goneHostRetention; });
    std::erase_if(this->peers, [&](const auto& entry) { return now - entry.second.lastHeartbeatAt > this->options.goneHostRetention; });
    const ConfigurationVersion oldest = this->row.value.history.empty() ? this->version : this->row.value.history.back().version;
    std::erase_if(this->cachedTexts, [&](const auto& entry) { return entry.first < oldest; });
}

void Membership::countMissedHeartbeats(Instant now)
{
    for (const Host& host : this->listedHosts) {
        if (host.kind != HostKind::EntryHost || host.name == this->options.self)
            continue;
        const auto peer = this->peers.find(host.name);
        if (peer == this->peers.end() || now - peer->second.lastHeartbeatAt > 2 * this->options.heartbeatInterval)
            ++this->counts.missedHeartbeats;
    }
}

} // namespace dragonflytray
