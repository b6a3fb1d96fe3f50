#pragma once

// A store in memory for tests: rows with versions, conditional transactions, and a log of changes.
//
// Example:
//
//     SimulatedStore store;
//     RowsWriteEnded end = store.apply(write);
//     StoredRowsRead read = store.changesAfter(0);

#include "scheduling/scheduling.h"

namespace dragonflytray {

// SimulatedStore applies transactions one after another. Not thread-safe.
class SimulatedStore {
public:
    // apply() applies `write` if every condition holds.
    RowsWriteEnded apply(const WriteStoredRows& write);

    // changesAfter() is the last change of every row that was written later.
    StoredRowsRead changesAfter(RowVersion version) const;

    // rowsOf() is the rows of one job.
    JobRowsRead rowsOf(const JobId& job) const;

    // find() is a row that is present, or null.
    const StoredRowChange* find(const StoredRowKey& key) const;

    RowVersion version() const { return this->lastVersion; }

private:
    std::map<StoredRowKey, StoredRowChange> rows;
    RowVersion lastVersion { 0 };
};

} // namespace dragonflytray
