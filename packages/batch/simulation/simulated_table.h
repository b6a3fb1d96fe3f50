#pragma once

// An in-memory model of the platform's table with versions, conditions and writers. It aborts when a write of a job row
// breaks an invariant: states follow the transition table, and the attempt number increases by one at each start.

#include "batch/batch.h"
#include <algorithm>
#include <map>

namespace dragonflytray {

// SimulatedTable applies transactions immediately and keeps the latest value of each row. Not thread-safe.
class SimulatedTable {
public:
    // apply() applies one transaction and returns its result.
    TransactionResult apply(const Transaction& transaction)
    {
        TransactionResult result { transaction.id, TransactionStatus::Committed, 0, {} };
        for (const RowCondition& condition : transaction.conditions) {
            RowChange& row = this->rows[condition.key];
            row.key = condition.key;
            if (row.version != condition.version)
                result.conflicts.push_back(row);
        }
        if (!result.conflicts.empty()) {
            result.status = TransactionStatus::Conflict;
            return result;
        }
        result.revision = ++this->revision;
        for (const RowWrite& write : transaction.writes) {
            this->checkJobInvariants(write);
            this->rows[write.key] = { write.key, this->revision, transaction.id, write.value };
            this->changes.emplace(this->revision, write.key);
        }
        return result;
    }

    // read() returns the rows of the requested kinds that changed after the requested revision.
    RowsRead read(const ReadRows& request)
    {
        RowsRead read { true, this->revision, {} };
        for (auto change = this->changes.upper_bound(request.after); change != this->changes.end(); ++change) {
            const bool isRequested = std::find(request.kinds.begin(), request.kinds.end(), change->second.kind) != request.kinds.end();
            const RowChange& row = this->rows.at(change->second);
            if (isRequested && row.version == change->first)
                read.rows.push_back(row);
        }
        return read;
    }

    // find() returns the recorded job, or null.
    const Job* find(const JobId& id) const
    {
        auto found = this->rows.find({ RowKind::Job, id.value() });
        return found == this->rows.end() || !found->second.value ? nullptr : &std::get<Job>(*found->second.value);
    }

private:
    void checkJobInvariants(const RowWrite& write) const
    {
        const auto* next = std::get_if<Job>(&write.value);
        if (!next)
            return;
        const Job* before = this->find(next->id);
        if (!before)
            return require(next->state == JobState::Queued && next->attempt == 0, "SimulatedTable: a new job is not queued or has an attempt");
        require(before->state == next->state || isAllowed(before->state, next->state), "SimulatedTable: a job transition is not allowed");
        const std::uint32_t expected = before->attempt + (before->state == JobState::Queued && next->state == JobState::Starting ? 1 : 0);
        require(next->attempt == expected, "SimulatedTable: the attempt number of a job is not its number of starts");
    }

    std::map<RowKey, RowChange> rows;
    std::multimap<RowVersion, RowKey> changes;
    RowVersion revision { 0 };
};

} // namespace dragonflytray
