#include "scheduling/crash_suspects.h"

#include <algorithm>
#include <iterator>

namespace dragonflytray {

namespace {

    bool belongsTo(const TaskId& suspect, const TaskId& task, const RunAllocation& allocation)
    {
        const bool isSameStep = task.job == suspect.job && task.occurrence == suspect.occurrence && task.step == suspect.step;
        return isSameStep && (allocation.isGang || task.index == suspect.index);
    }

    // isEndTimeKnown() says whether the connection to a worker that does not answer broke, as it does when its process ends.
    bool isEndTimeKnown(const FleetWorker& worker)
    {
        return worker.isSuspect && worker.contactLostAt != Instant();
    }

    // latestBeginOf() is the time by which a run had begun, if it has. A start whose call broke off may have been carried out.
    Instant latestBeginOf(const RunAllocation& allocation)
    {
        return allocation.firstConfirmedAt != Instant() ? allocation.firstConfirmedAt : allocation.sentAt;
    }

    bool hasUnsettledRunOf(const FleetWorker& worker, const TaskId& suspect)
    {
        return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
            return !entry.second.isSettled && belongsTo(suspect, entry.first.task, entry.second);
        });
    }

} // namespace

CrashSuspects::CrashSuspects(Options options)
    : options(options)
{
}

std::vector<TaskRunId> CrashSuspects::settle(FleetWorker& worker, Instant receivedAt) const
{
    std::vector<TaskRunId> settled;
    for (auto& [run, allocation] : worker.runs) {
        const bool isReported = allocation.lastReportNumber == worker.reportCount && allocation.firstConfirmedAt != Instant();
        if (allocation.isSettled || !isReported || receivedAt < allocation.firstConfirmedAt + this->options.crashWindow)
            continue;
        allocation.isSettled = true;
        settled.push_back(run);
    }
    return settled;
}

void CrashSuspects::isolate(const WorkerId& worker, const TaskId& suspect)
{
    std::erase_if(this->isolations, [&](const auto& entry) { return entry.second.suspect == suspect && entry.second.reservedUntil != Instant(); });
    this->isolations[worker] = { suspect, {} };
}

void CrashSuspects::reserve(const WorkerId& worker, const TaskId& suspect, Instant now)
{
    this->isolations[worker] = { suspect, now + this->options.reservationTimeout };
}

void CrashSuspects::keepLapsed(const FleetWorker& worker, Instant now)
{
    WorkerEnd end = this->endOf(worker, now, std::nullopt);
    if (!end.exposedRuns.empty())
        this->lapsed.push_back({ .end = std::move(end), .endpoint = worker.entry.endpoint, .since = now });
}

void CrashSuspects::inherit(const WorkerId& worker, const RosterEntry& entry, Instant now)
{
    if (!entry.exposedRuns.empty() && entry.startedAt != 0)
        this->lapsed.push_back({ .end = { .worker = worker, .noticedAt = now, .exposedRuns = entry.exposedRuns }, .endpoint = entry.endpoint, .startedAt = entry.startedAt, .since = now });
}

std::vector<CrashSuspects::LapsedRuns> CrashSuspects::takeLapsed(const FleetWorker& worker)
{
    const auto isOther = [&](const LapsedRuns& entry) { return entry.end.worker != worker.entry.id && entry.endpoint != worker.entry.endpoint; };
    const auto taken = std::stable_partition(this->lapsed.begin(), this->lapsed.end(), isOther);
    std::vector<LapsedRuns> result(std::make_move_iterator(taken), std::make_move_iterator(this->lapsed.end()));
    this->lapsed.erase(taken, this->lapsed.end());
    return result;
}

void CrashSuspects::clear()
{
    this->isolations.clear();
    this->lapsed.clear();
}

void CrashSuspects::releaseWorkers(Fleet& fleet, Instant now)
{
    std::erase_if(this->lapsed, [&](const LapsedRuns& entry) { return now >= entry.since + this->options.lapsedRunsTimeout; });
    std::erase_if(this->isolations, [&](const auto& entry) {
        const auto& [id, isolation] = entry;
        if (now < isolation.reservedUntil)
            return false;
        const FleetWorker* worker = fleet.find(id);
        return !worker || !hasUnsettledRunOf(*worker, isolation.suspect);
    });
}

