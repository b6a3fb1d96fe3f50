#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // acquisitionDelayOf() returns how long a host waits before it acquires a free lease. Larger hosts wait less, and a hash
    // of the name spreads hosts of equal size, so that they do not write at the same time.
    Duration acquisitionDelayOf(const Scheduler::Options& options)
    {
        constexpr std::size_t hashBuckets = 1000;
        const double nameFraction = static_cast<double>(std::hash<std::string>()(options.self.value()) % hashBuckets) / hashBuckets;
        const double sizeFraction = std::min(options.processorShare / options.fullSizeShare, 1.0);
        return std::chrono::duration_cast<Duration>(options.maxSizeDelay * (1 - sizeFraction) + options.maxNameDelay * nameFraction);
    }

} // namespace

const std::array<Scheduler::CommandHandler, schedulerCommandNames.size()> Scheduler::commandHandlers {
    &Scheduler::submitJob,
    &Scheduler::requestCancellation,
    &Scheduler::lookUpJob,
    &Scheduler::refuseQueueQuery,
    &Scheduler::storedRowsRead,
    &Scheduler::rowsWriteEnded,
    &Scheduler::jobRowsRead,
    &Scheduler::rostersRead,
    &Scheduler::workersListed,
    &Scheduler::pollEnded,
    &Scheduler::taskCallEnded,
    &Scheduler::agentContact,
    &Scheduler::configurationFollowed,
    &Scheduler::evacuationsFollowed,
    &Scheduler::storeContact,
    &Scheduler::beginHandover,
    &Scheduler::tick,
};

const std::array<Scheduler::QueryHandler, schedulerQueryNames.size()> Scheduler::queryHandlers {
    &Scheduler::queueView,
    &Scheduler::readinessView,
    &Scheduler::summaryView,
};

std::map<DataCentreName, CellName> cellsOf(const std::vector<DataCentrePlace>& places, LeadershipScope scope)
{
    using CellOf = CellName (*)(const DataCentrePlace&);
    static constexpr std::array<CellOf, leadershipScopeNames.size()> cellOfScope {
        [](const DataCentrePlace&) { return CellName("whole"); },
        [](const DataCentrePlace& place) { return CellName(place.region.value()); },
        [](const DataCentrePlace& place) { return CellName(place.name.value()); },
    };
    std::map<DataCentreName, CellName> cells;
    for (const DataCentrePlace& place : places)
        cells[place.name] = cellOfScope[indexOf(scope)](place);
    return cells;
}

Scheduler::Scheduler(Options options)
    : options(std::move(options))
    , clientRequests(this->options.clientRequests)
    , cancellationCheck(this->options.cancellationCheck)
    , admissionControl(this->options.admission)
    , unmatchedCancellations(this->options.unmatchedCancellations)
    , dispatcher(this->options.dispatcher, cellsOf(this->options.dataCentres, this->options.scope))
    , registration({ .self = this->options.self, .entry = this->options.ownEntry })
{
    const std::map<DataCentreName, CellName> cells = cellsOf(this->options.dataCentres, this->options.scope);
    if (const auto home = cells.find(this->options.home); home != cells.end())
        this->homeCell = home->second;
    const Duration acquisitionDelay = acquisitionDelayOf(this->options);
    for (const auto& [place, cell] : cells) {
        const Duration delay = acquisitionDelay + (cell == this->homeCell ? Duration(0) : this->options.remoteCellDelay);
        this->leaderships.try_emplace(cell, CellLeadership::Options { .self = this->options.self, .cell = cell, .lease = this->options.lease, .acquisitionDelay = delay, .storeOutageTimeout = this->options.dispatcher.formerLeaderTimeout });
    }
}

SchedulerEffects Scheduler::handle(const SchedulerCommand& command, Instant now)
{
    SchedulerEffects effects;
    CommandContext context { now, this->wallTime, this->nextWrite, effects, this->stageTimes };
    this->endExpiredLeaderships(context);
    for (const auto& [cell, leadership] : this->leaderships)
        this->dispatcher.leaseExtended(cell, leadership.leaseEndsAt());
    (this->*commandHandlers[command.index()])(command, context);
    for (const SchedulerEffect& effect : effects) {
        if (const auto* write = std::get_if<WriteStoredRows>(&effect))
            this->writesInFlight.emplace(write->write, now);
    }
    return effects;
}

SchedulerView Scheduler::ask(const SchedulerQuery& query, Instant now) const
{
    return (this->*queryHandlers[query.index()])(query, now);
}

