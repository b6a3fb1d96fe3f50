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
    std::vector<TaskRunId> runs = this->suspectsOn(worker);
    if (!runs.empty())
        this->lapsed.push_back({ worker.entry.id, worker.entry.endpoint, std::move(runs), now });
}

std::vector<CrashSuspects::LapsedRuns> CrashSuspects::takeLapsed(const FleetWorker& worker)
{
    const auto isOther = [&](const LapsedRuns& entry) { return entry.worker != worker.entry.id && entry.endpoint != worker.entry.endpoint; };
    const auto taken = std::stable_partition(this->lapsed.begin(), this->lapsed.end(), isOther);
    std::vector<LapsedRuns> result(std::make_move_iterator(taken), std::make_move_iterator(this->lapsed.end()));
    this->lapsed.erase(taken, this->lapsed.end());
    return result;
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

std::vector<TaskRunId> CrashSuspects::suspectsOn(const FleetWorker& worker) const
{
    std::vector<TaskRunId> runs;
    for (const auto& [run, allocation] : worker.runs) {
        // The connection to a worker breaks when its process ends.
        const bool hasOutlivedWindow = worker.isSuspect && allocation.firstConfirmedAt != Instant() && worker.contactLostAt >= allocation.firstConfirmedAt + this->options.crashWindow;
        if (!allocation.isSettled && !hasOutlivedWindow)
            runs.push_back(run);
    }
    return runs;
}

} // namespace dragonflytray
