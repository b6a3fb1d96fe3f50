#include "scheduling/cancellation_check.h"

#include <algorithm>
#include <utility>

namespace dragonflytray {

namespace {

    StoredRowKey cancellationKey(const JobId& job)
    {
        return { StoredRowKind::Cancellation, job.value() };
    }

} // namespace

CancellationCheck::CancellationCheck(Options options)
    : options(options)
{
}

bool CancellationCheck::isDue(const JobCheck& job, Instant viewedAt, Instant now) const
{
    return now >= std::max(viewedAt, job.checkedAt) + this->options.maxAge && now >= job.sentAt + this->options.repeatInterval;
}

bool CancellationCheck::maySend(const Partition& partition, Instant now)
{
    return now >= partition.notBefore && (!partition.isFailing || partition.inFlight == 0);
}

std::vector<WriteStoredRows> CancellationCheck::collect(std::span<const JobId> jobs, Instant viewedAt, std::uint64_t& nextNumber, Instant now)
{
    this->nextCollection = now + this->options.interval;
    const std::map<JobId, JobCheck> before = std::exchange(this->jobChecks, {}); // also of jobs that no longer run
    std::array<std::vector<JobId>, jobPartitions> due;
    for (const JobId& job : jobs) {
        const auto found = before.find(job);
        const JobCheck& jobCheck = this->jobChecks[job] = found == before.end() ? JobCheck {} : found->second;
        if (this->isDue(jobCheck, viewedAt, now))
            due[partitionOf(cancellationKey(job))].push_back(job);
    }
    std::vector<WriteStoredRows> writes;
    for (std::uint32_t number = 0; number < jobPartitions; ++number) {
        for (std::span<const JobId> rest = due[number]; !rest.empty() && maySend(this->partitions[number], now);) {
            const std::span<const JobId> part = rest.first(std::min(rest.size(), this->options.maxJobsPerWrite));
            rest = rest.subspan(part.size());
            writes.push_back(this->compose(number, part, nextNumber++, now));
        }
    }
    return writes;
}

WriteStoredRows CancellationCheck::compose(std::uint32_t partition, std::span<const JobId> jobs, std::uint64_t number, Instant now)
{
    WriteStoredRows write { .write = number, .partition = partition, .conditions = {}, .puts = {}, .removals = {} };
    for (const JobId& job : jobs) {
        write.conditions.push_back({ cancellationKey(job), 0 });
        this->jobChecks[job].sentAt = now;
    }
    ++this->partitions[partition].inFlight;
    this->inFlight.emplace(number, Sent { partition, { jobs.begin(), jobs.end() }, now });
    return write;
}

CancellationCheckResult CancellationCheck::writeEnded(const RowsWriteEnded& end, Instant now)
{
    const Sent sent = std::move(this->inFlight.extract(end.write).mapped());
    Partition& partition = this->partitions[sent.partition];
    --partition.inFlight;
    CancellationCheckResult result { sent.jobs.size(), now - sent.sentAt, {} };
    if (end.status == TransactionStatus::Unavailable || end.status == TransactionStatus::Ambiguous) {
        if (sent.sentAt > partition.answeredAt) {
            partition.isFailing = true;
            partition.notBefore = now + this->options.retryDelay;
        }
        return result;
    }
    partition.isFailing = false;
    partition.answeredAt = std::max(partition.answeredAt, sent.sentAt);
    for (const JobId& job : sent.jobs) {
        if (const auto found = this->jobChecks.find(job); found != this->jobChecks.end())
            found->second.checkedAt = std::max(found->second.checkedAt, sent.sentAt);
    }
    for (const StoredRowChange& conflict : end.conflicts) {
        if (conflict.key.kind == StoredRowKind::Cancellation && conflict.value)
            result.cancellations.push_back(conflict);
    }
    return result;
}

} // namespace dragonflytray
