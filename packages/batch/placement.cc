#include "batch/batch.h"

#include <algorithm>
#include <limits>

namespace dragonflytray {

namespace {

    constexpr double quotaTolerance = 1e-6; // cores

    // isAtLeast() says whether `need` is at least `other` in every dimension.
    bool isAtLeast(const Capacity& need, const Capacity& other)
    {
        return fits(other, need);
    }

} // namespace

double Batch::quotaOf(const TeamName& team) const
{
    const TeamDeclaration* declared = this->inForce.declaration ? this->inForce.declaration->findTeam(team) : nullptr;
    return declared && declared->maxProcessors > 0 ? declared->maxProcessors : std::numeric_limits<double>::infinity();
}

bool Batch::isWithinQuota(const Job& job) const
{
    auto used = this->teamProcessors.find(job.team);
    return (used == this->teamProcessors.end() ? 0 : used->second) + job.need.processors <= this->quotaOf(job.team) + quotaTolerance;
}

// Jobs within their team's quota are placed first, in queue order. Jobs over quota get the capacity that is left, but
// none is placed once any job of the pass has found no worker.
void Batch::placeQueuedJobs(Instant now, BatchEffects& effects)
{
    if (now < this->nextPlacement)
        return;
    if (this->isEvacuated())
        return this->moveQueuedJobs(now, effects);
    PlacementPass pass;
    this->placeWithinQuota(pass, now);
    for (JobEntry* entry : pass.overQuota) {
        if (pass.hasUnplacedJob || this->isPassLimitReached(pass))
            break;
        this->placeJob(*entry, pass, now);
    }
    if (pass.placed.empty())
        this->nextPlacement = now + this->options.placementBackoff;
    this->writeJobs(std::move(pass.placed), now, effects);
    this->writeJobs(std::move(pass.evicted), now, effects);
}

bool Batch::isPassLimitReached(const PlacementPass& pass) const
{
    return pass.placed.size() >= this->options.maxTransitionsPerTransaction || pass.searches >= this->options.maxSearchesPerPass || pass.examinedJobs > this->options.maxExaminedJobsPerPass;
}

void Batch::placeWithinQuota(PlacementPass& pass, Instant now)
{
    for (auto& [key, entry] : this->waitingJobs) {
        ++pass.examinedJobs;
        if (this->isPassLimitReached(pass))
            return;
        if (entry->isWriteInFlight || entry->job.isCancelRequested || now < entry->retryNotBefore)
            continue;
        if (this->isWithinQuota(entry->job))
            this->placeJob(*entry, pass, now);
        else
            pass.overQuota.push_back(entry);
    }
}

void Batch::placeJob(JobEntry& entry, PlacementPass& pass, Instant now)
{
    Job job = entry.job;
    job.need = this->expectedNeed(job);
    const bool isKnownUnplaceable = std::any_of(pass.unplaceableNeeds.begin(), pass.unplaceableNeeds.end(), [&](const Capacity& need) { return isAtLeast(job.need, need); });
    auto worker = isKnownUnplaceable ? std::nullopt : this->chooseWorker(job, now);
    pass.searches += isKnownUnplaceable ? 0 : 1;
    if (!worker || !this->capacityReservations.reserve(*worker, job.id, job.need)) {
        if (!isKnownUnplaceable)
            pass.unplaceableNeeds.push_back(job.need);
        pass.hasUnplacedJob = true;
        if (job.priority == Priority::Urgent)
            this->evictFor(entry, pass, now);
        return;
    }
    this->charge(entry, job.need.processors);
    job.state = JobState::Starting;
    ++job.attempt;
    job.worker = *worker;
    job.reason.clear();
    pass.placed.push_back(std::move(job));
}

std::optional<HostName> Batch::chooseWorker(const Job& job, Instant now) const
{
    const PlacementStrategy& strategy = placementStrategy(this->options.placementPolicy);
    const double tasks = static_cast<double>(std::max<std::size_t>(this->capacityReservations.size(), 1));
    std::optional<HostName> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [name, worker] : this->workers) {
        if (!this->isAcceptingTasks(worker, now))
            continue;
        const Capacity free = *this->capacityReservations.freeCapacity(name);
        if (!fits(job.need, free))
            continue;
        PlacementCandidate candidate { worker.host.capacity, free };
        if (auto rack = this->heldJobsInRack.find(worker.host.rack); rack != this->heldJobsInRack.end())
            candidate.rackShare = static_cast<double>(rack->second) / tasks;
        if (this->options.penalty)
            candidate.penalty = this->options.penalty->penalty(name, job.batchClass);
        double cost = strategy.cost(candidate, job.need);
        const bool hasFailedHere = std::find(job.failedOn.begin(), job.failedOn.end(), name) != job.failedOn.end();
        cost += hasFailedHere ? this->options.repeatedFailureCost : 0;
        if (cost < lowest) {
            lowest = cost;
            best = name;
        }
    }
    return best;
}

