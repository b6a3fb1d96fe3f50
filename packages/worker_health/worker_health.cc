#include "worker_health/worker_health.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // lowerMedian() returns the least value that at least half of the values do not exceed; 0 of none.
    double lowerMedian(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

// The signs of workers whose runs can't succeed come first.
const std::array<WorkerHealth::SignRule, healthSignNames.size() - 1> WorkerHealth::signRules { {
    { HealthSign::Failing, WorkerCondition::Quarantined, &WorkerHealth::isFailing, &WorkerHealth::isAlwaysCostly, &WorkerHealth::hasGoodRuns },
    { HealthSign::Refusing, WorkerCondition::Quarantined, &WorkerHealth::isRefusing, &WorkerHealth::isAlwaysCostly, &WorkerHealth::hasGoodRuns },
    { HealthSign::Stalled, WorkerCondition::Quarantined, &WorkerHealth::isStalled, &WorkerHealth::isAlwaysCostly, &WorkerHealth::hasGoodRuns },
    { HealthSign::Slow, WorkerCondition::Reduced, &WorkerHealth::isSlow, &WorkerHealth::makesJobsLate, &WorkerHealth::hasGoodRuns },
    { HealthSign::Flapping, WorkerCondition::Reduced, &WorkerHealth::isFlapping, &WorkerHealth::isAlwaysCostly, &WorkerHealth::hasKeptContact },
} };

WorkerHealth::WorkerHealth(Options options)
    : options(options)
{
}

void WorkerHealth::workersCounted(std::map<PeerGroupName, std::size_t> counts)
{
    this->groupSizes = std::move(counts);
}

ObservedRun WorkerHealth::runStarted(const std::string& worker, const PeerGroupName& group, const RunExpectation& expectation, Instant now)
{
    const ObservedRun run { ++this->lastRun };
    Worker& observed = this->findOrAdd(worker, group, now);
    if (observed.condition == WorkerCondition::Quarantined && observed.probe == ObservedRun(0))
        observed.probe = run;
    ++observed.openRuns;
    this->runs.emplace(run, Run { worker, expectation, now, now });
    return run;
}

void WorkerHealth::startAccepted(ObservedRun run, Instant now)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    found->second.startedAt = now;
    found->second.progressedAt = now;
    if (const auto worker = this->workers.find(found->second.worker); worker != this->workers.end())
        worker->second.refusals = 0;
}

void WorkerHealth::runProgressed(ObservedRun run, Instant now)
{
    if (const auto found = this->runs.find(run); found != this->runs.end())
        found->second.progressedAt = now;
}

void WorkerHealth::runEnded(ObservedRun run, RunResult result, std::optional<Duration> took, Instant now)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    const Run ended = std::move(found->second);
    this->runs.erase(found);
    const auto observed = this->workers.find(ended.worker);
    if (observed == this->workers.end())
        return;
    Worker& worker = observed->second;
    --worker.openRuns;
    if (result == RunResult::Done)
        worker.lastDoneAt = now;
    const bool isEvidence = ended.startedAt >= worker.since; // what was started before says nothing about the present condition
    if (isEvidence && result == RunResult::Refused && worker.refusals++ == 0)
        worker.refusedSince = now;
    if (isEvidence && (result == RunResult::Done || result == RunResult::Failed)) {
        const bool isTimed = result == RunResult::Done && took;
        const bool isLate = isTimed && ended.expectation.limit > Duration(0) && *took > ended.expectation.limit + this->options.reportTolerance;
        worker.samples.push_back({ isTimed ? this->ratioOf(ended.expectation, *took) : 0, result == RunResult::Failed, isLate });
        if (worker.samples.size() > this->options.maxRuns)
            worker.samples.pop_front();
    }
    if (worker.probe != run)
        return;
    worker.probe = ObservedRun(0);
    if (result == RunResult::Withdrawn)
        return;
    if (this->isGoodProbe(worker, ended.expectation, result, took))
        ++worker.goodProbes;
    else
        this->delayProbe(worker, now);
}

