#include "routing/routing.h"

namespace dragonflytray {

namespace {

    constexpr int retryLimit = 2; // sends after the first
    constexpr Duration longestFirstPause = std::chrono::milliseconds(10); // before the first retry; doubles with each

    // endedBy is the reason told to the caller when a retry reason ends a request.
    constexpr std::array<RefusalReason, retryReasonNames.size()> endedBy {
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
    auto attempt = this->takeAttempt(answer.attempt);
    if (!attempt) {
        ++this->lateAnswerCount;
        return;
    }
    this->measureAnswer(*attempt, now);
    this->freeTarget(*attempt);
    if (attempt->isOverLink)
        this->linkBudget.spend(static_cast<double>(answer.answer.size()));
    const WaitingRequest& work = attempt->work;
    const ServiceDeclaration* service = this->inForce.declaration->findService(work.request.service);
    this->serviceOf(work.request.service).retryBudget.add(service ? service->retryShare : 0);
    ClassSummary& counts = this->classes[work.request.priority];
    ++counts.answered;
    counts.stages[RequestStage::Total].record(now - work.arrivedAt);
    this->explain(work.request.id, "Answered by " + attempt->target.value() + ".");
    this->end(work, answered(answer.answer), now, effects);
    this->dispatch(work.request.service, now, effects);
}

void Routing::runnerFailed(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& failure = std::get<RunnerFailed>(command);
    auto attempt = this->takeAttempt(failure.attempt);
    if (!attempt) {
        ++this->lateAnswerCount;
        return;
    }
    this->measureFailure(*attempt, now);
    this->freeTarget(*attempt);
    const ServiceName service = attempt->work.request.service;
    attempt->work.mayHaveRun = attempt->work.mayHaveRun || !failure.isSurelyNotRun;
    attempt->work.lastTarget = attempt->target;
    this->retry(std::move(attempt->work), failure.reason, now, effects);
    this->dispatch(service, now, effects);
}

void Routing::retry(WaitingRequest work, RetryReason reason, Instant now, RoutingEffects& effects)
{
    const bool isSafe = !work.mayHaveRun || work.request.idempotency == Idempotency::Idempotent;
    const Duration longestPause = longestFirstPause * (1 << work.retries);
    const Instant retryAt = now + Duration(this->random() % longestPause.count());
    if (!isSafe || work.retries >= retryLimit || retryAt >= work.request.deadline)
        return this->refuse(work, endedBy[indexOf(reason)], now, effects);
    TokenBucket& budget = this->serviceOf(work.request.service).retryBudget;
    if (!budget.has(now, 1))
        return this->refuse(work, RefusalReason::RetryBudget, now, effects);
    budget.spend(1);
    ++this->classes[work.request.priority].retries[reason];
    ++work.retries;
    this->explain(work.request.id, "Tried again after " + std::string(retryReasonNames.nameOf(reason)) + " of " + work.lastTarget.value() + ".");
    this->delayed.emplace(retryAt, std::move(work));
}

} // namespace dragonflytray
