#include "membership/membership.h"

namespace dragonflytray {

void Membership::hostListRead(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& read = std::get<HostListRead>(command);
    if (!read.isRead) {
        ++this->counts.failedListReads;
        return;
    }
    const bool isFirst = !this->isListRead;
    this->isListRead = true;
    this->lastListReadAt = now;
    if (!isFirst && read.hosts == this->listedHosts)
        return;
    for (const Host& host : this->listedHosts)
        this->goneHosts.insert_or_assign(host.name, GoneHost { host, now });
    this->listedHosts = read.hosts;
    for (const Host& host : this->listedHosts)
        this->goneHosts.erase(host.name);
    for (const auto& [name, entry] : this->goneHosts) {
        if (entry.goneSince == now)
            this->peers.erase(name);
    }
    if (isFirst && this->listedHosts.empty())
        effects.push_back(PublishHosts {});
    this->publishHosts(effects);
}

} // namespace dragonflytray
