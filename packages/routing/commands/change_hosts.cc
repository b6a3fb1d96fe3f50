#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr double minLinkBurstBytes = 64 * 1024; // so that one answer of usual size always fits

} // namespace

void Routing::changeHosts(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& hosts = std::get<ChangeHosts>(command).hosts;
    this->entryHosts.clear();
    for (auto& [name, runner] : this->runners)
        runner.isListed = false;
    for (auto& [name, peer] : this->peers)
        peer.isListed = false;
    for (const Host& host : hosts) {
        if (host.kind == HostKind::EntryHost)
            this->updatePeer(host);
        if (host.kind == HostKind::Runner)
            this->updateRunner(host);
    }
    this->applyShares();
    this->removeUnlistedHosts();
    this->updateLinkBudget();
    this->processQueues(now, effects);
}

void Routing::updateRunner(const Host& host)
{
    RunnerState& runner = this->runners[host.name];
    if (runner.host.service != host.service && runner.poolIndex != RunnerState::notInPool)
        this->serviceOf(runner.host.service).pool.update(runner, false);
    runner.host = host;
    runner.isListed = true;
    runner.distance = this->distanceTo(host.dataCentre);
}

void Routing::updatePeer(const Host& host)
{
    this->entryHosts.push_back(host);
    if (host.dataCentre == this->options.dataCentre)
        return;
    Peer& peer = this->peers[host.name];
    peer.host = host;
    peer.isListed = true;
    peer.distance = this->distanceTo(host.dataCentre);
}

void Routing::removeUnlistedHosts()
{
    // A host that left the list may return while attempts of this entry host still run there: they have to stay counted.
    std::erase_if(this->runners, [](const auto& entry) { return !entry.second.isListed && entry.second.inFlight == 0; });
    std::erase_if(this->peers, [](const auto& entry) { return !entry.second.isListed && entry.second.inFlight == 0; });
}

void Routing::updateLinkBudget()
{
    if (!this->inForce.declaration)
        return;
    const auto entryHostsInRegion = std::count_if(this->entryHosts.begin(), this->entryHosts.end(), [&](const Host& host) { return this->distanceTo(host.dataCentre) < crossRegionDistance; });
    const double localBytesPerSecond = this->inForce.declaration->linkBytesPerSecond / static_cast<double>(std::max<std::ptrdiff_t>(1, entryHostsInRegion));
    this->linkBudget.reconfigure({ .tokensPerSecond = localBytesPerSecond, .capacity = std::max(minLinkBurstBytes, localBytesPerSecond) });
}

} // namespace dragonflytray
