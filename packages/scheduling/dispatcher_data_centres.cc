// Evacuations of data centres: what a leader must know before it starts tasks, and the workers that get none.

#include "scheduling/dispatcher.h"

namespace dragonflytray {

void Dispatcher::evacuationsFollowed(const EvacuationsDelivered& delivered, CommandContext& context)
{
    this->evacuationsView.followed(delivered.revision);
    for (const EvacuationTransition& transition : this->dataCentreEvacuations.follow(delivered, context.now)) {
        const EvacuationChange& change = transition.change;
        this->needsPass = true;
        this->applyEvacuations(context.now);
        const DecisionEvent learnedEvent = this->leadsAny() ? DecisionEvent::EvacuationInForce : DecisionEvent::EvacuationLearned;
        this->logEvacuation(change.isEvacuated ? learnedEvent : DecisionEvent::EvacuationWithdrawn, transition, context);
    }
}

void Dispatcher::logEvacuation(DecisionEvent event, const EvacuationTransition& transition, CommandContext& context) const
{
    const EvacuationChange& change = transition.change;
    LogDecision line { event, change.dataCentre.value(), {}, {}, change.version, toMilliseconds(transition.duration), this->viewAge(context.now) };
    line.inputs = { { DecisionInput::EvacuatedDataCentres, static_cast<std::int64_t>(this->dataCentreEvacuations.count()) }, { DecisionInput::EvacuatedRuns, static_cast<std::int64_t>(this->evacuatedRuns()) } };
    context.add(std::move(line));
}

void Dispatcher::applyEvacuations(Instant now)
{
    const bool isRestricted = this->dataCentreEvacuations.restrictsStarts(now);
    if (!isRestricted && !this->areWorkersRestricted)
        return;
    this->areWorkersRestricted = isRestricted;
    for (auto& [id, worker] : this->fleet.all()) {
        worker.isEvacuated = this->dataCentreEvacuations.isEvacuated(worker.entry.dataCentre);
        worker.fillShare = this->dataCentreEvacuations.fillShare(worker.entry.dataCentre, now);
    }
}

std::size_t Dispatcher::evacuatedRuns() const
{
    std::size_t runs = 0;
    for (const auto& [id, worker] : this->fleet.all())
        runs += this->dataCentreEvacuations.isEvacuated(worker.entry.dataCentre) ? worker.runs.size() : 0;
    return runs;
}

} // namespace dragonflytray
