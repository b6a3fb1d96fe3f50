#include "scheduling/job_cache.h"

#include <cmath>

namespace dragonflytray {

namespace {

    // Work counted for a long-running task, as if it ran so long; about the horizon over which load is compared.
    constexpr Duration longRunningHorizon = std::chrono::seconds(30);

} // namespace

double workOf(const JobDefinition& job)
{
    double work = 0;
    for (const StepDefinition& step : job.steps) {
        const Duration time = step.isLongRunning ? longRunningHorizon : step.estimate;
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
    if (change.key.kind == StoredRowKind::CellLease)
        return nullptr;
    const JobId id(change.key.name);
    if (!change.value) {
        if (change.key.kind == StoredRowKind::Definition) {
            if (const JobRecord* record = this->find(id))
                this->addTally(*record, tallyOf(*record), -1);
            this->records.erase(id);
        }
        return nullptr;
    }
    JobRecord& record = this->records[id];
    const Tally before = tallyOf(record);
    this->applyValue(record, change);
    if (tallyOf(record) == before)
        return &record;
    this->addTally(record, before, -1);
    this->addTally(record, tallyOf(record), 1);
    return &record;
}

void JobCache::applyValue(JobRecord& record, const StoredRowChange& change)
{
    if (const auto* definition = std::get_if<JobDefinition>(&*change.value)) {
        if (!record.isDefined()) {
            record.definition = *definition;
            record.definitionVersion = change.version;
            record.work = workOf(record.definition);
        }
    } else if (const auto* progress = std::get_if<JobProgress>(&*change.value)) {
        if (change.version > record.progressVersion) {
            record.progress = *progress;
            record.progressVersion = change.version;
        }
    } else if (std::holds_alternative<CancellationRequest>(*change.value)) {
        record.cancellationVersion = change.version;
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

JobCache::Tally JobCache::tallyOf(const JobRecord& record)
{
    if (!record.isDefined() || isFinal(record.phase()))
        return {};
    return { .isPending = record.phase() == JobPhase::Queued, .work = record.work };
}

void JobCache::addTally(const JobRecord& record, const Tally& tally, double sign)
{
    if (tally.isPending)
        this->pending[{ record.definition.queue.host, record.definition.queue.pathPrefix }] += sign;
    if (tally.work != 0)
        this->outstanding[record.definition.cell] += sign * tally.work;
}

std::uint64_t JobCache::countPending(const std::string& host, const std::string& pathPrefix) const
{
    const auto found = this->pending.find({ host, pathPrefix });
    return found == this->pending.end() ? 0 : static_cast<std::uint64_t>(std::llround(found->second));
}

double JobCache::outstandingWork(const CellName& cell) const
{
    const auto found = this->outstanding.find(cell);
    return found == this->outstanding.end() ? 0 : found->second;
}

} // namespace dragonflytray
