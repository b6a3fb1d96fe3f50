// Commands that bring answers of the store.

#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

void Scheduler::storedRowsRead(const SchedulerCommand& command, Turn& turn)
{
    const auto& read = std::get<StoredRowsRead>(command);
    this->lastStoreAnswer = turn.now;
    if (!this->hasFollowed)
        this->dispatcher.storeRegained(turn.now);
    this->hasFollowed = true;
    for (const StoredRowChange& change : read.rows)
        this->followRow(change, turn);
    this->followed = std::max(this->followed, read.revision);
    this->dispatcher.storeFollowed(this->followed, this->book, turn);
    this->keepLeases(turn);
    this->dispatcher.tick(turn);
}

void Scheduler::followRow(const StoredRowChange& change, Turn& turn)
{
    if (change.key.kind == StoredRowKind::CellLease)
        return this->observeLease(change, turn);
    if (const JobRecord* record = this->book.apply(change)) {
        if (record->isDefined())
            this->dispatcher.jobChanged(*record, turn);
    } else if (change.key.kind == StoredRowKind::Definition) {
        this->dispatcher.jobRemoved(JobId(change.key.name));
    }
}

void Scheduler::observeLease(const StoredRowChange& change, Turn& turn)
{
    const auto* row = change.value ? std::get_if<CellLease>(&*change.value) : nullptr;
    const auto found = this->leaderships.find(CellName(change.key.name));
    if (row && found != this->leaderships.end())
        this->noteLeadership(found->first, found->second.observe(*row, change.version, turn.now), {}, turn);
}

void Scheduler::rowsWriteEnded(const SchedulerCommand& command, Turn& turn)
{
    const auto& end = std::get<RowsWriteEnded>(command);
    if (this->desk.owns(end.write)) {
        // Calls are answered from it at once. It is acted on when the feed brings it, behind any newer lease.
        if (const auto change = this->desk.writeEnded(end, turn))
            this->book.apply(*change);
    } else if (this->dispatcher.owns(end.write)) {
        for (const CellName& cell : this->dispatcher.writeEnded(end, turn))
            this->noteLeadership(cell, this->leaderships.at(cell).fence(), {}, turn);
    } else {
        for (auto& [cell, leadership] : this->leaderships) {
            if (!leadership.owns(end.write))
                continue;
            const std::vector<TaskId> unconfirmed = leadership.row().unconfirmed;
            const LeadershipChange change = leadership.writeEnded(end, turn.now);
            this->noteLeadership(cell, change, unconfirmed, turn);
            if (change == LeadershipChange::None && end.status == TransactionStatus::Committed)
                this->dispatcher.renewalRecorded(cell, end.revision);
        }
    }
    this->dispatcher.tick(turn);
}

void Scheduler::jobRowsRead(const SchedulerCommand& command, Turn& turn)
{
    const auto& read = std::get<JobRowsRead>(command);
    for (const StoredRowChange& change : read.rows)
        this->book.apply(change);
    this->desk.rowsRead(read, this->book, turn);
}

void Scheduler::storeRegained(Turn& turn)
{
    this->dispatcher.storeRegained(turn.now);
    for (auto& [cell, leadership] : this->leaderships)
        leadership.storeRegained(turn.now);
}

void Scheduler::storeContact(const SchedulerCommand& command, Turn& turn)
{
    const bool isAnswering = std::get<StoreContact>(command).isAnswering;
    if (isAnswering)
        this->lastStoreAnswer = turn.now;
    if (isAnswering == this->isStoreAnswering)
        return;
    this->isStoreAnswering = isAnswering;
    this->desk.setStoreAnswering(isAnswering);
    if (isAnswering)
        this->storeRegained(turn);
    turn.add(LogDecision { isAnswering ? DecisionEvent::StoreRegained : DecisionEvent::StoreLost, "store", {}, {}, this->followed, toMilliseconds(turn.now - this->lastStoreAnswer) });
}

} // namespace dragonflytray
