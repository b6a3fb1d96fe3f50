#include "scheduling/fleet.h"

#include <algorithm>
#include <set>

namespace dragonflytray {

TaskResources FleetWorker::availableResources() const
{
    TaskResources room = this->entry.capacity;
    room -= this->used;
    return room;
}

bool FleetWorker::isRestartListed() const
{
    const bool isOtherIncarnation = this->answeredStartedAt != 0 && this->entry.startedAt != 0 && this->entry.startedAt != this->answeredStartedAt;
    return isOtherIncarnation && this->listedAt > this->answeredPollSentAt;
}

bool FleetWorker::mayGetTasks(Instant now, Duration timeout) const
{
    const bool isSilent = !this->isFenced || (this->isSuspect && now >= this->lastAnswer + timeout);
    return this->mayHaveUnknownRuns || (this->isListed && !this->entry.isDraining && !isSilent);
}

bool FleetWorker::isClockReset(std::int64_t reading, Instant time, Duration margin, double maxDrift) const
{
    if (!this->clock)
        return false;
    const auto elapsed = std::chrono::duration_cast<Duration>((time - this->clockReadAt) * (1 - maxDrift));
    return reading < *this->clock + std::max<std::int64_t>(toMilliseconds(elapsed - margin), 0);
}

bool FleetWorker::isForgettable(Instant now) const
{
    return !this->isListed && this->runs.empty() && now >= (this->isFenced ? this->leaseEnd : this->formerLeaseEnd);
}

bool FleetWorker::acceptsTasks(Instant now) const
{
    return this->isListed && this->isFenced && this->enrolment == Enrolment::Stored && !this->isSuspect && !this->entry.isDraining && !this->isEvacuated && this->clock && now >= this->cooldownUntil && now < this->acceptsUntil && !this->isRestartListed();
}

bool FleetWorker::hasFillRoom(bool isProbe) const
{
    const double share = isProbe ? this->fillShare : std::min(this->fillShare, this->healthShare);
    const auto inUse = static_cast<double>(this->used.millicores + this->bestEffortMillicores);
    return share >= 1 || inUse < share * static_cast<double>(this->entry.capacity.millicores);
}

std::optional<std::int64_t> FleetWorker::deadlineAt(Instant now, Duration lease) const
{
    if (!this->clock)
        return std::nullopt;
    return *this->clock + toMilliseconds(now - this->clockReadAt) + toMilliseconds(lease);
}

Fleet::Fleet(Options options, std::map<DataCentreName, CellName> cellOf)
    : options(options)
    , cellOf(std::move(cellOf))
{
}

void Fleet::unlist(FleetWorker& worker, Instant now)
{
    if (worker.isListed)
        worker.unlistedSince = now;
    worker.isListed = false;
}

void Fleet::updateList(const WorkersListed& change, Instant now)
{
    this->isRegroupDue = true;
    std::set<WorkerId> listed;
    for (const ListedWorker& entry : change.changed) {
        const auto cell = this->cellOf.find(entry.dataCentre);
        if (cell == this->cellOf.end())
            continue; // an entry of another writer; it says nothing about the worker
        FleetWorker& worker = this->findOrAdd(entry.id);
        if (worker.entry.endpoint != entry.endpoint)
            worker.enrolment = Enrolment::None; // a successor would not find it by the stored roster
        const bool wasSeenBefore = worker.isListed && !change.isWhole;
        if (!entry.isDraining)
            worker.drainingSince = {};
        else if (worker.drainingSince == Instant())
            worker.drainingSince = wasSeenBefore ? now : Instant::min(); // it may leave at any moment
        worker.entry = entry;
        worker.isListed = true;
        worker.listedAt = now;
        worker.coldUntil = entry.coldTime > Duration(0) ? now + entry.coldTime : Instant();
        worker.cell = cell->second;
        listed.insert(entry.id);
    }
    for (const WorkerId& id : change.removed) {
        if (FleetWorker* worker = this->find(id))
            unlist(*worker, now);
    }
    if (!change.isWhole)
        return;
    for (auto& [id, worker] : this->workers) {
        if (!listed.contains(id))
            unlist(worker, now);
    }
}

FleetWorker& Fleet::addInherited(const CellName& cell, const WorkerId& id, const RosterEntry& entry, Instant formerLeaseEnd)
{
    FleetWorker& worker = this->findOrAdd(id);
    if (!worker.isListed) {
        worker.entry.id = id;
        worker.entry.endpoint = entry.endpoint;
        worker.entry.capacity = entry.capacity;
    }
    worker.cell = cell;
    worker.isInherited = true;
    worker.formerLeaseEnd = formerLeaseEnd;
    this->isRegroupDue = true;
    return worker;
}

FleetWorker& Fleet::findOrAdd(const WorkerId& worker)
{
    const auto [found, isNew] = this->workers.try_emplace(worker);
    if (isNew)
        found->second.restarts = this->restarts;
    return found->second;
}

FleetWorker* Fleet::find(const WorkerId& worker)
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() ? nullptr : &found->second;
}

void Fleet::beginEpoch(const CellName& cell, Instant now)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.cell != cell)
            continue;
        FleetWorker reset;
        reset.entry = worker.entry;
        reset.cell = worker.cell;
        reset.isListed = worker.isListed;
        reset.listedAt = worker.listedAt;
        reset.unlistedSince = worker.unlistedSince;
        reset.drainingSince = worker.drainingSince;
        reset.coldUntil = worker.coldUntil;
        reset.isPollInFlight = worker.isPollInFlight;
        reset.polledEndpoint = worker.polledEndpoint;
        reset.nextPollAt = now;
        reset.restarts = this->restarts;
        worker = std::move(reset);
    }
}

