#include "routing/routing.h"

namespace dragonflytray {

namespace {

    constexpr int maxRetries = 2; // attempts after the first
    constexpr Duration maxFirstBackoff = std::chrono::milliseconds(10); // upper bound of the random backoff; doubles with each retry

    // refusalReasonByRetryReason is what the caller gets if there is no further retry, in the order of RetryReason.
    constexpr std::array<RefusalReason, retryReasonNames.size()> refusalReasonByRetryReason {
        RefusalReason::NoRunner,
        RefusalReason::RunnerRefused,
        RefusalReason::RunnerFailed,
        RefusalReason::AnswerTimeout,
        RefusalReason::ConnectionLost,
        RefusalReason::StoreUnavailable,
        RefusalReason::StoreUnavailable,
        RefusalReason::RunnerFailed,
        RefusalReason::RunnerFailed,
        RefusalReason::RunnerFailed,
    };

} // namespace

void Routing::runnerAnswered(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& answer = std::get<RunnerAnswered>(command);
    auto attempt = this->removeAttempt(answer.attempt);
    if (!attempt) {
        ++this->lateAnswerCount;
        return;
    }
    this->recordAnswer(*attempt, now);
    this->releaseTarget(*attempt);
    if (attempt->isCrossRegion)
        this->linkBudget.spend(static_cast<double>(answer.answer.size()));
    const PendingRequest& pending = attempt->pending;
    const ServiceDeclaration* service = this->inForce.declaration->findService(pending.request.service);
    this->serviceOf(pending.request.service).retryBudget.add(service ? service->retryRatio : 0);
    ClassSummary& counts = this->classes[pending.request.priority];
    ++counts.answered;
    counts.stages[RequestStage::Total].record(now - pending.arrivedAt);
    this->recordStep(pending.request.id, "Answered by " + attempt->target.value() + ".");
    this->complete(pending, answered(answer.answer), now, effects);
    this->dispatch(pending.request.service, now, effects);
}

void Routing::runnerFailed(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& failure = std::get<RunnerFailed>(command);
    auto attempt = this->removeAttempt(failure.attempt);
    if (!attempt) {
        ++this->lateAnswerCount;
        return;
    }
    this->recordFailure(*attempt, now);
    this->releaseTarget(*attempt);
    const ServiceName service = attempt->pending.request.service;
    attempt->pending.mayHaveRun = attempt->pending.mayHaveRun || !failure.isKnownNotRun;
    attempt->pending.lastTarget = attempt->target;
    this->retry(std::move(attempt->pending), failure.reason, now, effects);
    this->dispatch(service, now, effects);
}

void Routing::retry(PendingRequest pending, RetryReason reason, Instant now, RoutingEffects& effects)
{
    const bool isRepeatable = !pending.mayHaveRun || pending.request.idempotency == Idempotency::Idempotent;
    const Duration maxBackoff = maxFirstBackoff * (1 << pending.retries);
    const Instant retryAt = now + Duration(this->random() % maxBackoff.count());
    if (!isRepeatable || pending.retries >= maxRetries || retryAt >= pending.request.deadline)
        return this->refuse(pending, refusalReasonByRetryReason[indexOf(reason)], now, effects);
    TokenBucket& budget = this->serviceOf(pending.request.service).retryBudget;
    if (!budget.hasTokens(now, 1))
        return this->refuse(pending, RefusalReason::RetryBudget, now, effects);
    budget.spend(1);
    ++this->classes[pending.request.priority].retries[reason];
    ++pending.retries;
    this->recordStep(pending.request.id, "Retried after " + std::string(retryReasonNames.nameOf(reason)) + " from " + pending.lastTarget.value() + ".");
    this->delayedRetries.emplace(retryAt, std::move(pending));
}

} // namespace dragonflytray
