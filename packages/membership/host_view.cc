#include "membership/membership.h"

namespace dragonflytray {

void Membership::publishHosts(MembershipEffects& effects)
{
    std::vector<Host> view = this->hosts;
    for (Host& host : view) {
        const auto peer = this->peers.find(host.name);
        if (peer != this->peers.end() && peer->second.heartbeat.isLeaving)
            host.state = HostState::Leaving;
    }
    if (view == this->published)
        return;
    this->published = std::move(view);
    effects.push_back(PublishHosts { this->published });
}

HostStatus Membership::statusOf(const Host& host, Instant now) const
{
    HostStatus status { host.name, host.kind, host.state == HostState::Leaving ? HostLiveness::Leaving : HostLiveness::Live, now - this->listReadAt };
    if (host.kind != HostKind::EntryHost || host.name == this->options.self)
        return status;
    const auto peer = this->peers.find(host.name);
    if (peer != this->peers.end())
        status.age = now - peer->second.heardAt;
    if (peer != this->peers.end() && peer->second.heartbeat.isLeaving)
        status.liveness = HostLiveness::Leaving;
    else if (status.liveness == HostLiveness::Live && (peer == this->peers.end() || status.age > this->options.suspectAfter))
        status.liveness = HostLiveness::Suspected;
    return status;
}

void Membership::forgetOld(Instant now)
{
    std::erase_if(this->gone, [&](const auto& entry) { return now - entry.second.since > this->options.goneRetention; });
    std::erase_if(this->peers, [&](const auto& entry) { return now - entry.second.heardAt > this->options.goneRetention; });
    const ConfigurationVersion oldest = this->row.value.history.empty() ? this->version : this->row.value.history.back().version;
    std::erase_if(this->texts, [&](const auto& entry) { return entry.first < oldest; });
}

void Membership::countMissedHeartbeats(Instant now)
{
    for (const Host& host : this->hosts) {
        if (host.kind != HostKind::EntryHost || host.name == this->options.self)
            continue;
        const auto peer = this->peers.find(host.name);
        if (peer == this->peers.end() || now - peer->second.heardAt > 2 * this->options.heartbeatInterval)
            ++this->counts.heartbeatsMissed;
    }
}

} // namespace dragonflytray
