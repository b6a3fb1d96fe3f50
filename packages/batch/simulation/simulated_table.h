#pragma once

// The platform's table in memory, for tests of decisions: versions, conditions and writers. It checks
// what holds for job rows whatever the writer does: states follow the transition table and attempt
// numbers grow by one at each start.

#include "batch/batch.h"
#include <algorithm>
#include <map>

namespace dragonflytray {

// SimulatedTable applies transactions at once and keeps the last value of each row. Not thread-safe.
class SimulatedTable {
public:
    // apply() is the end of one transaction.
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
            this->check(write);
            this->rows[write.key] = { write.key, this->revision, transaction.id, write.value };
            this->changes.emplace(this->revision, write.key);
        }
        return result;
    }

    // read() is every row of `kinds` that changed after a revision.
    RowsRead read(const ReadRows& asked)
    {
        RowsRead read { true, this->revision, {} };
        for (auto change = this->changes.upper_bound(asked.after); change != this->changes.end(); ++change) {
            const bool isAsked = std::find(asked.kinds.begin(), asked.kinds.end(), change->second.kind) != asked.kinds.end();
            const RowChange& row = this->rows.at(change->second);
            if (isAsked && row.version == change->first)
                read.rows.push_back(row);
        }
        return read;
    }

    // find() is the job as recorded, or nothing.
    const Job* find(const JobId& id) const
    {
        auto found = this->rows.find({ RowKind::Job, id.value() });
        return found == this->rows.end() || !found->second.value ? nullptr : &std::get<Job>(*found->second.value);
    }

private:
    void check(const RowWrite& write) const
    {
        const auto* next = std::get_if<Job>(&write.value);
        if (!next)
            return;
        const Job* before = this->find(next->id);
        if (!before)
            return require(next->state == JobState::Queued && next->attempt == 0, "SimulatedTable: a job starts in a wrong state");
        require(before->state == next->state || isAllowed(before->state, next->state), "SimulatedTable: a transition is not in the table");
        const std::uint32_t expected = before->attempt + (before->state == JobState::Queued && next->state == JobState::Starting ? 1 : 0);
        require(next->attempt == expected, "SimulatedTable: an attempt number does not grow by one at a start");
    }

    std::map<RowKey, RowChange> rows;
    std::multimap<RowVersion, RowKey> changes;
    RowVersion revision { 0 };
};

} // namespace dragonflytray