void Fleet::allocate(FleetWorker& worker, const TaskRunId& run, RunAllocation allocation)
{
    if (!worker.runs.emplace(run, allocation).second)
        return;
    worker.used += allocation.need;
    worker.bestEffortMillicores += allocation.bestEffortMillicores;
    worker.servingRuns += allocation.isServing ? 1 : 0;
    worker.servingMillicores += allocation.isServing ? allocation.need.millicores : 0;
}

void Fleet::release(FleetWorker& worker, const TaskRunId& run)
{
    const auto found = worker.runs.find(run);
    if (found == worker.runs.end())
        return;
    worker.used -= found->second.need;
    worker.bestEffortMillicores -= found->second.bestEffortMillicores;
    worker.servingRuns -= found->second.isServing ? 1 : 0;
    worker.servingMillicores -= found->second.isServing ? found->second.need.millicores : 0;
    worker.runs.erase(found);
}

Instant Fleet::latestLeaseEnd(Instant now, Duration lease) const
{
    const auto longest = std::chrono::duration_cast<Duration>(lease * (1 + 2 * this->options.maxClockDrift));
    return now + longest + this->options.clockMargin;
}

Duration Fleet::remainingLease(const FleetWorker& worker, Instant now)
{
    Instant end = worker.isFenced ? worker.leaseEnd : worker.formerLeaseEnd;
    for (const auto& [run, allocation] : worker.runs)
        end = std::max(end, worker.leaseEndOf(allocation));
    const Duration remaining = end - now;
    return std::max<Duration>(std::chrono::ceil<std::chrono::milliseconds>(remaining), Duration(0));
}

void Fleet::beginIncarnation(FleetWorker& worker, Instant now)
{
    worker.restarts = ++this->restarts;
    worker.otherClockLeaseEnd = Instant::max();
    worker.acceptsUntil = {};
    worker.acceptsUntilAfterPoll = {};
    worker.leaseEnd = std::max(worker.leaseEnd, this->latestLeaseEnd(now, this->options.maxLease));
}

void Fleet::incarnationFenced(FleetWorker& worker, Instant now)
{
    worker.otherClockLeaseEnd = this->latestLeaseEnd(now, this->options.maxLease);
    worker.leaseEnd = std::max(worker.leaseEnd, worker.otherClockLeaseEnd);
}

void Fleet::firstAnswered(FleetWorker& worker, Instant now)
{
    const Instant end = this->latestLeaseEnd(now, this->options.maxLease);
    worker.leaseEndBeforePoll = std::max(worker.leaseEndBeforePoll, end);
    worker.leaseEnd = std::max(worker.leaseEnd, end);
}

Duration Fleet::timeUntilStarts(const FleetWorker& worker, Instant now, Duration granted) const
{
    if (worker.hasCallsOfFormerIncarnation())
        return Duration(0);
    return std::max<Duration>(std::chrono::ceil<std::chrono::milliseconds>(worker.otherClockLeaseEnd - this->latestLeaseEnd(now, granted)), Duration(0));
}

void Fleet::recordLease(FleetWorker& worker, Instant now)
{
    worker.leaseEndBeforePoll = std::max(worker.leaseEndBeforePoll, this->latestLeaseEnd(now, this->options.lease));
    worker.leaseEnd = std::max(worker.leaseEnd, worker.leaseEndBeforePoll);
}

void Fleet::recordStart(FleetWorker& worker, Instant now, Instant expiresAt)
{
    this->recordLease(worker, now);
    worker.unknownIncarnationLeaseEnd = std::max(worker.unknownIncarnationLeaseEnd, this->latestLeaseEnd(expiresAt, this->options.maxLease));
}

void Fleet::recordPollLease(FleetWorker& worker, Instant now, Duration granted)
{
    worker.leaseEndBeforePoll = worker.leaseEnd;
    worker.leaseEnd = std::max(worker.leaseEnd, this->latestLeaseEnd(now, this->options.lease));
    worker.unknownIncarnationLeaseEnd = std::max(worker.unknownIncarnationLeaseEnd, this->latestLeaseEnd(now, this->options.maxLease));
    if (this->latestLeaseEnd(now, granted) >= worker.otherClockLeaseEnd)
        worker.acceptsUntilAfterPoll = now + std::chrono::duration_cast<Duration>(this->options.lease * this->options.maxUsedLease);
}

void Fleet::pollAnswered(FleetWorker& worker)
{
    worker.acceptsUntil = std::max(worker.acceptsUntil, worker.acceptsUntilAfterPoll);
}

void Fleet::remove(const WorkerId& worker)
{
    this->workers.erase(worker);
    ++this->restarts;
    this->isRegroupDue = true;
}

const std::vector<FleetWorker*>& Fleet::workersOf(const CellName& cell, const ServiceName& service)
{
    if (this->isRegroupDue)
        this->regroup();
    return this->groups[cell][service];
}

void Fleet::regroup()
{
    this->isRegroupDue = false;
    this->groups.clear();
    for (auto& [id, worker] : this->workers)
        this->groups[worker.cell][worker.entry.service].push_back(&worker);
}

} // namespace dragonflytray