bool WorkerHealth::isGoodProbe(const Worker& worker, const RunExpectation& expectation, RunResult result, std::optional<Duration> took) const
{
    if (result != RunResult::Done)
        return false;
    const double ratio = took ? this->ratioOf(expectation, *took) : 0;
    const auto peers = this->groupRatios.find(worker.group);
    if (peers != this->groupRatios.end() && peers->second > 0)
        return ratio <= this->options.slowFactor * peers->second;
    return !took || expectation.limit == Duration(0) || *took <= expectation.limit + this->options.reportTolerance;
}

void WorkerHealth::delayProbe(Worker& worker, Instant now) const
{
    worker.goodProbes = 0;
    worker.nextProbeAt = now + worker.probeInterval;
    worker.probeInterval = std::min(2 * worker.probeInterval, this->options.maxProbeInterval);
}

void WorkerHealth::contactLost(const std::string& worker, const PeerGroupName& group, Instant now)
{
    Worker& observed = this->findOrAdd(worker, group, now);
    observed.lastContactLossAt = now;
    // The ends of its runs can't be known meanwhile. They are given up, or reported, before this time is over.
    for (auto& [number, run] : this->runs) {
        if (run.worker == worker)
            run.progressedAt = now + this->options.contactWindow;
    }
    if (observed.condition == WorkerCondition::Quarantined)
        return this->delayProbe(observed, now);
    observed.contactLosses.push_back(now);
    if (observed.contactLosses.size() > this->options.minContactLosses)
        observed.contactLosses.pop_front();
}

void WorkerHealth::forget(const std::string& worker)
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end())
        return;
    this->suspects -= found->second.condition == WorkerCondition::Healthy ? 0 : 1;
    this->workers.erase(found);
    std::erase_if(this->runs, [&](const auto& entry) { return entry.second.worker == worker; });
}

void WorkerHealth::clear()
{
    this->workers.clear();
    this->runs.clear();
    this->groupRatios.clear();
    this->suspects = 0;
}

double WorkerHealth::shareOf(const std::string& worker) const
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || found->second.condition == WorkerCondition::Healthy)
        return 1;
    return found->second.condition == WorkerCondition::Reduced ? this->options.reducedShare : 0;
}

bool WorkerHealth::mayProbe(const std::string& worker, Instant now) const
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || found->second.condition == WorkerCondition::Healthy)
        return false;
    const Worker& observed = found->second;
    return observed.condition == WorkerCondition::Reduced ? observed.openRuns == 0 : observed.probe == ObservedRun(0) && now >= observed.nextProbeAt;
}

std::size_t WorkerHealth::count(WorkerCondition condition) const
{
    return static_cast<std::size_t>(std::count_if(this->workers.begin(), this->workers.end(), [condition](const auto& entry) { return entry.second.condition == condition; }));
}

std::size_t WorkerHealth::sparedCount() const
{
    return static_cast<std::size_t>(std::count_if(this->workers.begin(), this->workers.end(), [](const auto& entry) { return entry.second.isSpared; }));
}

WorkerHealth::Worker& WorkerHealth::findOrAdd(const std::string& worker, const PeerGroupName& group, Instant now)
{
    const auto [found, isNew] = this->workers.try_emplace(worker);
    if (isNew)
        found->second.since = now;
    found->second.group = group;
    return found->second;
}

double WorkerHealth::ratioOf(const RunExpectation& expectation, Duration took) const
{
    // The tolerance on both sides keeps the time to learn of an end from counting where runs are short.
    return expectation.expected > Duration(0) ? toSeconds(took + this->options.reportTolerance) / toSeconds(expectation.expected + this->options.reportTolerance) : 0;
}

double WorkerHealth::medianRatio(const Worker& worker) const
{
    std::vector<double> ratios;
    for (const EndedRunSample& sample : worker.samples) {
        if (sample.ratio > 0)
            ratios.push_back(sample.ratio);
    }
    return ratios.size() < this->options.minRuns ? 0 : lowerMedian(std::move(ratios));
}

bool WorkerHealth::isFailing(const Worker& worker, const Peers&, Instant) const
{
    const auto& samples = worker.samples;
    return samples.size() >= this->options.minFailures && std::all_of(samples.rbegin(), samples.rbegin() + this->options.minFailures, [](const EndedRunSample& sample) { return sample.isFailed; });
}

bool WorkerHealth::isRefusing(const Worker& worker, const Peers&, Instant now) const
{
    return worker.refusals >= this->options.minRefusals && now >= worker.refusedSince + this->options.refusalTime;
}

