#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

void Routing::changeHosts(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& hosts = std::get<ChangeHosts>(command).hosts;
    this->entryHosts.clear();
    for (auto& [name, runner] : this->runners)
        runner.isListed = false;
    for (const Host& host : hosts) {
        if (host.kind == HostKind::EntryHost)
            this->entryHosts.push_back(host);
        if (host.kind == HostKind::Runner)
            this->listRunner(host);
    }
    // A runner that left the list may come back with attempts of ours still running: they keep counting.
    std::erase_if(this->runners, [](const auto& entry) { return !entry.second.isListed && entry.second.inFlight == 0; });
    this->assignShares();
    this->serveQueues(now, effects);
}

void Routing::listRunner(const Host& host)
{
    Runner& runner = this->runners[host.name];
    runner.host = host;
    runner.isListed = true;
    runner.distance = this->distanceTo(host.dataCentre);
}

} // namespace dragonflytray
