#include "gateway/runner_encoding.h"

namespace dragonflytray {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnavailable = 503;

    // In the order of SendFailureKind.
    constexpr std::array<RetryReason, sendFailureKindNames.size()> retryReasonOf {
        RetryReason::ConnectFailed,
        RetryReason::ConnectFailed,
        RetryReason::ConnectFailed,
        RetryReason::ConnectionLost,
        RetryReason::AnswerTimeout,
        RetryReason::ConnectionLost,
    };

    std::string headerOf(const HttpResponse& response, const std::string& name)
    {
        auto found = response.headers.find(name);
        return found == response.headers.end() ? std::string() : found->second;
    }

    std::string formatAttempt(AttemptId attempt)
    {
        return std::to_string(static_cast<std::uint64_t>(attempt));
    }

} // namespace

HttpRequest encodeAttempt(const SendToRunner& attempt)
{
    HttpRequest request { .method = HttpMethod::Post, .target = "/v1/run", .headers = {}, .body = *attempt.request.body };
    request.headers["Request-Id"] = attempt.request.id.value();
    request.headers["Attempt-Id"] = formatAttempt(attempt.attempt);
    request.headers["Service"] = attempt.request.service.value();
    request.headers["Deadline-Milliseconds"] = std::to_string(toMilliseconds(attempt.timeout));
    return request;
}

RoutingCommand decodeAttempt(AttemptId attempt, tl::expected<HttpResponse, SendFailure> answer)
{
    if (!answer)
        return RunnerFailed { attempt, retryReasonOf[indexOf(answer.error().kind)], answer.error().isSurelyNotSent };
    if (headerOf(*answer, "Attempt-Id") != formatAttempt(attempt))
        return RunnerFailed { attempt, RetryReason::ConnectionLost, false };
    if (answer->status == statusOk)
        return RunnerAnswered { attempt, std::move(answer->body) };
    const bool isRefusal = answer->status == statusUnavailable && headerOf(*answer, "Outcome") == outcomeKindNames.nameOf(OutcomeKind::NotRun);
    return RunnerFailed { attempt, isRefusal ? RetryReason::RunnerRefused : RetryReason::RunnerFailed, isRefusal };
}

HttpRequest encodeWatch(const StartWatch& watch)
{
    return { .target = "/v1/watch?service=" + percentEncode(watch.service.value()) + "&cursor=" + percentEncode(watch.cursor), .headers = {}, .body = {} };
}

} // namespace dragonflytray
