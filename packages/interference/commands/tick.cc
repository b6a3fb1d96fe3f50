#include "interference/interference.h"

namespace dragonflytray {

namespace {

    // MitigationTransition says between which rungs a move leads.
    struct MitigationTransition {
        MitigationLevel from;
        MitigationLevel to;
    };

    // In the order of MitigationAction.
    constexpr std::array<MitigationTransition, mitigationActionNames.size()> mitigationTransitions { {
        { MitigationLevel::Unthrottled, MitigationLevel::Throttled },
        { MitigationLevel::Throttled, MitigationLevel::Unthrottled },
        { MitigationLevel::Throttled, MitigationLevel::Evicting },
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

void Interference::takeStep(const HostName& name, Worker& worker, const MitigationStep& step, Instant now, InterferenceEffects& effects)
{
    require(worker.tasks.contains(step.job), "Interference: a step for a task that is gone");
    const Task& task = worker.tasks.at(step.job);
    const MitigationTransition& rule = mitigationTransitions[indexOf(step.move)];
    require(task.rung == rule.from, "Interference: a task skips a rung");
    require(this->hasRested(task, now), "Interference: a task did not rest on its rung");
    ++this->moves[step.move];
    this->setRung(worker, step.job, rule.to, now);
    if (rule.to != MitigationLevel::Evicting) {
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

double Interference::shareOn(MitigationLevel rung) const
{
    return rung == MitigationLevel::Unthrottled ? 1 : this->options.throttledShare;
}

void Interference::setRung(Worker& worker, const JobId& job, MitigationLevel rung, Instant now)
{
    Task& task = worker.tasks.at(job);
    task.rung = rung;
    task.rungSince = now;
    if (rung != MitigationLevel::Evicting)
        worker.history.begin(job, task.batchClass, this->shareOn(rung), now);
}

} // namespace dragonflytray
