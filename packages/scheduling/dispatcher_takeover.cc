// The change of the leader of a cell: the reports and the roster that a leader stores for its successor, and the accounting for
// the runs of former leaders.

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

void Dispatcher::inheritWorkers(const CellAcquired& acquired, Cell& cell)
{
    const std::set<WorkerId> silent(acquired.former.silentWorkers.begin(), acquired.former.silentWorkers.end());
    CellRoster& roster = this->rosters.try_emplace(acquired.cell, acquired.cell).first->second;
    roster.beginReporting();
    const std::map<WorkerId, RosterEntry> workers = roster.workers();
    cell.isRosterComplete = acquired.former.isRosterComplete && workers.size() == acquired.former.rosterSize;
    const double clockRatio = (1 + this->options.fleet.maxClockDrift) / (1 - this->options.fleet.maxClockDrift); // between the host that measured a lease and this one
    for (const auto& [id, entry] : workers) {
        const Duration maxLease = entry.maxLease ? std::chrono::ceil<Duration>(*entry.maxLease * clockRatio) : Duration::max();
        const Instant leaseEnd = maxLease < cell.formerLeaseEnd - cell.leadingSince ? cell.leadingSince + maxLease : cell.formerLeaseEnd;
        FleetWorker& worker = this->fleet.addInherited(acquired.cell, id, entry, leaseEnd);
        worker.mayHaveUnknownRuns = !entry.possibleTasks && !silent.contains(id);
        const bool isFoundByRoster = worker.entry.endpoint == entry.endpoint;
        worker.enrolment = worker.mayHaveUnknownRuns && isFoundByRoster ? Enrolment::Stored : Enrolment::None;
        this->crashSuspects.inherit(id, entry, cell.leadingSince);
        cell.formerRuns.inherit(id, entry.possibleTasks.value_or(std::set<TaskId>()), leaseEnd);
    }
}

CellReport Dispatcher::composeReport(const CellName& name, Instant now, WallTime wallTime)
{
    const auto found = this->cells.find(name);
    if (found == this->cells.end())
        return {};
    Cell& cell = found->second;
    CellReport report { .number = ++this->lastReport, .capacityMillicores = this->capacityOf(name), .labels = this->labelsOf(name), .unconfirmed = {}, .isRosterComplete = cell.isRosterComplete || cell.isReconciled, .rosterPuts = {} };
    std::map<WorkerId, RosterEntry> enrolled;
    std::array<std::size_t, rosterParts> namedTasks {};
    std::array<std::size_t, rosterParts> exposedRuns {};
    for (auto& [id, worker] : this->fleet.all()) {
        if (worker.cell != name || (!worker.isFenced && !worker.isInherited))
            continue;
        RosterEntry entry { .endpoint = worker.entry.endpoint, .capacity = worker.entry.capacity };
        const bool isClosing = !worker.mayGetTasks(now, this->options.silenceReportTimeout) || this->hasLostContactAtOnceAfterStart(worker, now) || (this->isHandingOver && !worker.mayHaveUnknownRuns);
        std::set<TaskId> tasks = isClosing ? this->possibleTasksOn(cell, worker) : std::set<TaskId>();
        std::size_t& namedInPart = namedTasks[rosterPartOf(id)];
        const bool isClosed = isClosing && namedInPart + tasks.size() <= this->options.maxTasksPerRosterPart;
        this->boundLease(cell, worker, isClosed, report.number, now);
        if (isClosed) {
            worker.enrolment = Enrolment::None;
            worker.wasClosed = worker.wasClosed || worker.isFenced;
            if (tasks.empty())
                continue;
            namedInPart += tasks.size();
            entry.possibleTasks = std::move(tasks);
            entry.maxLease = worker.leaseReport == 0 ? worker.reportedLease : std::nullopt;
            this->nameExposedRuns(worker, exposedRuns[rosterPartOf(id)], entry);
        } else if (worker.enrolment == Enrolment::None) {
            worker.enrolment = Enrolment::Requested;
            worker.enrolmentReport = report.number;
        }
        enrolled.emplace(id, std::move(entry));
    }
    report.rosterSize = enrolled.size();
    if (this->options.publishesForecast)
        report.forecast = this->forecastOf(name, now, wallTime);
    const std::set<TaskId> unconfirmed = cell.formerRuns.tasksOn(WorkerId());
    report.unconfirmed.assign(unconfirmed.begin(), unconfirmed.end());
    report.rosterPuts = this->rosters.at(name).compose(report.number, enrolled);
    if (cell.areWorkersFenced && cell.reconciliationReport == 0)
        cell.reconciliationReport = report.number;
    cell.formerRuns.reportComposed(report.number);
    return report;
}

