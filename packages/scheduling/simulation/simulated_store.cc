#include "scheduling/simulation/simulated_store.h"

#include <algorithm>
#include <iterator>

namespace dragonflytray {

const StoredRowChange* SimulatedStore::find(const StoredRowKey& key) const
{
    const auto found = this->rows.find(key);
    return found != this->rows.end() && found->second.value ? &found->second : nullptr;
}

RowsWriteEnded SimulatedStore::apply(const WriteStoredRows& write)
{
    RowsWriteEnded end { write.write, TransactionStatus::Committed, 0, {} };
    for (const StoredRowCondition& condition : write.conditions) {
        const StoredRowChange* row = this->find(condition.key);
        if ((row ? row->version : 0) == condition.version)
            continue;
        end.status = TransactionStatus::Conflict;
        if (row)
            end.conflicts.push_back(*row);
    }
    if (end.status == TransactionStatus::Conflict)
        return end;
    end.revision = ++this->lastVersion;
    for (const StoredRowPut& put : write.puts)
        this->changes.push_back({ put.key, this->lastVersion, put.value });
    for (const StoredRowKey& key : write.removals)
        this->changes.push_back({ key, this->lastVersion, std::nullopt });
    for (auto change = this->changes.end() - static_cast<std::ptrdiff_t>(write.puts.size() + write.removals.size()); change != this->changes.end(); ++change)
        this->rows[change->key] = *change;
    return end;
}

StoredRowsRead SimulatedStore::changesAfter(RowVersion version, RowVersion last) const
{
    StoredRowsRead read { {}, last, false };
    const auto isBefore = [](RowVersion bound, const StoredRowChange& change) { return bound < change.version; };
    const auto begin = std::upper_bound(this->changes.begin(), this->changes.end(), version, isBefore);
    const auto end = std::upper_bound(begin, this->changes.end(), std::max(version, last), isBefore);
    std::map<StoredRowKey, RowVersion> lastVersions;
    for (auto change = begin; change != end; ++change)
        lastVersions[change->key] = change->version;
    std::copy_if(begin, end, std::back_inserter(read.rows), [&](const StoredRowChange& change) { return change.key.kind != StoredRowKind::WorkerRoster && lastVersions.at(change.key) == change.version; });
    return read;
}

RostersRead SimulatedStore::rosters() const
{
    RostersRead read { {}, this->lastVersion };
    for (const auto& [key, row] : this->rows) {
        if (key.kind == StoredRowKind::WorkerRoster && row.value)
            read.rows.push_back(row);
    }
    return read;
}

JobRowsRead SimulatedStore::rowsOf(const JobId& job) const
{
    JobRowsRead read { job, true, {} };
    for (const auto& [key, row] : this->rows) {
        if (key.name == job.value() && row.value)
            read.rows.push_back(row);
    }
    return read;
}

} // namespace dragonflytray