bool CrashSuspects::admits(const FleetWorker& worker, const Candidate& candidate) const
{
    const auto isolation = this->isolations.find(worker.entry.id);
    const bool isForOther = isolation != this->isolations.end() && isolation->second.suspect != candidate.suspect;
    if (isForOther || !candidate.isSuspect)
        return !isForOther;
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        return entry.second.isSettled || belongsTo(candidate.suspect, entry.first.task, entry.second);
    });
}

bool CrashSuspects::hasReservation(const TaskId& suspect) const
{
    return std::any_of(this->isolations.begin(), this->isolations.end(), [&](const auto& entry) {
        return entry.second.suspect == suspect && entry.second.reservedUntil != Instant();
    });
}

bool CrashSuspects::mayReserve(std::size_t workers) const
{
    const auto reserved = std::count_if(this->isolations.begin(), this->isolations.end(), [](const auto& entry) { return entry.second.reservedUntil != Instant(); });
    return reserved == 0 || static_cast<double>(reserved + 1) <= this->options.maxReservedShare * static_cast<double>(workers);
}

const CrashSuspects::LapsedRuns* CrashSuspects::inheritedFrom(const WorkerId& worker) const
{
    const auto found = std::find_if(this->lapsed.begin(), this->lapsed.end(), [&](const LapsedRuns& entry) { return entry.end.worker == worker && entry.startedAt != 0; });
    return found == this->lapsed.end() ? nullptr : &*found;
}

bool CrashSuspects::isExposed(const FleetWorker& worker, const RunAllocation& allocation) const
{
    if (allocation.isSettled)
        return false;
    if (!isEndTimeKnown(worker))
        return allocation.firstConfirmedAt != Instant();
    return allocation.sentAt <= worker.contactLostAt && worker.contactLostAt < latestBeginOf(allocation) + this->options.crashWindow;
}

std::vector<TaskRunId> CrashSuspects::exposedRunsOn(const FleetWorker& worker) const
{
    std::vector<TaskRunId> runs;
    for (const auto& [run, allocation] : worker.runs) {
        if (this->isExposed(worker, allocation))
            runs.push_back(run);
    }
    return runs;
}

bool CrashSuspects::isAtOnceAfterStart(const FleetWorker& worker, const RunAllocation& allocation) const
{
    return isEndTimeKnown(worker) && worker.contactLostAt < latestBeginOf(allocation) + this->options.proofWindow;
}

WorkerEnd CrashSuspects::endOf(const FleetWorker& worker, Instant now, std::optional<Instant> successorBegan) const
{
    const bool isTimeKnown = isEndTimeKnown(worker);
    WorkerEnd end { .worker = worker.entry.id };
    end.earliest = isTimeKnown ? worker.contactLostAt : worker.lastAnswer;
    end.latest = isTimeKnown ? worker.contactLostAt : successorBegan.value_or(now);
    end.noticedAt = worker.isSuspect ? worker.silentSince : now;
    end.exposedRuns = this->exposedRunsOn(worker);
    if (successorBegan)
        std::erase_if(end.exposedRuns, [&](const TaskRunId& run) { return worker.runs.at(run).sentAt >= *successorBegan; });
    const auto isAtOnce = [&](const TaskRunId& run) { return this->isAtOnceAfterStart(worker, worker.runs.at(run)); };
    const auto isOfFirst = [&](const TaskRunId& run) { return belongsTo(end.exposedRuns.front().task, run.task, worker.runs.at(run)); };
    end.isAtOnceAfterStart = std::any_of(end.exposedRuns.begin(), end.exposedRuns.end(), isAtOnce);
    end.isAlone = end.isAtOnceAfterStart && std::all_of(end.exposedRuns.begin(), end.exposedRuns.end(), isOfFirst);
    return end;
}

} // namespace dragonflytray
