#include "batch/batch.h"

namespace dragonflytray {

void Batch::rowsRead(const BatchCommand& command, Instant now, BatchEffects&)
{
    const auto& read = std::get<RowsRead>(command);
    this->isScanning = false;
    this->noteStore(read.isRead, now);
    if (!read.isRead)
        return;
    if (!this->hasScanned)
        this->beatSeen = now;
    this->hasScanned = true;
    this->revision = std::max(this->revision, read.revision);
    for (const RowChange& row : read.rows)
        this->applyRow(row, now);
}

void Batch::applyRow(const RowChange& row, Instant now)
{
    if (!row.value)
        return;
    if (const auto* job = std::get_if<Job>(&*row.value))
        return this->storeJob(*job, row.version, now);
    if (row.key.name != this->options.dataCentre.value())
        return;
    if (const auto* leader = std::get_if<LeaderRow>(&*row.value))
        this->leaderRowChanged(*leader, row.version);
    if (std::holds_alternative<LeaderBeatRow>(*row.value) && row.version > this->beatVersion) {
        this->beatVersion = row.version;
        this->beatSeen = now;
    }
}

} // namespace dragonflytray
