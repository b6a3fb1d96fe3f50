#include "membership/membership.h"

namespace dragonflytray {

void Membership::hostListRead(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& read = std::get<HostListRead>(command);
    if (!read.isRead) {
        ++this->counts.listReadsFailed;
        return;
    }
    const bool isFirst = !this->isListRead;
    this->isListRead = true;
    this->listReadAt = now;
    if (!isFirst && read.hosts == this->hosts)
        return;
    for (const Host& host : this->hosts)
        this->gone.insert_or_assign(host.name, GoneHost { host, now });
    this->hosts = read.hosts;
    for (const Host& host : this->hosts)
        this->gone.erase(host.name);
    for (const auto& [name, entry] : this->gone) {
        if (entry.since == now)
            this->peers.erase(name);
    }
    if (isFirst && this->hosts.empty())
        effects.push_back(PublishHosts {});
    this->publishHosts(effects);
}

} // namespace dragonflytray
