#include "declarations/declaration.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    template <typename Item, typename Name>
    const Item* findByName(const std::vector<Item>& items, const Name& name)
    {
        auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
        return found == items.end() ? nullptr : &*found;
    }

} // namespace

const TeamDeclaration* Declaration::findTeam(const TeamName& name) const
{
    return findByName(this->teams, name);
}

const ServiceDeclaration* Declaration::findService(const ServiceName& name) const
{
    return findByName(this->services, name);
}

const BatchClassDeclaration* Declaration::findBatchClass(const BatchClassName& name) const
{
    return findByName(this->batchClasses, name);
}

const RegionDeclaration* Declaration::findRegionOf(const DataCentreName& name) const
{
    for (const RegionDeclaration& region : this->regions) {
        if (std::find(region.dataCentres.begin(), region.dataCentres.end(), name) != region.dataCentres.end())
            return &region;
    }
    return nullptr;
}

bool Declaration::isEvacuated(const DataCentreName& name) const
{
    return std::find(this->evacuatedDataCentres.begin(), this->evacuatedDataCentres.end(), name) != this->evacuatedDataCentres.end();
}

} // namespace dragonflytray
