#include "batch/data_centre_choice.h"

#include "capacity/capacity.h"
#include <algorithm>
#include <limits>

namespace dragonflytray {

void DataCentreChoice::changeHosts(const std::vector<Host>& hosts)
{
    this->dataCentres.clear();
    for (const Host& host : hosts) {
        if (host.state != HostState::Live)
            continue;
        DataCentre& dataCentre = this->dataCentres[host.dataCentre];
        dataCentre.hasEntryHost = dataCentre.hasEntryHost || host.kind == HostKind::EntryHost;
        if (host.kind != HostKind::Worker)
            continue;
        dataCentre.processors += host.capacity.processors;
        std::vector<Capacity>& capacities = dataCentre.workerCapacities;
        if (std::find(capacities.begin(), capacities.end(), host.capacity) == capacities.end())
            capacities.push_back(host.capacity);
    }
}

std::optional<DataCentreName> DataCentreChoice::choose(const Capacity& need, const Declaration& declaration, const DataCentreLoads& loads) const
{
    std::optional<DataCentreName> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [name, dataCentre] : this->dataCentres) {
        const bool hasRoom = std::any_of(dataCentre.workerCapacities.begin(), dataCentre.workerCapacities.end(), [&](const Capacity& capacity) { return fits(need, capacity); });
        if (!dataCentre.hasEntryHost || !hasRoom || declaration.isEvacuated(name))
            continue;
        const auto load = loads.find(name);
        const double loadPerProcessor = (load == loads.end() ? 0 : load->second) / std::max(dataCentre.processors, 1.0);
        if (loadPerProcessor < lowest) {
            lowest = loadPerProcessor;
            best = name;
        }
    }
    return best;
}

} // namespace dragonflytray
