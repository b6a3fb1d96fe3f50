// The shares of queues in the capacity of the cells that this host leads, and the forecast that it publishes of it.

#include "scheduling/placement_pass.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr double millicoresPerCore = 1000;

    // takesShare() says whether a job counts for the share of its queue. Long-running tasks have their own bound on absence, and
    // best-effort tasks run on what others leave.
    bool takesShare(const JobExecution& job)
    {
        return !job.definition().isLongRunning() && !hasBestEffortStep(job);
    }

    // coresOf() is the need of each task of a step, and workOf() that times the expected run time in core seconds.
    double coresOf(const StepDefinition& step) { return static_cast<double>(step.need.millicores) / millicoresPerCore; }
    double workOf(const StepDefinition& step) { return coresOf(step) * toSeconds(step.estimate); }

    // needsOnlyRoom() says whether the tasks of a step start wherever there are cores and memory for them.
    bool needsOnlyRoom(const StepDefinition& step)
    {
        const bool hasConstraint = step.isGang || step.isBestEffort || step.maxPerWorker > 0 || step.need.accelerators > 0;
        return !hasConstraint && step.requiredLabel.empty() && step.nearLabel.empty();
    }

    // waitingWorkOf() is the expected work of the waiting tasks of a job in core seconds.
    double waitingWorkOf(JobExecution& job)
    {
        double work = 0;
        for (const auto& [number, stepExecution] : job.openSteps())
            work += stepExecution.waiting * workOf(job.definition().steps[stepExecution.step]);
        return work;
    }

    // addUse() adds the tasks of a job to the use of its queue. Tasks that may run under a former leader count as running.
    void addUse(JobExecution& job, QueueUse& use)
    {
        for (const auto& [number, stepExecution] : job.openSteps()) {
            const StepDefinition& step = job.definition().steps[stepExecution.step];
            const double running = static_cast<double>(stepExecution.tasks.size()) - stepExecution.done - stepExecution.waiting;
            use.cores += running * coresOf(step);
            use.expectedWork += running * workOf(step);
        }
        use.isWaiting = use.isWaiting || job.waiting() > 0;
    }

} // namespace

void Dispatcher::followQueueUses(Instant now)
{
    std::map<QueueName, QueueUse> uses;
    for (auto& [id, job] : this->jobExecutions) {
        const bool isLed = this->cells.contains(job->definition().cell);
        if (!isLed || isFinal(job->progress().phase) || !takesShare(*job))
            continue;
        const QueueRule& rule = this->queueRuleOf(*job);
        QueueUse& use = uses.try_emplace(rule.name, QueueUse { .queue = rule.name, .priority = rule.priority }).first->second;
        addUse(*job, use);
    }
    std::vector<QueueUse> list;
    list.reserve(uses.size());
    for (auto& [name, use] : uses)
        list.push_back(std::move(use));
    this->queueShares.follow(list, now);
}

void Dispatcher::shareCapacity(std::vector<PlacementEntry>& entries, CommandContext& context)
{
    this->followQueueUses(context.now);
    for (auto begin = entries.begin(); begin != entries.end();) {
        const auto end = std::find_if(begin, entries.end(), [&](const PlacementEntry& entry) { return entry.rank != begin->rank; });
        std::vector<PlacementEntry*> places;
        std::vector<ShareClaim> claims;
        for (; begin != end; ++begin) {
            if (!takesShare(*begin->job))
                continue;
            places.push_back(&*begin);
            claims.push_back({ &this->queueRuleOf(*begin->job).name, waitingWorkOf(*begin->job) });
        }
        std::vector<PlacementEntry> ordered;
        ordered.reserve(places.size());
        for (const std::size_t claim : this->queueShares.order(claims))
            ordered.push_back(*places[claim]);
        for (std::size_t place = 0; place < places.size(); ++place)
            *places[place] = ordered[place];
    }
    this->reportQueueDebts(context);
}

void Dispatcher::reportQueueDebts(CommandContext& context)
{
    if (context.now < this->nextDebtReportAt)
        return;
    const std::vector<QueueDebt> debts = this->queueShares.debts();
    const auto largest = std::max_element(debts.begin(), debts.end(), [](const QueueDebt& left, const QueueDebt& right) { return std::pair(left.use.isWaiting, left.debt) < std::pair(right.use.isWaiting, right.debt); });
    if (largest == debts.end() || !largest->use.isWaiting || largest->debt == 0)
        return;
    this->nextDebtReportAt = context.now + this->options.waitReportInterval;
    LogDecision line { DecisionEvent::QueueDelayed, largest->use.queue.value(), {}, "took-more", this->followedVersion, 0 };
    line.inputs = { { DecisionInput::DebtCoreMilliseconds, static_cast<std::int64_t>(largest->debt * millicoresPerCore) }, { DecisionInput::UsedMillicores, static_cast<std::int64_t>(largest->use.cores * millicoresPerCore) } };
    context.add(std::move(line));
}

std::optional<Forecast> Dispatcher::forecastOf(const CellName& name, Instant now, WallTime wallTime) const
{
    const Cell& cell = this->cells.at(name);
    if (!cell.isReconciled)
        return std::nullopt;
    Forecast forecast { .epoch = cell.epoch, .composedAt = wallTime };
    for (const auto& [id, worker] : this->fleet.all()) {
        const bool isEvacuated = this->dataCentreEvacuations.isEvacuated(worker.entry.dataCentre);
        if (worker.cell == name && worker.isListed && !worker.isSuspect && !worker.entry.isDraining && !isEvacuated)
            forecast.addCapacity(worker.entry.service, worker.entry.capacity.millicores);
    }
    for (const auto& [id, job] : this->jobExecutions) {
        if (job->definition().cell == name && !isFinal(job->progress().phase) && urgencyOf(*job, now) == UrgencyClass::OnTime)
            this->addPrecedingWork(*job, now, forecast);
    }
    return forecast;
}

void Dispatcher::addPrecedingWork(JobExecution& job, Instant now, Forecast& forecast) const
{
    const QueueRule& rule = this->queueRuleOf(job);
    for (const auto& [number, stepExecution] : job.openSteps()) {
        const StepDefinition& step = job.definition().steps[stepExecution.step];
        if (stepExecution.lastOutcome == PlacementOutcome::NoRoom && needsOnlyRoom(step))
            forecast.addWork(rule.service, { .priority = rule.priority, .untilObjective = job.objectiveDeadline - now, .count = stepExecution.waiting, .millicores = step.need.millicores, .megabytes = step.need.megabytes, .expectedRunTime = step.estimate });
    }
}

} // namespace dragonflytray
