#include "routing/routing.h"

namespace dragonflytray {

namespace {

    constexpr int retryLimit = 2; // sends after the first

    // refusalOf() is the reason told to the caller when a retry reason ends a request.
    constexpr std::array<RefusalReason, retryReasonNames.size()> refusalOf {
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
    ++this->answeredCount;
    this->timeouts.observe(attempt->work.request.service, now - attempt->sentAt);
    this->explain(attempt->work.request.id, "Answered by runner " + attempt->runner.value() + ".");
    this->reply(attempt->work, answered(answer.answer), effects);
    this->dispatch(attempt->work.request.service, now, effects);
}

void Routing::runnerFailed(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& failure = std::get<RunnerFailed>(command);
    auto attempt = this->takeAttempt(failure.attempt);
    if (!attempt) {
        ++this->lateAnswerCount;
        return;
    }
    Waiting work = std::move(attempt->work);
    const ServiceName service = work.request.service;
    const bool isSafe = failure.isSurelyNotRun || work.request.idempotency == Idempotency::Idempotent;
    if (isSafe && work.retries < retryLimit && now < work.request.deadline) {
        ++this->retries[failure.reason];
        ++work.retries;
        work.lastRunner = attempt->runner;
        this->enqueue(std::move(work));
    } else {
        const RefusalReason reason = refusalOf[indexOf(failure.reason)];
        this->refuse(work, failure.isSurelyNotRun ? notRun(reason) : unknown(reason), effects);
    }
    this->dispatch(service, now, effects);
}

} // namespace dragonflytray
