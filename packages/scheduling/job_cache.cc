#include "scheduling/job_cache.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    // Run time assumed for a long-running task, which has no end of its own. It is about the period over which the load
    // of cells is compared.
    constexpr Duration longRunningEstimate = std::chrono::seconds(30);

} // namespace

double estimatedWorkOf(const JobDefinition& job)
{
    double work = 0;
    for (const StepDefinition& step : job.steps) {
        const Duration time = step.isLongRunning ? longRunningEstimate : step.estimate;
        work += static_cast<double>(step.count) * static_cast<double>(step.need.millicores) / 1000.0 * static_cast<double>(toMilliseconds(time));
    }
    return work * job.occurrences();
}

JobPhase JobRecord::phase() const
{
    if (isFinal(this->progress.phase))
        return this->progress.phase;
    return this->cancellationVersion > 0 ? JobPhase::Cancelled : this->progress.phase;
}

JobRecord* JobCache::apply(const StoredRowChange& change)
{
    if (change.key.kind == StoredRowKind::CellLease || change.key.kind == StoredRowKind::EntryHost)
        return nullptr;
    const JobId id(change.key.name);
    if (!change.value) {
        this->applyRemoval(change);
        return nullptr;
    }
    JobRecord& record = this->records[id];
    const Contribution before = contributionOf(record);
    this->applyValue(record, change);
    if (record.isUnmatchedCancellation())
        this->unmatched.insert(id);
    else
        this->unmatched.erase(id);
    if (contributionOf(record) == before)
        return &record;
    this->addContribution(record, before, -1);
    this->addContribution(record, contributionOf(record), 1);
    return &record;
}

void JobCache::applyRemoval(const StoredRowChange& change)
{
    const auto found = this->records.find(JobId(change.key.name));
    if (found == this->records.end())
        return;
    const JobRecord& record = found->second;
    const bool isRecordRemoved = change.key.kind == StoredRowKind::Definition || (change.key.kind == StoredRowKind::Cancellation && record.isUnmatchedCancellation());
    if (!isRecordRemoved)
        return;
    this->addContribution(record, contributionOf(record), -1);
    this->unmatched.erase(found->first);
    this->records.erase(found);
}

std::vector<JobId> JobCache::retainListed(const std::vector<StoredRowChange>& rows, RowVersion revision)
{
    std::set<StoredRowKey> listed;
    for (const StoredRowChange& row : rows) {
        if (row.value)
            listed.insert(row.key);
    }
    std::vector<StoredRowChange> removals;
    for (const auto& [id, record] : this->records) {
        const StoredRowKind kind = record.isDefined() ? StoredRowKind::Definition : StoredRowKind::Cancellation;
        const RowVersion version = record.isDefined() ? record.definitionVersion : record.cancellationVersion;
        const StoredRowKey key { kind, id.value() };
        if (version > 0 && version <= revision && !listed.contains(key))
            removals.push_back({ key, revision, std::nullopt });
    }
    std::vector<JobId> removed;
    for (const StoredRowChange& removal : removals) {
        this->applyRemoval(removal);
        removed.emplace_back(removal.key.name);
    }
    return removed;
}

void JobCache::applyValue(JobRecord& record, const StoredRowChange& change)
{
    if (const auto* definition = std::get_if<JobDefinition>(&*change.value)) {
        if (!record.isDefined()) {
            record.definition = *definition;
            record.definitionVersion = change.version;
            record.work = estimatedWorkOf(record.definition);
        }
    } else if (const auto* progress = std::get_if<JobProgress>(&*change.value)) {
        if (change.version > record.progressVersion) {
            record.progress = *progress;
            record.progressVersion = change.version;
        }
    } else if (std::holds_alternative<CancellationRequest>(*change.value)) {
        record.cancellationVersion = std::max(record.cancellationVersion, change.version);
    }
}

JobRecord* JobCache::find(const JobId& job)
{
    const auto found = this->records.find(job);
    return found == this->records.end() ? nullptr : &found->second;
}

const JobRecord* JobCache::find(const JobId& job) const
{
    const auto found = this->records.find(job);
    return found == this->records.end() ? nullptr : &found->second;
}

JobCache::Contribution JobCache::contributionOf(const JobRecord& record)
{
    if (!record.isDefined() || isFinal(record.phase()))
        return {};
    return { .isPending = record.phase() == JobPhase::Queued, .work = record.work };
}

void JobCache::addContribution(const JobRecord& record, const Contribution& contribution, double sign)
{
    if (contribution.isPending)
        this->pendingCounts[{ record.definition.queue.host, record.definition.queue.pathPrefix }] += sign;
    if (contribution.work != 0)
        this->outstandingWorkByCell[record.definition.cell] += sign * contribution.work;
}

std::uint64_t JobCache::countPending(const std::string& host, const std::string& pathPrefix) const
{
    const auto found = this->pendingCounts.find({ host, pathPrefix });
    return found == this->pendingCounts.end() ? 0 : static_cast<std::uint64_t>(std::llround(found->second));
}

double JobCache::outstandingWork(const CellName& cell) const
{
    const auto found = this->outstandingWorkByCell.find(cell);
    return found == this->outstandingWorkByCell.end() ? 0 : found->second;
}

} // namespace dragonflytray
