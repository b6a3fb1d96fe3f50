// Placement passes: when they take place, and in which order they try the waiting tasks.

#include "scheduling/placement_pass.h"

#include <algorithm>
#include <utility>

namespace dragonflytray {

UrgencyClass urgencyOf(const JobExecution& job, Instant now)
{
    if (job.definition().isLongRunning())
        return UrgencyClass::LongRunning;
    if (now <= job.objectiveDeadline)
        return UrgencyClass::OnTime;
    return now <= job.lateDeadline ? UrgencyClass::Late : UrgencyClass::Expired;
}

bool hasBestEffortStep(const JobExecution& job)
{
    const std::vector<StepDefinition>& steps = job.definition().steps;
    return std::any_of(steps.begin(), steps.end(), [](const StepDefinition& step) { return step.isBestEffort; });
}

namespace {

    // rankOf() is the place of a job in the order of placement; the least comes first. Late jobs come after all others,
    // whatever their priority; at one priority, long-running jobs come after the others.
    int rankOf(UrgencyClass urgency, int priority)
    {
        constexpr int lateRank = 1000;
        const int lateness = urgency == UrgencyClass::Late ? 1 : urgency == UrgencyClass::Expired ? 2
                                                                                                  : 0;
        return lateness * lateRank + 2 * priority + (urgency == UrgencyClass::LongRunning ? 1 : 0);
    }