bool Scheduler::isHandedOver() const
{
    return std::all_of(this->leaderships.begin(), this->leaderships.end(), [](const auto& entry) { return entry.second.isReleased(); });
}

void Scheduler::applyLeadershipChange(const CellName& cell, LeadershipChange change, CommandContext& context)
{
    const CellLeadership& leadership = this->leaderships.at(cell);
    if (change == LeadershipChange::Acquired) {
        context.add(LogDecision { DecisionEvent::LeadershipAcquired, cell.value(), {}, "lease-recorded", leadership.epoch(), 0 });
        this->dispatcher.cellAcquired({ cell, leadership.epoch(), leadership.acquiredAt(), leadership.row() }, context);
    } else if (change == LeadershipChange::Lost) {
        this->loseCell(cell, context);
    }
}

void Scheduler::loseCell(const CellName& cell, CommandContext& context)
{
    if (!this->dispatcher.leads(cell))
        return;
    context.add(LogDecision { DecisionEvent::LeadershipLost, cell.value(), {}, "epoch-passed", this->leaderships.at(cell).row().epoch, 0 });
    this->dispatcher.cellLost(cell);
    if (!this->dispatcher.leadsAny())
        context.add(FollowWorkers { false });
}

void Scheduler::endExpiredLeaderships(CommandContext& context)
{
    for (auto& [cell, leadership] : this->leaderships) {
        // A new leader that can renew its lease but does not receive the changes of the store gives the leadership up.
        const bool isBehindStore = this->dispatcher.isWaitingToLead(cell) && !leadership.holdsLease(context.now);
        if (this->dispatcher.leads(cell) && (isBehindStore || !leadership.isLeader(context.now))) {
            leadership.fence();
            this->loseCell(cell, context);
        }
    }
}

void Scheduler::maintainLeases(CommandContext& context)
{
    for (auto& [cell, leadership] : this->leaderships) {
        // Without answers of the store a host would not know the jobs of a cell that it acquires.
        const bool mayAcquire = leadership.epoch() != 0 || this->isStoreAnswering;
        const bool mayWrite = this->hasReadStore && mayAcquire && !this->dispatcher.isWaitingToLead(cell);
        if (!mayWrite)
            continue;
        leadership.beginObserving(context.now);
        if (this->dispatcher.isReportDue(cell, context.now))
            leadership.renewSoon();
        if (!leadership.isWriteDue(context.now))
            continue;
        context.add(leadership.nextWrite(this->nextWrite++, this->dispatcher.composeReport(cell, context.now, context.wallTime), context.now));
    }
}

void Scheduler::checkFencing(CommandContext& context)
{
    const auto epoch = this->dispatcher.fencedEpoch();
    if (!epoch)
        return;
    for (auto& [cell, leadership] : this->leaderships) {
        if (leadership.epoch() == *epoch)
            this->applyLeadershipChange(cell, leadership.fence(), context);
    }
}

double Scheduler::loadOf(const CellName& cell, const JobDefinition& job, Instant now) const
{
    constexpr double unusablePenalty = 1e12; // larger than any load
    constexpr double remoteDataPenalty = 10; // seconds
    const CellLeadership& leadership = this->leaderships.at(cell);
    const CellLease& lease = leadership.row();
    const bool isLed = now < leadership.changedAt() + 2 * this->options.lease || this->dispatcher.leads(cell);
    double load = this->jobCache.outstandingWork(cell) / std::max<double>(static_cast<double>(lease.capacityMillicores), 1);
    if (!isLed || lease.capacityMillicores == 0)
        load += unusablePenalty;
    for (const StepDefinition& step : job.steps) {
        const auto hasLabel = [&](const std::string& label) { return label.empty() || std::find(lease.labels.begin(), lease.labels.end(), label) != lease.labels.end(); };
        load += hasLabel(step.requiredLabel) ? 0 : unusablePenalty;
        load += hasLabel(step.nearLabel) ? 0 : remoteDataPenalty;
    }
    return load + (cell == this->homeCell ? 0 : this->options.remoteCellCost);
}

CellName Scheduler::chooseCell(const JobDefinition& job, Instant now) const
{
    CellName best = this->homeCell;
    if (this->leaderships.size() == 1)
        return best;
    double bestLoad = this->loadOf(best, job, now);
    for (const auto& [cell, leadership] : this->leaderships) {
        const double load = this->loadOf(cell, job, now);
        if (load >= bestLoad)
            continue;
        best = cell;
        bestLoad = load;
    }
    return best;
}

} // namespace dragonflytray
