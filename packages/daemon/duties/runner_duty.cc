#include "daemon/duties/runner_duty.h"

namespace dragonflytray {

namespace {

    // A connection that was idle for longer may have gone silent. Opening a new one costs one round trip;
    // pings on idle connections would cost more than the 5 KB a second that a node may spend on control.
    constexpr Duration idleLimit = std::chrono::seconds(1);

} // namespace

RunnerDuty::RunnerDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , watchSilence(settings.limits.watchSilence)
    , client(this->loop, { .idleLimit = idleLimit })
{
    drainOnWake(this->loop, rings.runners, [this](RunnerMessage message) {
        std::visit([this](auto value) { this->on(std::move(value)); }, std::move(message));
    });
}

void RunnerDuty::on(SendToRunner message)
{
    this->client.send(message.endpoint, encodeAttempt(message), message.timeout, [this, attempt = message.attempt](tl::expected<HttpResponse, SendFailure> answer) {
        if (!this->rings.requests.tryPush(decodeAttempt(attempt, std::move(answer)), RingRoom::Reserved))
            logError(LogPart::Runners, "A completion was dropped because the ring of requests is full.");
    });
}

void RunnerDuty::on(StartWatch message)
{
    const ReplyToken token = message.token;
    this->watches.insert(token);
    HttpClient::StreamHandlers handlers;
    handlers.onPart = [this, token](std::string part) { return this->relay(token, std::move(part)); };
    handlers.onEnd = [this, token](const tl::expected<HttpResponse, SendFailure>& end) {
        if (this->watches.erase(token) > 0)
            (void)this->rings.callers.tryPush(WatchEnded { token, end.has_value() }, RingRoom::Reserved);
    };
    this->client.stream(message.endpoint, encodeWatch(message), this->watchSilence, std::move(handlers));
}

void RunnerDuty::on(CloseWatch message)
{
    this->watches.erase(message.token);
}

bool RunnerDuty::relay(ReplyToken token, std::string part)
{
    if (!this->watches.contains(token))
        return false;
    // A caller that reads too slowly loses the stream, not messages in its middle: it resumes by cursor.
    return this->rings.callers.tryPush(WatchPart { token, std::move(part) });
}

} // namespace dragonflytray
