#include "scheduling/recorder.h"

namespace dragonflytray {

namespace {

    StoredRowKey progressKey(const JobId& job)
    {
        return { StoredRowKind::Progress, job.value() };
    }

} // namespace

Recorder::Recorder(Options options)
    : options(options)
{
}

void Recorder::add(const JobId& job, bool isFinal)
{
    Partition& partition = this->partitions[partitionOf(progressKey(job))];
    partition.dirty.insert(job);
    partition.isUrgent = partition.isUrgent || isFinal;
}

bool Recorder::isDue(const Partition& partition, Instant now) const
{
    if (partition.dirty.empty() || partition.write != 0 || now < partition.notBefore)
        return false;
    const Duration interval = partition.isUrgent ? this->options.finalCommitInterval : this->options.commitInterval;
    return now >= partition.lastWrite + interval;
}

std::vector<WriteStoredRows> Recorder::collect(const JobExecutions& jobExecutions, std::uint64_t& nextNumber, Instant now)
{
    std::vector<WriteStoredRows> writes;
    for (std::uint32_t number = 0; number < jobPartitions; ++number) {
        Partition& partition = this->partitions[number];
        if (!this->isDue(partition, now))
            continue;
        auto write = this->compose(number, jobExecutions, nextNumber);
        if (!write)
            continue;
        partition.write = nextNumber++;
        partition.lastWrite = now;
        partition.isUrgent = false;
        writes.push_back(std::move(*write));
    }
    return writes;
}

std::optional<WriteStoredRows> Recorder::compose(std::uint32_t number, const JobExecutions& jobExecutions, std::uint64_t write)
{
    Partition& partition = this->partitions[number];
    WriteStoredRows result { .write = write, .partition = number, .conditions = {}, .puts = {}, .removals = {} };
    Pending pending { number, {} };
    while (!partition.dirty.empty() && pending.jobs.size() < this->options.maxJobsPerWrite) {
        const JobId job = *partition.dirty.begin();
        partition.dirty.erase(partition.dirty.begin());
        const auto found = jobExecutions.find(job);
        if (found == jobExecutions.end() || !found->second->isDirty())
            continue;
        const JobExecution& execution = *found->second;
        result.conditions.push_back({ progressKey(job), execution.version() });
        result.puts.push_back({ progressKey(job), execution.progress() });
        pending.jobs.push_back({ job, execution.progress().epoch, execution.generation() });
    }
    if (result.puts.empty())
        return std::nullopt;
    this->inFlight.emplace(write, std::move(pending));
    return result;
}

Recorder::ForeignWrites Recorder::writeEnded(const RowsWriteEnded& end, JobExecutions& jobExecutions, Instant now)
{
    ForeignWrites foreign;
    const Pending pending = std::move(this->inFlight.extract(end.write).mapped());
    Partition& partition = this->partitions[pending.partition];
    partition.write = 0;
    const bool isCommitted = end.status == TransactionStatus::Committed;
    for (const StoredRowChange& conflict : end.conflicts)
        this->resolveConflict(conflict, jobExecutions, now, foreign);
    for (const PendingJob& written : pending.jobs) {
        const auto found = jobExecutions.find(written.job);
        if (found == jobExecutions.end())
            continue;
        JobExecution& execution = *found->second;
        // The next write of a later execution conflicts with the row of an earlier one, and the row is merged then.
        if (isCommitted && execution.progress().epoch == written.epoch)
            execution.markRecorded(written.generation, end.revision);
        if (execution.isDirty())
            this->add(written.job, isFinal(execution.progress().phase));
    }
    if (end.status == TransactionStatus::Unavailable || end.status == TransactionStatus::Ambiguous)
        partition.notBefore = now + this->options.retryDelay;
    return foreign;
}

void Recorder::resolveConflict(const StoredRowChange& conflict, JobExecutions& jobExecutions, Instant now, ForeignWrites& foreign)
{
    const auto found = jobExecutions.find(JobId(conflict.key.name));
    if (found == jobExecutions.end())
        return;
    JobExecution& execution = *found->second;
    const auto* progress = conflict.value ? std::get_if<JobProgress>(&*conflict.value) : nullptr;
    if (!progress)
        return execution.markRecorded(0, conflict.version);
    if (progress->epoch > execution.progress().epoch) {
        foreign.later.push_back(execution.definition().id);
    } else if (progress->epoch == execution.progress().epoch) {
        execution.markRecorded(progress->generation, conflict.version); // an earlier write has taken effect, but its answer was lost
    } else {
        execution.mergeProgress(*progress, conflict.version, now);
        foreign.earlier.push_back(execution.definition().id);
    }
}

std::size_t Recorder::unrecordedJobs() const
{
    std::size_t unrecorded = 0;
    for (const Partition& partition : this->partitions)
        unrecorded += partition.dirty.size();
    for (const auto& [write, pending] : this->inFlight)
        unrecorded += pending.jobs.size();
    return unrecorded;
}

} // namespace dragonflytray