void Dispatcher::nameExposedRuns(const FleetWorker& worker, std::size_t& namedInPart, RosterEntry& entry) const
{
    if (worker.entry.isDraining)
        return; // it leaves as announced
    const CrashSuspects::LapsedRuns* inherited = this->crashSuspects.inheritedFrom(worker.entry.id);
    std::vector<TaskRunId> runs = inherited ? inherited->end.exposedRuns : this->crashSuspects.exposedRunsOn(worker);
    if (runs.empty() || namedInPart + runs.size() > this->options.maxExposedRunsPerRosterPart)
        return;
    namedInPart += runs.size();
    entry.startedAt = inherited ? inherited->startedAt : worker.answeredStartedAt;
    entry.exposedRuns = std::move(runs);
}

void Dispatcher::boundLease(const Cell& cell, FleetWorker& worker, bool isClosed, std::uint64_t report, Instant now) const
{
    const Instant lastContact = worker.isFenced ? worker.lastAnswer : cell.leadingSince;
    const bool hasNoAnswer = !worker.isFenced || worker.isSuspect;
    const bool mayBeGone = this->isHandingOver ? hasNoAnswer || !worker.isListed || worker.entry.isDraining : hasNoAnswer && now >= lastContact + this->options.renewalTimeout;
    if (isClosed && mayBeGone) {
        if (!worker.reportedLease || this->isHandingOver || worker.leaseReport != 0)
            worker.reportedLease = Fleet::remainingLease(worker, now);
        worker.leaseReport = 0;
    } else if (worker.reportedLease && worker.leaseReport == 0) {
        worker.leaseReport = report;
    }
}

void Dispatcher::reportStored(const CellName& name, const StoredReport& report)
{
    const auto found = this->cells.find(name);
    if (found == this->cells.end())
        return;
    Cell& cell = found->second;
    this->rosters.at(name).reportStored(report.number, report.version);
    for (auto& [id, worker] : this->fleet.all()) {
        if (worker.cell == name && worker.enrolment == Enrolment::Requested && worker.enrolmentReport <= report.number)
            worker.enrolment = Enrolment::Stored;
        if (worker.cell == name && worker.leaseReport != 0 && worker.leaseReport <= report.number) {
            worker.reportedLease.reset();
            worker.leaseReport = 0;
        }
    }
    if (cell.reconciliationReport != 0 && report.number >= cell.reconciliationReport && cell.reconciliationVersion == 0)
        cell.reconciliationVersion = report.version;
    cell.formerRuns.reportStored(report.number, report.version);
    this->needsPass = true;
}

void Dispatcher::rostersRead(const RostersRead& read, const JobCache& jobCache, CommandContext& context)
{
    // What is known of an earlier term of this host must not stand in for a row that can't be read.
    for (const auto& [cell, acquired] : this->acquiredCells)
        this->rosters.erase(cell);
    for (const StoredRowChange& change : read.rows) {
        const auto part = parseRosterKey(change.key);
        const auto* row = change.value ? std::get_if<WorkerRoster>(&*change.value) : nullptr;
        if (part)
            this->rosters.try_emplace(part->cell, part->cell).first->second.apply(part->number, row ? *row : WorkerRoster {}, change.version);
    }
    this->rostersReadAt = std::max(this->rostersReadAt, read.revision);
    this->beginToLeadFollowed(jobCache, context);
}

bool Dispatcher::hasLostContactAtOnceAfterStart(const FleetWorker& worker, Instant now) const
{
    return worker.isSuspect && !worker.entry.isDraining && this->crashSuspects.endOf(worker, now, std::nullopt).isAtOnceAfterStart;
}

bool Dispatcher::isReportDue(const CellName& name, Instant now) const
{
    const auto cell = this->cells.find(name);
    if (cell == this->cells.end())
        return false;
    if (cell->second.areWorkersFenced && cell->second.reconciliationReport == 0)
        return true;
    return std::any_of(this->fleet.all().begin(), this->fleet.all().end(), [&](const auto& entry) {
        const FleetWorker& worker = entry.second;
        const bool isNew = worker.enrolment == Enrolment::None && !worker.wasClosed && worker.isListed;
        const bool isExposed = worker.enrolment != Enrolment::None && this->hasLostContactAtOnceAfterStart(worker, now);
        return worker.cell == name && worker.isFenced && (isNew || isExposed);
    });
}

std::int64_t Dispatcher::capacityOf(const CellName& name) const
{
    std::int64_t millicores = 0;
    for (const auto& [id, worker] : this->fleet.all()) {
        if (worker.cell == name && worker.isListed && !worker.isSuspect && !worker.entry.isDraining)
            millicores += worker.entry.capacity.millicores;
    }
    return millicores;
}

std::vector<std::string> Dispatcher::labelsOf(const CellName& name) const
{
    std::set<std::string> labels;
    for (const auto& [id, worker] : this->fleet.all()) {
        if (worker.cell == name && worker.isListed)
            labels.insert(worker.entry.labels.begin(), worker.entry.labels.end());
    }
    return { labels.begin(), labels.end() };
}

std::set<TaskId> Dispatcher::possibleTasksOn(const Cell& cell, const FleetWorker& worker) const
{
    std::set<TaskId> tasks = cell.formerRuns.tasksOn(worker.entry.id);
    for (const auto& [run, allocation] : worker.runs)
        tasks.insert(run.task);
    for (const UnacknowledgedEnd& end : worker.unacknowledgedEnds) {
        if (!this->isRecorded(end) && this->mayForbidNextRun(end))
            tasks.merge(this->tasksEndedBy(end));
    }
    return tasks;
}

