#include "scheduling/cell_roster.h"

namespace dragonflytray {

CellRoster::CellRoster(CellName cell)
    : cell(std::move(cell))
{
}

void CellRoster::apply(std::uint32_t number, const WorkerRoster& row, RowVersion version)
{
    Part& known = this->parts[number];
    if (version <= known.version)
        return;
    known.stored = row;
    known.version = version;
}

void CellRoster::beginReporting()
{
    this->sent.clear();
    for (Part& part : this->parts)
        part.isUnclear = false;
}

std::vector<StoredRowPut> CellRoster::compose(std::uint64_t report, const std::map<WorkerId, RosterEntry>& wanted)
{
    std::array<WorkerRoster, rosterParts> rows;
    for (const auto& [worker, entry] : wanted)
        rows[rosterPartOf(worker)].workers.emplace(worker, entry);
    std::vector<StoredRowPut> puts;
    for (std::uint32_t number = 0; number < rosterParts; ++number) {
        Part& part = this->parts[number];
        if (part.stored == rows[number] && !part.isUnclear)
            continue;
        part.isUnclear = true;
        this->sent[report].emplace(number, rows[number]);
        puts.push_back({ rosterKey({ this->cell, number }), std::move(rows[number]) });
    }
    return puts;
}

void CellRoster::reportStored(std::uint64_t report, RowVersion version)
{
    if (const auto found = this->sent.find(report); found != this->sent.end()) {
        for (const auto& [number, row] : found->second)
            this->parts[number] = { .stored = row, .version = version, .isUnclear = false };
    }
    this->sent.erase(this->sent.begin(), this->sent.upper_bound(report));
}

std::map<WorkerId, RosterEntry> CellRoster::workers() const
{
    std::map<WorkerId, RosterEntry> workers;
    for (const Part& part : this->parts)
        workers.insert(part.stored.workers.begin(), part.stored.workers.end());
    return workers;
}

} // namespace dragonflytray
