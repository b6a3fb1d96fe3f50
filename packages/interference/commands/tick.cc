#include "interference/interference.h"

namespace dragonflytray {

namespace {

    // LadderRule says between which rungs a move leads.
    struct LadderRule {
        LadderRung from;
        LadderRung to;
    };

    // In the order of LadderMove.
    constexpr std::array<LadderRule, ladderMoveNames.size()> ladderRules { {
        { LadderRung::Free, LadderRung::Throttled },
        { LadderRung::Throttled, LadderRung::Free },
        { LadderRung::Throttled, LadderRung::Evicting },
    } };

} // namespace

void Interference::tick(const InterferenceCommand&, Instant now, InterferenceEffects& effects)
{
    for (auto worker = this->workers.begin(); worker != this->workers.end();) {
        this->forget(worker->second, now);
        if (auto step = this->policy->nextStep(this->situationOf(worker->second, now)))
            this->takeStep(worker->first, worker->second, *step, now, effects);
        const bool isUnused = worker->second.tasks.empty() && worker->second.runners.empty() && worker->second.history.isEmpty() && worker->second.avoidedUntil.empty();
        worker = isUnused ? this->workers.erase(worker) : std::next(worker);
    }
}

void Interference::forget(Worker& worker, Instant now) const
{
    worker.history.prune(now);
    std::erase_if(worker.avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
}

void Interference::takeStep(const HostName& name, Worker& worker, const LadderStep& step, Instant now, InterferenceEffects& effects)
{
    require(worker.tasks.contains(step.job), "Interference: a step for a task that is gone");
    const Task& task = worker.tasks.at(step.job);
    const LadderRule& rule = ladderRules[indexOf(step.move)];
    require(task.rung == rule.from, "Interference: a task skips a rung");
    require(this->hasRested(task, now), "Interference: a task did not rest on its rung");
    ++this->moves[step.move];
    this->setRung(worker, step.job, rule.to, now);
    if (rule.to != LadderRung::Evicting) {
        effects.push_back(ThrottleTask { name, step.job, task.attempt, this->shareOn(rule.to) });
        return;
    }
    this->noteEviction(worker, task.batchClass, now);
    effects.push_back(EvictTask { name, step.job, task.attempt, true });
}

void Interference::noteEviction(Worker& worker, const BatchClassName& batchClass, Instant now) const
{
    require(worker.lastEviction == Instant::min() || now - worker.lastEviction > this->options.lag, "Interference: two evictions on a worker within the lag");
    worker.lastEviction = now;
    worker.avoidedUntil[batchClass] = now + this->options.avoidance;
}

double Interference::shareOn(LadderRung rung) const
{
    return rung == LadderRung::Free ? 1 : this->options.throttledShare;
}

void Interference::setRung(Worker& worker, const JobId& job, LadderRung rung, Instant now)
{
    Task& task = worker.tasks.at(job);
    task.rung = rung;
    task.rungSince = now;
    if (rung != LadderRung::Evicting)
        worker.history.begin(job, task.batchClass, this->shareOn(rung), now);
}

} // namespace dragonflytray
