#include "scheduling/unmatched_cancellations.h"

#include <array>
#include <utility>

namespace dragonflytray {

UnmatchedCancellations::UnmatchedCancellations(Options options)
    : options(options)
{
}

void UnmatchedCancellations::observe(const JobCache& jobCache, Instant now)
{
    const std::map<JobId, KnownRow> before = std::exchange(this->rows, {});
    for (const JobId& job : jobCache.unmatchedCancellations()) {
        const RowVersion version = jobCache.find(job)->cancellationVersion;
        const auto known = before.find(job);
        const bool isKnown = known != before.end() && known->second.version == version;
        this->rows.emplace(job, isKnown ? known->second : KnownRow { version, now });
    }
}

std::vector<WriteStoredRows> UnmatchedCancellations::removalsDue(std::uint64_t& nextNumber, Instant now) const
{
    std::vector<WriteStoredRows> writes;
    std::array<std::optional<std::size_t>, jobPartitions> lastWrites; // index of the last one of each partition
    for (const auto& [job, row] : this->rows) {
        if (now < row.seenAt + this->options.retention)
            continue;
        const StoredRowKey definition { StoredRowKind::Definition, job.value() };
        const StoredRowKey cancellation { StoredRowKind::Cancellation, job.value() };
        const std::uint32_t partition = partitionOf(cancellation);
        std::optional<std::size_t>& last = lastWrites[partition];
        if (!last || writes[*last].removals.size() >= this->options.maxRowsPerWrite) {
            last = writes.size();
            writes.push_back({ .write = nextNumber++, .partition = partition, .conditions = {}, .puts = {}, .removals = {} });
        }
        WriteStoredRows& write = writes[*last];
        write.conditions.push_back({ definition, 0 });
        write.conditions.push_back({ cancellation, row.version });
        write.removals.push_back(cancellation);
    }
    return writes;
}

} // namespace dragonflytray
