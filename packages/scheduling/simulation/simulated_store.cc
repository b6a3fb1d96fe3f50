#include "scheduling/simulation/simulated_store.h"

#include <algorithm>

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
        this->rows[put.key] = { put.key, this->lastVersion, put.value };
    for (const StoredRowKey& key : write.removals)
        this->rows[key] = { key, this->lastVersion, std::nullopt };
    return end;
}

StoredRowsRead SimulatedStore::changesAfter(RowVersion version) const
{
    StoredRowsRead read { {}, this->lastVersion, false };
    for (const auto& [key, row] : this->rows) {
        if (row.version > version)
            read.rows.push_back(row);
    }
    std::sort(read.rows.begin(), read.rows.end(), [](const auto& a, const auto& b) { return a.version < b.version; });
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