    // leastRecentTry() returns when the step of the job that has not been tried for longest was tried; zero: never.
    Instant leastRecentTry(JobExecution& job)
    {
        Instant least = Instant::max();
        for (const auto& [number, stepExecution] : job.openSteps()) {
            if (stepExecution.waiting > 0)
                least = std::min(least, stepExecution.lastTriedAt);
        }
        return least;
    }

} // namespace

Dispatcher::PlacementOrder Dispatcher::placementOrder(CommandContext& context)
{
    const Instant now = context.now;
    std::vector<PlacementEntry> entries;
    std::vector<std::pair<Instant, JobExecution*>> overdue;
    for (auto& [id, job] : this->jobExecutions) {
        const auto cell = this->cells.find(job->definition().cell);
        if (job->waiting() == 0 || isFinal(job->progress().phase) || cell == this->cells.end())
            continue;
        // Among jobs of one rank, best-effort jobs that have waited too long take turns.
        const bool takesTurn = hasBestEffortStep(*job) && this->hasWaitedTooLong(*job, now);
        const Instant deadline = takesTurn ? job->idleSince() : job->objectiveDeadline;
        entries.push_back({ rankOf(urgencyOf(*job, now), this->queueRuleOf(*job).priority), deadline, job.get() });
        if (const auto since = this->overdueSince(*job, now))
            overdue.emplace_back(*since, job.get());
    }
    std::sort(entries.begin(), entries.end(), [](const PlacementEntry& a, const PlacementEntry& b) {
        return std::tie(a.rank, a.deadline) < std::tie(b.rank, b.deadline);
    });
    if (this->options.sharesCapacity)
        this->shareCapacity(entries, context);
    std::stable_sort(overdue.begin(), overdue.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    PlacementOrder order;
    order.jobs.reserve(entries.size());
    for (const PlacementEntry& entry : entries)
        order.jobs.push_back(entry.job);
    for (const auto& [since, job] : overdue)
        order.overdueJobs.push_back(job);
    return order;
}

Duration Dispatcher::passInterval() const
{
    const std::chrono::duration<double> affordable = this->lastPassCost / (this->options.maxPlacementShare * this->options.processorShare);
    const Duration wanted = this->needsPass ? this->options.minPassInterval : this->options.idlePassInterval;
    return std::max(wanted, std::chrono::duration_cast<Duration>(affordable));
}

bool Dispatcher::isOverdue(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const
{
    return step.isLongRunning && taskExecution.stage == TaskStage::Waiting && now >= taskExecution.absentSince + this->options.longRunningYieldTimeout;
}

std::optional<Instant> Dispatcher::overdueSince(JobExecution& job, Instant now) const
{
    std::optional<Instant> since;
    if (!job.definition().isLongRunning())
        return since;
    for (const auto& [number, stepExecution] : job.openSteps()) {
        const StepDefinition& step = job.definition().steps[stepExecution.step];
        if (stepExecution.waiting == 0)
            continue;
        for (const TaskExecution& taskExecution : stepExecution.tasks) {
            if (this->isOverdue(step, taskExecution, now))
                since = std::min(since.value_or(Instant::max()), taskExecution.absentSince);
        }
    }
    return since;
}

void Dispatcher::placeTasks(CommandContext& context)
{
    if (context.now < this->lastPass + this->passInterval())
        return;
    this->updatePause(context);
    if (this->areStartsPaused)
        return;
    this->applyEvacuations(context.now);
    this->applyHealth(context.now);
    this->needsPass = false;
    this->lastPass = context.now;
    this->crashSuspects.releaseWorkers(this->fleet, context.now);
    PlacementPass pass(this->fleet);
    this->placeClaimants(pass, context);
    // What the window has no room for is decided later, when it can be delivered and by what is known then.
    std::size_t evictionSearches = 0;
    if (this->startWindow.hasRoom()) {
        const PlacementOrder order = this->placementOrder(context);
        this->placeJobs(order.overdueJobs, true, pass, context);
        evictionSearches = std::exchange(pass.evictionSearches, 0);
        pass.unplacedCount = 0;
        const std::size_t tried = this->placeJobs(order.jobs, false, pass, context);
        this->placeLongestUntried(std::span(order.jobs).subspan(tried), pass, context);
        evictionSearches += pass.evictionSearches;
    }
    const auto costPerWorker = this->options.passCostPerWorker + this->options.searchCostPerWorker * pass.searches + this->options.evictionSearchCostPerWorker * evictionSearches;
    this->lastPassCost = std::chrono::duration<double>(costPerWorker) * static_cast<double>(this->fleet.all().size());
    this->relocateFromDrainingWorkers(context);
}

std::size_t Dispatcher::placeJobs(const std::vector<JobExecution*>& jobs, bool areOverdue, PlacementPass& pass, CommandContext& context)
{
    std::size_t tried = 0;
    for (; tried < jobs.size() && pass.unplacedCount < this->options.maxUnplacedTasksPerPass && this->startWindow.hasRoom(); ++tried)
        this->placeJob(*jobs[tried], areOverdue, pass, context);
    return tried;
}

void Dispatcher::placeJob(JobExecution& job, bool areOverdue, PlacementPass& pass, CommandContext& context)
{
    for (auto& [number, stepExecution] : job.openSteps()) {
        if (stepExecution.waiting > 0)
            this->placeStep(job, stepExecution, areOverdue, pass, context);
    }
}

void Dispatcher::placeLongestUntried(std::span<JobExecution* const> jobs, PlacementPass& pass, CommandContext& context)
{
    if (!this->startWindow.hasRoom())
        return;
    std::vector<std::pair<Instant, JobExecution*>> byLastTry;
    for (JobExecution* job : jobs)
        byLastTry.emplace_back(leastRecentTry(*job), job);
    std::stable_sort(byLastTry.begin(), byLastTry.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    // The last job before may have exceeded Options::maxUnplacedTasksPerPass by many tasks.
    const std::size_t limit = pass.unplacedCount + this->options.maxUntriedTasksPerPass;
    for (const auto& [triedAt, job] : byLastTry) {
        if (pass.unplacedCount >= limit || !this->startWindow.hasRoom())
            return;
        this->placeJob(*job, false, pass, context);
    }
}

bool Dispatcher::hasWaitedTooLong(const JobExecution& job, Instant now) const
{
    return !job.hasTaskAtWork() && now >= job.idleSince() + this->options.bestEffortWaitLimit;
}

void Dispatcher::updatePause(CommandContext& context)
{
    const bool isPaused = !this->mayStartTasks(context.now);
    if (isPaused == this->areStartsPaused)
        return;
    this->areStartsPaused = isPaused;
    context.add(LogDecision { isPaused ? DecisionEvent::StartsPaused : DecisionEvent::StartsResumed, "store", {}, {}, this->followedVersion, 0, this->viewAge(context.now) });
}

} // namespace dragonflytray
