#include "shares/shares.h"

namespace dragonflytray {

void Shares::changeHosts(const SharesCommand& command, Instant now, SharesEffects&)
{
    this->entryHosts.clear();
    this->runners.clear();
    for (const Host& host : std::get<ChangeHosts>(command).hosts) {
        if (host.dataCentre != this->options.dataCentre)
            continue;
        if (host.kind == HostKind::EntryHost)
            this->entryHosts.emplace(host.name, host);
        if (host.kind == HostKind::Runner)
            this->runners.emplace(host.name, host.slots);
    }
    this->updateAllocatorHosts(now);
}

void Shares::updateAllocatorHosts(Instant now)
{
    if (!this->allocator)
        return;
    std::map<HostName, Endpoint> endpoints;
    for (const auto& [name, host] : this->entryHosts)
        endpoints.emplace(name, host.peerEndpoint);
    this->allocator->changeHosts(endpoints, this->runners, now);
}

} // namespace dragonflytray
