#pragma once

// An in-memory store for tests: rows with versions, conditional transactions, and reads of what has changed.
//
// Example:
//
//     SimulatedStore store;
//     RowsWriteEnded end = store.apply(write);
//     StoredRowsRead read = store.changesAfter(0);

#include "scheduling/scheduling.h"

namespace dragonflytray {

// SimulatedStore applies transactions one at a time. It always answers; tests simulate outages around it. Not
// thread-safe.
class SimulatedStore {
public:
    // apply() applies `write` if every condition holds. Otherwise it changes nothing, and the result lists the rows whose
    // conditions failed.
    RowsWriteEnded apply(const WriteStoredRows& write);

    // changesAfter() is the last change of every row, except rosters, that was written after `version` and not after `last`, in the
    // order of versions. Linear in these changes.
    StoredRowsRead changesAfter(RowVersion version, RowVersion last) const;
    StoredRowsRead changesAfter(RowVersion version) const { return this->changesAfter(version, this->lastVersion); }

    // rosters() is the present rows of all rosters.
    RostersRead rosters() const;

    // rowsOf() is the present rows of one job.
    JobRowsRead rowsOf(const JobId& job) const;

    // find() is a row, or null when it is absent or removed.
    const StoredRowChange* find(const StoredRowKey& key) const;

    // version() is the version of the last transaction that was applied; 0: none.
    RowVersion version() const { return this->lastVersion; }

private:
    std::map<StoredRowKey, StoredRowChange> rows; // a removed row stays, without a value
    std::vector<StoredRowChange> changes; // all of them, in the order of versions
    RowVersion lastVersion { 0 };
};

} // namespace dragonflytray