bool Batch::isAcceptingTasks(const Worker& worker, Instant now) const
{
    if (!worker.isListed || worker.host.state != HostState::Live || now < worker.quarantinedUntil)
        return false;
    // After a quarantine the worker gets one trial task at a time until one succeeds.
    return worker.consecutiveFailures < this->options.quarantineThreshold || this->capacityReservations.isIdle(worker.host.name);
}

// Evicts the cheapest task of lower priority whose capacity is enough. Waits while an earlier eviction for the same job
// is in progress, and evicts from a worker at most once per `evictionCooldown`.
void Batch::evictFor(JobEntry& entry, PlacementPass& pass, Instant now)
{
    if (auto victim = this->jobs.find(entry.victim); victim != this->jobs.end() && victim->second.job.state == JobState::Evicting)
        return;
    if (pass.evictionSearches++ >= this->options.maxEvictionSearchesPerPass)
        return;
    JobEntry* cheapest = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (auto& [name, worker] : this->workers) {
        if (!this->isAcceptingTasks(worker, now) || now < worker.nextEviction)
            continue;
        const Capacity free = *this->capacityReservations.freeCapacity(name);
        for (auto& [id, held] : worker.heldJobs) {
            const double cost = this->evictionCost(*held, now);
            const Capacity freeAfterEviction { free.processors + held->job.need.processors, free.memoryGigabytes + held->job.need.memoryGigabytes, free.accelerators + held->job.need.accelerators };
            if (cost < lowest && held->job.priority > entry.job.priority && fits(entry.job.need, freeAfterEviction)) {
                lowest = cost;
                cheapest = held;
            }
        }
    }
    if (!cheapest)
        return;
    entry.victim = cheapest->job.id;
    this->workers.at(cheapest->heldOn).nextEviction = now + this->options.evictionCooldown;
    Job job = cheapest->job;
    job.state = JobState::Evicting;
    job.reason = "makes room for urgent work";
    pass.evicted.push_back(std::move(job));
}

double Batch::evictionCost(const JobEntry& held, Instant now) const
{
    const bool isEvictable = held.job.state == JobState::Running && !held.isWriteInFlight && !held.unrecordedEnd && !held.job.isCancelRequested;
    if (!isEvictable)
        return std::numeric_limits<double>::infinity();
    const double priorityWeight = held.job.priority == Priority::Low ? 1 : 2;
    return priorityWeight * (1 + toSeconds(now - held.lastCheckpointAt));
}

// Raises the need of a first attempt by the largest usage measured for its class, unless no worker could hold it then.
Capacity Batch::expectedNeed(const Job& job) const
{
    auto ratio = this->usageRatios.find(job.batchClass);
    if (job.attempt > 0 || ratio == this->usageRatios.end())
        return job.need;
    Capacity need { job.need.processors * ratio->second.processors, job.need.memoryGigabytes * ratio->second.memory, job.need.accelerators };
    return this->fitsAnyWorker(need) ? need : job.need;
}

bool Batch::fitsAnyWorker(const Capacity& need) const
{
    return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& entry) { return entry.second.isListed && fits(need, entry.second.host.capacity); });
}

} // namespace dragonflytray