bool Dispatcher::mayForbidNextRun(const UnacknowledgedEnd& end) const
{
    const auto job = this->jobExecutions.find(end.task.job);
    if (job == this->jobExecutions.end() || isFinal(job->second->progress().phase) || job->second->isDone(end.task))
        return true;
    return job->second->failures(end.task) > 0 && !job->second->definition().steps[end.task.step].isLongRunning;
}

std::set<TaskId> Dispatcher::tasksEndedBy(const UnacknowledgedEnd& end) const
{
    const auto job = this->jobExecutions.find(end.task.job);
    const StepDefinition* step = job == this->jobExecutions.end() ? nullptr : &job->second->definition().steps[end.task.step];
    if (!step || !step->isGang)
        return { end.task };
    std::set<TaskId> tasks;
    for (TaskId task { end.task.job, end.task.occurrence, end.task.step, 0 }; task.index < step->count; ++task.index)
        tasks.insert(task);
    return tasks;
}

void Dispatcher::reconcileCells(CommandContext& context)
{
    for (auto& [name, cell] : this->cells) {
        if (cell.isReconciled && cell.formerRuns.isEmpty())
            continue;
        // Without its lease this host may have a successor, which extends leases of workers that this host has not heard of.
        const bool haveLeasesExpired = context.now >= cell.formerLeaseEnd && context.now < cell.leaseEnd;
        if (!cell.areWorkersFenced && cell.isRosterComplete && !this->hasUnknownRuns(name))
            cell.areWorkersFenced = true;
        const bool isFollowed = cell.areWorkersFenced && cell.reconciliationVersion > 0 && this->followedVersion >= cell.reconciliationVersion;
        const bool isAnyExpired = context.now < cell.leaseEnd && cell.formerRuns.expire(context.now);
        const bool isAnyReleased = cell.formerRuns.release(this->followedVersion) || isAnyExpired;
        if (haveLeasesExpired || (isFollowed && !cell.isReconciled))
            this->reconcile(name, cell, haveLeasesExpired, context);
        else if (isAnyReleased && cell.isReconciled)
            this->accountForTasks(name, cell, context.now);
    }
}

bool Dispatcher::hasUnknownRuns(const CellName& name) const
{
    return std::any_of(this->fleet.all().begin(), this->fleet.all().end(), [&](const auto& entry) {
        return entry.second.cell == name && entry.second.mayHaveUnknownRuns;
    });
}

std::vector<DecisionInputValue> Dispatcher::takeoverInputs(const CellName& name, const Cell& cell) const
{
    std::int64_t listed = 0;
    std::int64_t fenced = 0;
    std::int64_t unlisted = 0;
    std::int64_t unknown = 0;
    for (const auto& [id, worker] : this->fleet.all()) {
        if (worker.cell != name)
            continue;
        listed += worker.isListed ? 1 : 0;
        unlisted += worker.isListed ? 0 : 1;
        fenced += worker.isFenced ? 1 : 0;
        unknown += worker.mayHaveUnknownRuns ? 1 : 0;
    }
    return { { DecisionInput::ListedWorkers, listed }, { DecisionInput::FencedWorkers, fenced }, { DecisionInput::UnlistedWorkers, unlisted }, { DecisionInput::UnconfirmedTasks, static_cast<std::int64_t>(cell.formerRuns.tasks().size()) }, { DecisionInput::UnknownWorkers, unknown } };
}

void Dispatcher::reconcile(const CellName& name, Cell& cell, bool haveLeasesExpired, CommandContext& context)
{
    LogDecision reconciled { DecisionEvent::CellReconciled, name.value(), {}, haveLeasesExpired ? "leases-expired" : "workers-fenced", cell.epoch, toMilliseconds(context.now - cell.leadingSince) };
    reconciled.inputs = this->takeoverInputs(name, cell);
    context.add(std::move(reconciled));
    cell.isReconciled = true;
    if (haveLeasesExpired) {
        cell.formerRuns.clear();
        for (auto& [id, worker] : this->fleet.all())
            worker.mayHaveUnknownRuns = worker.mayHaveUnknownRuns && worker.cell != name;
    }
    this->accountForTasks(name, cell, context.now);
}

void Dispatcher::accountForWorker(FleetWorker& worker)
{
    worker.mayHaveUnknownRuns = false;
    if (const auto cell = this->cells.find(worker.cell); cell != this->cells.end())
        cell->second.formerRuns.workerAccounted(worker.entry.id);
}

void Dispatcher::accountForTasks(const CellName& name, const Cell& cell, Instant now)
{
    for (auto& [id, job] : this->jobExecutions) {
        if (job->definition().cell == name)
            job->reconcile(cell.formerRuns.tasks(), now);
    }
    this->needsPass = true;
}

} // namespace dragonflytray
