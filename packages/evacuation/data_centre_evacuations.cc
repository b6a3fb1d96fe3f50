#include "evacuation/data_centre_evacuations.h"

#include <algorithm>
#include <set>

namespace dragonflytray {

std::vector<EvacuationTransition> DataCentreEvacuations::follow(const EvacuationsDelivered& delivered, Instant now)
{
    std::vector<EvacuationTransition> transitions;
    std::set<DataCentreName> named;
    for (const EvacuationChange& change : delivered.changes) {
        named.insert(change.dataCentre);
        this->apply(change, now, transitions);
    }
    if (!delivered.isWhole)
        return transitions;
    for (const auto& [dataCentre, request] : this->requests) {
        if (request.isEvacuated && !named.contains(dataCentre))
            this->apply({ .dataCentre = dataCentre, .isEvacuated = false, .version = delivered.revision }, now, transitions);
    }
    return transitions;
}

void DataCentreEvacuations::apply(const EvacuationChange& change, Instant now, std::vector<EvacuationTransition>& transitions)
{
    Request& request = this->requests[change.dataCentre];
    if (change.version <= request.version)
        return;
    request.version = change.version;
    if (change.isEvacuated == request.isEvacuated)
        return;
    transitions.push_back({ .change = change, .duration = change.isEvacuated ? Duration(0) : now - request.changedAt });
    request.isEvacuated = change.isEvacuated;
    request.changedAt = now;
}

bool DataCentreEvacuations::isEvacuated(const DataCentreName& dataCentre) const
{
    const auto found = this->requests.find(dataCentre);
    return found != this->requests.end() && found->second.isEvacuated;
}

double DataCentreEvacuations::fillShare(const DataCentreName& dataCentre, Instant now) const
{
    const auto found = this->requests.find(dataCentre);
    if (found == this->requests.end() || found->second.changedAt == Instant())
        return 1;
    if (found->second.isEvacuated)
        return 0;
    const double elapsed = toSeconds(now - found->second.changedAt) / toSeconds(this->options.refillTime);
    return std::clamp(elapsed, this->options.minFillShare, 1.0);
}

bool DataCentreEvacuations::restrictsStarts(Instant now) const
{
    return std::any_of(this->requests.begin(), this->requests.end(), [&](const auto& entry) { return this->fillShare(entry.first, now) < 1; });
}

std::vector<EvacuationChange> DataCentreEvacuations::inEffect() const
{
    std::vector<EvacuationChange> changes;
    for (const auto& [dataCentre, request] : this->requests) {
        if (request.isEvacuated)
            changes.push_back({ .dataCentre = dataCentre, .isEvacuated = true, .version = request.version });
    }
    return changes;
}

std::size_t DataCentreEvacuations::count() const
{
    return static_cast<std::size_t>(std::count_if(this->requests.begin(), this->requests.end(), [](const auto& entry) { return entry.second.isEvacuated; }));
}

} // namespace dragonflytray
