#include "batch/batch.h"

namespace dragonflytray {

void Batch::rowsRead(const BatchCommand& command, Instant now, BatchEffects&)
{
    const auto& read = std::get<RowsRead>(command);
    this->isTableReadInFlight = false;
    this->recordStoreResponse(read.isRead, now);
    if (!read.isRead)
        return;
    if (!this->hasReadTable)
        this->renewalSeenAt = now;
    this->hasReadTable = true;
    this->revision = std::max(this->revision, read.revision);
    for (const RowChange& row : read.rows)
        this->applyRow(row, now);
}

void Batch::applyRow(const RowChange& row, Instant now)
{
    if (!row.value)
        return;
    if (const auto* job = std::get_if<Job>(&*row.value))
        return this->applyJobRow(*job, row.version, now);
    if (row.key.name != this->options.dataCentre.value())
        return;
    if (const auto* leader = std::get_if<LeaderRow>(&*row.value))
        this->leaderRowChanged(*leader, row.version);
    if (std::holds_alternative<LeaderBeatRow>(*row.value) && row.version > this->renewalVersion) {
        this->renewalVersion = row.version;
        this->renewalSeenAt = now;
    }
}

} // namespace dragonflytray