bool WorkerHealth::isStalled(const Worker& worker, const Peers& peers, Instant) const
{
    return worker.stalledRuns >= this->options.minStalledRuns && peers.lastDoneAt > worker.stalledSince;
}

bool WorkerHealth::isSlow(const Worker& worker, const Peers& peers, Instant) const
{
    return peers.ratio > 0 && this->medianRatio(worker) >= this->options.slowFactor * peers.ratio;
}

bool WorkerHealth::isFlapping(const Worker& worker, const Peers&, Instant now) const
{
    const auto recent = std::count_if(worker.contactLosses.begin(), worker.contactLosses.end(), [&](Instant lostAt) { return now < lostAt + this->options.contactWindow; });
    return static_cast<std::size_t>(recent) >= this->options.minContactLosses;
}

bool WorkerHealth::isAlwaysCostly(const Worker&) const
{
    return true;
}

bool WorkerHealth::makesJobsLate(const Worker& worker) const
{
    const auto late = std::count_if(worker.samples.begin(), worker.samples.end(), [](const EndedRunSample& sample) { return sample.isLate; });
    return 2 * static_cast<std::size_t>(late) >= worker.samples.size();
}

bool WorkerHealth::hasGoodRuns(const Worker& worker, Instant) const
{
    return worker.condition == WorkerCondition::Quarantined ? worker.goodProbes >= this->options.probesToReturn : worker.samples.size() >= this->options.minRuns;
}

bool WorkerHealth::hasKeptContact(const Worker& worker, Instant now) const
{
    return now >= std::max(worker.since, worker.lastContactLossAt) + this->options.contactWindow;
}

void WorkerHealth::countStalledRuns(Instant now)
{
    for (auto& [id, worker] : this->workers) {
        worker.stalledRuns = 0;
        worker.stalledSince = {};
    }
    for (const auto& [number, run] : this->runs) {
        const auto found = this->workers.find(run.worker);
        const Instant dueAt = run.progressedAt + run.expectation.limit + this->options.reportTolerance;
        const Instant stalledAt = run.progressedAt + this->options.stallFactor * run.expectation.limit + this->options.reportTolerance;
        if (found == this->workers.end() || run.expectation.limit == Duration(0) || now < stalledAt || found->second.lastDoneAt >= dueAt)
            continue;
        ++found->second.stalledRuns;
        found->second.stalledSince = std::max(found->second.stalledSince, dueAt);
    }
}

std::map<PeerGroupName, WorkerHealth::Peers> WorkerHealth::summarize(Instant now)
{
    std::map<PeerGroupName, Peers> groups;
    for (const auto& [id, worker] : this->workers)
        groups[worker.group].workers.push_back(&worker);
    for (auto& [name, peers] : groups) {
        std::vector<double> ratios;
        std::vector<Instant> lastDone;
        for (const Worker* worker : peers.workers) {
            if (const double ratio = this->medianRatio(*worker); ratio > 0)
                ratios.push_back(ratio);
            lastDone.push_back(worker->lastDoneAt);
            peers.quarantined += worker->condition == WorkerCondition::Quarantined ? 1 : 0;
        }
        const auto size = this->groupSizes.find(name);
        peers.size = std::max(size == this->groupSizes.end() ? 0 : size->second, peers.workers.size());
        peers.ratio = ratios.size() < this->options.minPeers ? 0 : lowerMedian(std::move(ratios));
        const auto middle = lastDone.begin() + static_cast<std::ptrdiff_t>(lastDone.size() / 2);
        std::nth_element(lastDone.begin(), middle, lastDone.end());
        peers.lastDoneAt = lastDone.size() < this->options.minPeers ? Instant::min() : *middle;
        this->groupRatios[name] = peers.ratio > 0 ? peers.ratio : this->groupRatios[name];
        for (const Worker* worker : peers.workers) {
            for (const SignRule& rule : signRules) {
                const bool hasSign = worker->condition != WorkerCondition::Healthy && worker->sign == rule.sign;
                peers.shownBy[indexOf(rule.sign)] += hasSign || (this->*rule.isShown)(*worker, peers, now) ? 1 : 0;
            }
        }
    }
    return groups;
}

