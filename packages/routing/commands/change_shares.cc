#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration demandInterval = std::chrono::milliseconds(200);

    // evenShare() returns each entry host's part of a runner's slots, if those of its data centre share them equally.
    int evenShare(const Host& runner, const std::vector<Host>& entryHosts)
    {
        const auto entryHostsInDataCentre = std::count_if(entryHosts.begin(), entryHosts.end(), [&](const Host& host) { return host.dataCentre == runner.dataCentre; });
        return std::max<int>(1, runner.slots / std::max<int>(1, static_cast<int>(entryHostsInDataCentre)));
    }

} // namespace

void Routing::changeShares(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& change = std::get<ChangeShares>(command);
    this->shareRevision = change.revision;
    this->sharesValidUntil = change.validUntil;
    this->assignedShares.clear();
    for (const SlotShare& share : change.shares)
        this->assignedShares[share.runner] = share.slots;
    this->applyShares();
    this->processQueues(now, effects);
    this->reportShares(now, effects);
}

void Routing::applyShares()
{
    for (auto& [name, service] : this->services) {
        service.usableSlots = 0;
        service.liveRunners = 0;
        service.ejectedRunners = 0;
        service.liveDataCentres.clear();
        service.hasEvacuatedRunners = false;
    }
    for (auto& [name, runner] : this->runners) {
        runner.share = this->shareOf(runner);
        const bool isUsable = this->isUsable(runner);
        runner.isEjected = runner.isEjected && isUsable && runner.share > 0;
        this->updatePool(runner);
        if (!this->isLive(runner))
            continue;
        ServiceState& service = this->serviceOf(runner.host.service);
        service.hasEvacuatedRunners = service.hasEvacuatedRunners || !isUsable;
        if (!isUsable)
            continue;
        service.usableSlots += runner.share;
        service.liveRunners += runner.share > 0 ? 1 : 0;
        service.ejectedRunners += runner.isEjected ? 1 : 0;
        service.liveDataCentres.insert(runner.host.dataCentre);
    }
}

int Routing::shareOf(const RunnerState& runner) const
{
    // The runners of another data centre are only used through the entry hosts there.
    if (runner.host.dataCentre != this->options.dataCentre)
        return 0;
    if (this->options.shareSource == ShareSource::EvenSplit)
        return evenShare(runner.host, this->entryHosts);
    auto assigned = this->assignedShares.find(runner.host.name);
    return assigned == this->assignedShares.end() ? 0 : assigned->second;
}

bool Routing::isLive(const RunnerState& runner) const
{
    return runner.isListed && runner.host.state == HostState::Live;
}

bool Routing::isEvacuated(const DataCentreName& dataCentre) const
{
    return this->inForce.declaration && this->inForce.declaration->isEvacuated(dataCentre);
}

// The share of a runner in an evacuated data centre stays as assigned: this entry host still holds it, and the runner
// is only not chosen.
bool Routing::isUsable(const RunnerState& runner) const
{
    return this->isLive(runner) && !this->isEvacuated(runner.host.dataCentre);
}

void Routing::updatePool(RunnerState& runner)
{
    const bool isEligible = this->isUsable(runner) && !runner.isEjected && runner.inFlight < runner.share;
    this->serviceOf(runner.host.service).pool.update(runner, isEligible);
}

void Routing::reportChangedDemand(Instant now, RoutingEffects& effects)
{
    if (now < this->demandReportedAt + demandInterval || this->makeShareReport().wanted == this->reportedDemand)
        return;
    this->reportShares(now, effects);
}

void Routing::reportShares(Instant now, RoutingEffects& effects)
{
    if (this->options.shareSource != ShareSource::Assigned)
        return;
    SharesHeld report = this->makeShareReport();
    this->reportedDemand = report.wanted;
    this->demandReportedAt = now;
    effects.push_back(std::move(report));
}

SharesHeld Routing::makeShareReport() const
{
    SharesHeld report { this->shareRevision, {}, {} };
    for (const auto& [name, runner] : this->runners) {
        if (const int held = std::max(runner.share, runner.inFlight); held > 0)
            report.held.push_back({ name, held });
        if (runner.host.dataCentre != this->options.dataCentre)
            continue;
        auto service = this->services.find(runner.host.service);
        const int waiting = service == this->services.end() ? 0 : static_cast<int>(service->second.queue->size());
        if (const int wanted = runner.inFlight + waiting; wanted > 0)
            report.wanted.push_back({ name, wanted });
    }
    return report;
}

} // namespace dragonflytray
