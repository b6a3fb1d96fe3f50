#pragma once

// Chooses the data centre to which queued jobs of an evacuated data centre move.
//
// Example:
//
//     choice.changeHosts(hosts);
//     DataCentreLoads loads = { { DataCentreName("dc2"), 12 } };
//     auto target = choice.choose({ .processors = 4, .memoryGigabytes = 8 }, *declaration, loads);

#include "declarations/declarations.h"
#include "model/model.h"
#include <map>
#include <optional>
#include <vector>

namespace dragonflytray {

// DataCentreLoads holds the processors that the unfinished jobs of each data centre need.
using DataCentreLoads = std::map<DataCentreName, double>;

// DataCentreChoice knows the live workers and entry hosts of every data centre. Not thread-safe.
class DataCentreChoice {
public:
    // changeHosts() replaces the host list. Linear in the hosts times the different capacities of a data centre.
    void changeHosts(const std::vector<Host>& hosts);

    // choose() returns the data centre with the lowest load per processor among those that are not evacuated, have a
    // live entry host and have a live worker whose capacity is at least `need`; the first by name among equals. Returns
    // nothing if there is none. Linear in the data centres.
    std::optional<DataCentreName> choose(const Capacity& need, const Declaration& declaration, const DataCentreLoads& loads) const;

private:
    struct DataCentre {
        bool hasEntryHost { false };
        double processors { 0 }; // of all live workers
        std::vector<Capacity> workerCapacities; // without repetitions
    };

    std::map<DataCentreName, DataCentre> dataCentres;
};

} // namespace dragonflytray