const WorkerHealth::SignRule* WorkerHealth::ruleShownBy(const Worker& worker, const Peers& peers, Instant now) const
{
    const auto found = std::find_if(signRules.begin(), signRules.end(), [&](const SignRule& rule) {
        return 2 * peers.shownBy[indexOf(rule.sign)] <= peers.size && (this->*rule.isShown)(worker, peers, now);
    });
    return found == signRules.end() ? nullptr : &*found;
}

WorkerCondition WorkerHealth::conditionAfter(Worker& worker, const SignRule* rule, const Peers& peers, Instant now) const
{
    const bool isQuarantined = worker.condition == WorkerCondition::Quarantined;
    if (isQuarantined || !rule) {
        const auto former = std::find_if(signRules.begin(), signRules.end(), [&](const SignRule& candidate) { return candidate.sign == worker.sign; });
        const bool isRefuted = former != signRules.end() && (this->*former->isRefuted)(worker, now);
        return !isRefuted ? worker.condition : isQuarantined ? WorkerCondition::Reduced
                                                             : WorkerCondition::Healthy;
    }
    const WorkerCondition next = worker.condition == WorkerCondition::Healthy ? rule->first : (this->*rule->isCostly)(worker) ? WorkerCondition::Quarantined
                                                                                                                              : WorkerCondition::Reduced;
    const bool isLimitReached = static_cast<double>(peers.quarantined + 1) > this->options.maxQuarantinedShare * static_cast<double>(peers.size);
    worker.isSpared = next == WorkerCondition::Quarantined && isLimitReached;
    return worker.isSpared ? WorkerCondition::Reduced : next;
}

HealthTransition WorkerHealth::change(const std::string& id, Worker& worker, WorkerCondition to, HealthSign sign, double peerRatio, Instant now)
{
    HealthTransition transition { .worker = id, .from = worker.condition, .to = to, .sign = sign, .runs = worker.samples.size(), .slowness = peerRatio > 0 ? this->medianRatio(worker) / peerRatio : 0, .lasted = now - worker.since };
    this->suspects += worker.condition == WorkerCondition::Healthy ? 1 : 0;
    this->suspects -= to == WorkerCondition::Healthy ? 1 : 0;
    worker.condition = to;
    worker.sign = to == WorkerCondition::Healthy ? HealthSign::None : sign;
    worker.since = now;
    worker.samples.clear();
    worker.refusals = 0;
    worker.contactLosses.clear();
    worker.isSpared = worker.isSpared && to == WorkerCondition::Reduced;
    worker.goodProbes = 0;
    worker.probe = ObservedRun(0);
    worker.probeInterval = this->options.probeInterval;
    if (to == WorkerCondition::Quarantined)
        this->delayProbe(worker, now);
    return transition;
}

std::vector<HealthTransition> WorkerHealth::judge(Instant now)
{
    std::vector<HealthTransition> transitions;
    if (now < this->lastJudgedAt + this->options.judgeInterval)
        return transitions;
    // After a time in which this process did not run, the reports of some workers are handled before those of others.
    if (const Duration paused = now - this->lastJudgedAt - this->options.judgeInterval; paused >= 2 * this->options.judgeInterval) {
        for (auto& [number, run] : this->runs)
            run.progressedAt = std::max(run.progressedAt, std::min(run.progressedAt + paused, now));
    }
    this->lastJudgedAt = now;
    this->countStalledRuns(now);
    std::map<PeerGroupName, Peers> groups = this->summarize(now);
    for (auto& [id, worker] : this->workers) {
        Peers& peers = groups.at(worker.group);
        const SignRule* rule = this->ruleShownBy(worker, peers, now);
        const WorkerCondition next = this->conditionAfter(worker, rule, peers, now);
        if (next == worker.condition)
            continue;
        if (next == WorkerCondition::Quarantined)
            ++peers.quarantined;
        else if (worker.condition == WorkerCondition::Quarantined)
            --peers.quarantined;
        const HealthSign sign = rule && worker.condition != WorkerCondition::Quarantined ? rule->sign : worker.sign;
        transitions.push_back(this->change(id, worker, next, sign, peers.ratio, now));
    }
    return transitions;
}

} // namespace dragonflytray
