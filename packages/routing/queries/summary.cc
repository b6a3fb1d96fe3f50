#include "routing/routing.h"

namespace dragonflytray {

RoutingView Routing::summary(const RoutingQuery&) const
{
    RoutingSummary summary;
    summary.answered = this->answeredCount;
    summary.lateAnswers = this->lateAnswerCount;
    summary.waiting = this->waitingCount;
    summary.inFlight = this->attempts.size();
    summary.refusals = this->refusals;
    summary.retries = this->retries;
    for (const auto& [name, runner] : this->runners)
        summary.runners.push_back({ name, runner.host.state, runner.inFlight, runner.share });
    return summary;
}

} // namespace dragonflytray
