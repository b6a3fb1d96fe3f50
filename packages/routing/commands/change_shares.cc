#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration demandInterval = std::chrono::milliseconds(200);

    // evenShare() splits a runner's slots among the entry hosts of its data centre.
    int evenShare(const Host& runner, const std::vector<Host>& entryHosts)
    {
        const auto sharers = std::count_if(entryHosts.begin(), entryHosts.end(), [&](const Host& host) { return host.dataCentre == runner.dataCentre; });
        return std::max<int>(1, runner.slots / std::max<int>(1, static_cast<int>(sharers)));
    }

} // namespace

void Routing::changeShares(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    this->assignedShares.clear();
    for (const SlotShare& share : std::get<ChangeShares>(command).shares)
        this->assignedShares[share.runner] = share.slots;
    this->assignShares();
    this->serveQueues(now, effects);
    this->reportShares(now, effects);
}

void Routing::assignShares()
{
    for (auto& [name, runner] : this->runners) {
        if (this->options.shareSource == ShareSource::EvenSplit) {
            runner.share = evenShare(runner.host, this->entryHosts);
            continue;
        }
        auto assigned = this->assignedShares.find(name);
        runner.share = assigned == this->assignedShares.end() ? 0 : assigned->second;
    }
}

void Routing::reportDemand(Instant now, RoutingEffects& effects)
{
    if (now < this->demandReportedAt + demandInterval || this->sharesHeld().wanted == this->reportedDemand)
        return;
    this->reportShares(now, effects);
}

void Routing::reportShares(Instant now, RoutingEffects& effects)
{
    if (this->options.shareSource != ShareSource::Assigned)
        return;
    SharesHeld report = this->sharesHeld();
    this->reportedDemand = report.wanted;
    this->demandReportedAt = now;
    effects.push_back(std::move(report));
}

SharesHeld Routing::sharesHeld() const
{
    SharesHeld report;
    for (const auto& [name, runner] : this->runners) {
        if (const int held = std::max(runner.share, runner.inFlight); held > 0)
            report.held.push_back({ name, held });
        auto queue = this->queues.find(runner.host.service);
        const int waiting = queue == this->queues.end() ? 0 : static_cast<int>(queue->second.size());
        if (const int wanted = runner.inFlight + waiting; wanted > 0)
            report.wanted.push_back({ name, wanted });
    }
    return report;
}

} // namespace dragonflytray
