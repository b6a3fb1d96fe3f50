#include "routing/routing.h"

namespace dragonflytray {

RoutingView Routing::summary(const RoutingQuery&) const
{
    RoutingSummary summary;
    summary.lateAnswers = this->lateAnswerCount;
    summary.waiting = this->waitingCount();
    summary.inFlight = this->attempts.size();
    summary.forwarded = this->forwardedCount;
    summary.classes = this->classes;
    for (const ClassSummary& counts : this->classes)
        this->addTo(summary, counts);
    for (const auto& [name, runner] : this->runners)
        summary.runners.push_back({ name, runner.host.state, runner.inFlight, runner.share });
    return summary;
}

void Routing::addTo(RoutingSummary& summary, const ClassSummary& counts)
{
    summary.answered += counts.answered;
    for (const auto& reason : refusalReasonNames)
        summary.refusals[reason.value] += counts.refusals[reason.value];
    for (const auto& reason : retryReasonNames)
        summary.retries[reason.value] += counts.retries[reason.value];
}

} // namespace dragonflytray
