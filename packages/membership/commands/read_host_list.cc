#include "membership/membership.h"

#include <algorithm>

namespace dragonflytray {

void Membership::hostListRead(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& read = std::get<HostListRead>(command);
    if (!read.isRead)
        return;
    const bool isFirst = !this->isListRead;
    this->isListRead = true;
    this->listReadAt = now;
    if (!isFirst && read.hosts == this->hosts)
        return;
    this->hosts = read.hosts;
    std::erase_if(this->peers, [&](const auto& peer) {
        return std::none_of(this->hosts.begin(), this->hosts.end(), [&](const Host& host) { return host.name == peer.first; });
    });
    effects.push_back(PublishHosts { this->hosts });
}

} // namespace dragonflytray
