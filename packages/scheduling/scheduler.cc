#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // startSpread() is a host's place among those of its data centre, between 0 and 1. Larger hosts come first.
    double startSpread(const Scheduler::Options& options)
    {
        constexpr double hashBuckets = 1000;
        const double place = static_cast<double>(std::hash<std::string>()(options.self.value()) % static_cast<std::size_t>(hashBuckets)) / hashBuckets;
        return (place + 1 - std::min(options.processorShare, 1.0)) / 2;
    }

} // namespace

const std::array<Scheduler::Handler, schedulerCommandNames.size()> Scheduler::handlers {
    &Scheduler::submitJob,
    &Scheduler::requestCancellation,
    &Scheduler::lookUpJob,
    &Scheduler::storedRowsRead,
    &Scheduler::rowsWriteEnded,
    &Scheduler::jobRowsRead,
    &Scheduler::workersListed,
    &Scheduler::holdEnded,
    &Scheduler::taskCallEnded,
    &Scheduler::configurationFollowed,
    &Scheduler::storeContact,
    &Scheduler::beginHandover,
    &Scheduler::tick,
};

const std::array<Scheduler::Answerer, schedulerQueryNames.size()> Scheduler::answerers {
    &Scheduler::queueView,
    &Scheduler::readinessView,
    &Scheduler::summaryView,
};

Scheduler::Scheduler(Options options)
    : options(std::move(options))
    , desk(this->options.desk)
    , dispatcher(this->options.dispatcher)
{
    const auto spread = std::chrono::duration_cast<Duration>(this->options.takeSpread * startSpread(this->options));
    for (const CellPlace& cell : this->options.cells) {
        const Duration delay = spread + (cell.name == this->options.home ? Duration(0) : this->options.foreignDelay);
        this->leaderships.try_emplace(cell.name, CellLeadership::Options { .self = this->options.self, .cell = cell.name, .lease = this->options.lease, .takeDelay = delay, .storeGrace = this->options.dispatcher.formerGrace });
    }
}

SchedulerEffects Scheduler::handle(const SchedulerCommand& command, Instant now)
{
    SchedulerEffects effects;
    Turn turn { now, this->wallTime, this->nextWrite, effects };
    (this->*handlers[command.index()])(command, turn);
    return effects;
}

SchedulerView Scheduler::ask(const SchedulerQuery& query, Instant now) const
{
    return (this->*answerers[query.index()])(query, now);
}

bool Scheduler::isHandedOver() const
{
    return std::all_of(this->leaderships.begin(), this->leaderships.end(), [](const auto& entry) { return entry.second.isGivenUp(); });
}

void Scheduler::noteLeadership(const DataCentreName& cell, LeadershipChange change, const std::vector<TaskId>& unconfirmed, Turn& turn)
{
    const CellLeadership& leadership = this->leaderships.at(cell);
    if (change == LeadershipChange::Taken) {
        turn.add(LogDecision { DecisionEvent::LeadershipTaken, cell.value(), {}, "lease-recorded", leadership.epoch(), 0 });
        this->dispatcher.cellTaken({ cell, leadership.epoch(), leadership.takenAt(), unconfirmed }, this->book, turn);
    } else if (change == LeadershipChange::Lost) {
        this->loseCell(cell, turn);
    }
}

void Scheduler::loseCell(const DataCentreName& cell, Turn& turn)
{
    if (!this->dispatcher.leads(cell))
        return;
    turn.add(LogDecision { DecisionEvent::LeadershipLost, cell.value(), {}, "epoch-passed", this->leaderships.at(cell).row().epoch, 0 });
    this->dispatcher.cellLost(cell);
    if (!this->dispatcher.leadsAny())
        turn.add(FollowWorkers { false });
}

void Scheduler::keepLeases(Turn& turn)
{
    for (auto& [cell, leadership] : this->leaderships) {
        if (this->dispatcher.leads(cell) && !leadership.isLeader(turn.now)) {
            leadership.fence();
            this->loseCell(cell, turn);
        }
        if (this->hasFollowed) {
            const CellReport report { this->dispatcher.capacityOf(cell), this->dispatcher.labelsOf(cell), this->dispatcher.unconfirmedOf(cell) };
            if (auto write = leadership.nextWrite(this->nextWrite, report, turn.now)) {
                ++this->nextWrite;
                turn.add(std::move(*write));
            }
        }
    }
}

void Scheduler::checkFence(Turn& turn)
{
    const auto epoch = this->dispatcher.fencedAt();
    if (!epoch)
        return;
    for (auto& [cell, leadership] : this->leaderships) {
        if (leadership.epoch() == *epoch)
            this->noteLeadership(cell, leadership.fence(), {}, turn);
    }
}

double Scheduler::loadOf(const CellPlace& cell, const JobDefinition& job, Instant now) const
{
    constexpr double unusable = 1e12;
    constexpr double preferred = 10;
    const CellLeadership& leadership = this->leaderships.at(cell.name);
    const CellLease& lease = leadership.row();
    const bool isLed = now < leadership.seenAt() + 2 * this->options.lease || this->dispatcher.leads(cell.name);
    double load = this->book.outstandingWork(cell.name) / std::max<double>(static_cast<double>(lease.capacityMillicores), 1);
    if (!isLed || lease.capacityMillicores == 0)
        load += unusable;
    for (const StepDefinition& step : job.steps) {
        const auto carries = [&](const std::string& label) { return label.empty() || std::find(lease.labels.begin(), lease.labels.end(), label) != lease.labels.end(); };
        load += carries(step.requiredLabel) ? 0 : unusable;
        load += carries(step.nearLabel) ? 0 : preferred;
    }
    return load;
}

DataCentreName Scheduler::chooseCell(const JobDefinition& job, Instant now) const
{
    const CellPlace* best = nullptr;
    double bestLoad = 0;
    RegionName homeRegion;
    for (const CellPlace& cell : this->options.cells)
        homeRegion = cell.name == this->options.home ? cell.region : homeRegion;
    for (const CellPlace& cell : this->options.cells) {
        const double load = this->loadOf(cell, job, now) + (cell.region == homeRegion ? 0 : this->options.foreignCost);
        if (!best || load < bestLoad) {
            best = &cell;
            bestLoad = load;
        }
    }
    return best ? best->name : this->options.home;
}

} // namespace dragonflytray
