#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // shareOf() splits a runner's slots evenly among the entry hosts of its data centre.
    int shareOf(const Host& runner, const std::vector<Host>& hosts)
    {
        const auto sharers = std::count_if(hosts.begin(), hosts.end(), [&](const Host& host) {
            return host.kind == HostKind::EntryHost && host.dataCentre == runner.dataCentre;
        });
        return std::max<int>(1, runner.slots / std::max<int>(1, static_cast<int>(sharers)));
    }

} // namespace

void Routing::changeHosts(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& hosts = std::get<ChangeHosts>(command).hosts;
    std::map<HostName, Runner> next;
    for (const Host& host : hosts) {
        if (host.kind != HostKind::Runner)
            continue;
        auto known = this->runners.find(host.name);
        const int inFlight = known == this->runners.end() ? 0 : known->second.inFlight;
        const int share = std::max(shareOf(host, hosts), inFlight);
        next.emplace(host.name, Runner { host, share, inFlight, this->distanceTo(host.dataCentre) });
    }
    this->runners = std::move(next);
    this->tick(RoutingTick {}, now, effects);
}

} // namespace dragonflytray
