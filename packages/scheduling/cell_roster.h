#pragma once

// The roster of a cell: the workers on which its leader may have started tasks, as rows of the store.
//
// A leader starts tasks only on workers that the stored roster contains. A successor that has read the roster therefore
// knows every worker that may have runs, and where to reach it, whatever the platform's list shows.
//
// Example:
//
//     CellRoster roster(cell);
//     roster.apply(part, row, version);
//     for (StoredRowPut& put : roster.compose(report, wanted)) { ... }
//     roster.reportStored(report, version);

#include "scheduling/scheduling_effects.h"
#include "scheduling/stored_rows.h"
#include <array>

namespace dragonflytray {

// CellRoster holds the rows of one cell. Every host applies the rows that it reads; the leader also composes changes, which
// it writes together with its reports. Not thread-safe.
class CellRoster {
public:
    explicit CellRoster(CellName cell);

    // apply() applies the part with that number as read from the store. Versions that are not newer than the known one have
    // no effect.
    void apply(std::uint32_t number, const WorkerRoster& row, RowVersion version);

    // beginReporting() forgets the writes of an earlier leadership of this host, none of which can be stored any more. Call it
    // when every change up to the acquisition of the lease has been applied.
    void beginReporting();

    // compose() returns the rows to write with `report` so that the stored roster becomes `wanted`. A part is written again
    // until a report that contains it is known to be stored. Linear in the workers.
    std::vector<StoredRowPut> compose(std::uint64_t report, const std::map<WorkerId, RosterEntry>& wanted);

    // reportStored() records that the rows of `report` are stored at `version`. Earlier reports can't be stored any more.
    void reportStored(std::uint64_t report, RowVersion version);

    // workers() returns the stored roster, as far as it is known. Linear in the workers.
    std::map<WorkerId, RosterEntry> workers() const;

private:
    struct Part {
        WorkerRoster stored;
        RowVersion version { 0 };
        bool isUnclear { false }; // a write of it is not known to be stored
    };
    using Parts = std::map<std::uint32_t, WorkerRoster>;

    CellName cell;
    std::array<Part, rosterParts> parts;
    std::map<std::uint64_t, Parts> sent; // by report
};

} // namespace dragonflytray
