#include "entry/duties/front_duty.h"

namespace dragonflytray {

namespace {

    constexpr std::size_t bodyLimit = 256 << 10; // bytes; the largest that the operator's configuration allows
    constexpr std::size_t probeBodyLimit = 4 << 10; // bytes; probes have no body
    constexpr std::size_t probeReceiveBudget = 1 << 20; // bytes
    constexpr std::size_t probeConnections = 32;
    constexpr Duration retryElsewhere = std::chrono::seconds(1); // another host takes the call
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnavailable = 503;

    void logRefusals(const std::string& sentence)
    {
        logWarning(LogPart::Callers, sentence);
    }

    HttpServer::Options callerOptions(const EntrySettings& settings)
    {
        const CallerLimits limits = callerLimits(settings);
        return { .endpoint = settings.callers, .bodyLimit = bodyLimit, .connectionLimit = limits.connections, .receiveBudget = limits.receiveBudget, .log = logRefusals };
    }

    HttpServer::Options probeOptions(const Endpoint& endpoint)
    {
        return { .endpoint = endpoint, .bodyLimit = probeBodyLimit, .connectionLimit = probeConnections, .receiveBudget = probeReceiveBudget, .log = logRefusals };
    }

    void appendRefused(std::vector<Metric>& metrics, const std::string& listener, const ClientRefusalCounts& counts)
    {
        for (const auto& [cause, name] : clientRefusalNames)
            metrics.push_back({ "dragonflytray_client_refusals_total", MetricKind::Counter, { { "listener", listener }, { "cause", std::string(name) } }, static_cast<double>(counts[cause]) });
    }

    void appendConnections(std::vector<Metric>& metrics, const std::string& listener, const ConnectionCounts& counts)
    {
        for (const auto& [phase, name] : connectionPhaseNames)
            metrics.push_back({ "dragonflytray_client_connections", MetricKind::Gauge, { { "listener", listener }, { "phase", std::string(name) } }, static_cast<double>(counts[phase]) });
    }

} // namespace

FrontDuty::FrontDuty(const EntrySettings& settings, EntryRings& rings, const CallerProtocol& protocol)
    : rings(rings)
    , protocol(protocol)
    , callers(this->loop, callerOptions(settings), [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->serveCaller(std::move(request), std::move(reply)); })
    , probes(this->loop, probeOptions(settings.readiness), [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->serveProbe(request, reply); })
{
    if (settings.metrics.port != 0)
        this->metrics.emplace(this->loop, probeOptions(settings.metrics), [this](HttpRequest, std::shared_ptr<HttpReply> reply) { this->serveMetrics(std::move(reply)); });
    drainOnWake(this->loop, rings.front, [this](FrontMessage message) { std::visit([this](const auto& value) { this->on(value); }, message); });
}

tl::expected<void, std::string> FrontDuty::start()
{
    for (HttpServer* server : { &this->callers, &this->probes, this->metrics ? &*this->metrics : nullptr }) {
        if (!server)
            continue;
        if (auto bound = server->start(); !bound)
            return tl::unexpected(bound.error());
    }
    return {};
}

void FrontDuty::run()
{
    this->loop.run();
    this->logEnd();
}

void FrontDuty::logEnd() const
{
    const std::size_t connections = this->callers.openConnections();
    const std::size_t requests = this->callers.openRequests();
    std::string sentence = "The duty towards callers ends with " + std::to_string(connections) + " open connections";
    const ConnectionCounts counts = this->callers.connectionCounts();
    for (const auto& [phase, name] : connectionPhaseNames) {
        if (counts[phase] > 0)
            sentence += ", " + std::string(name) + " " + std::to_string(counts[phase]);
    }
    sentence += ", with unread bytes " + std::to_string(this->callers.unreadConnections()) + "; requests without a whole answer: " + std::to_string(requests) + ".";
    (requests > 0 ? logWarning : logInfo)(LogPart::Callers, sentence);
}

void FrontDuty::serveProbe(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    if (this->protocol.isReadinessProbe(request))
        return reply->send({ .status = this->isReady ? statusOk : statusUnavailable });
    this->serveMetrics(reply);
}

void FrontDuty::serveMetrics(std::shared_ptr<HttpReply> reply)
{
    const ReplyToken token = this->keep(std::move(reply));
    MetricsSnapshot snapshot { "front", {} };
    appendRefused(snapshot.metrics, "callers", this->callers.refusals());
    appendRefused(snapshot.metrics, "readiness", this->probes.refusals());
    appendConnections(snapshot.metrics, "callers", this->callers.connectionCounts());
    if (this->metrics)
        appendRefused(snapshot.metrics, "metrics", this->metrics->refusals());
    (void)this->rings.journal.tryPush(std::move(snapshot));
    if (!this->rings.journal.tryPush(MetricsWanted { token }))
        this->answer(token, { .status = statusUnavailable });
}

void FrontDuty::serveCaller(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    if (this->isEnding)
        return reply->send(this->protocol.encodeReply({ .status = ReplyStatus::Refused, .retryAfter = retryElsewhere }));
    const ReplyToken token = this->keep(std::move(reply));
    CallerCall call = this->protocol.decode(request, token);
    if (const auto* status = std::get_if<ReplyStatus>(&call))
        return this->on(ReplyToClient { .token = token, .status = *status, .reason = ReplyReason::BadRequest });
    SchedulingMessage message = std::visit([&](auto value) -> SchedulingMessage {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, QueueQuery>)
            return AskQueue { token, std::move(value) };
        else if constexpr (std::is_same_v<Value, ReplyStatus>)
            return AskQueue {};
        else
            return SchedulerCommand(std::move(value));
    },
        std::move(call));
    if (!this->rings.scheduling.tryPush(std::move(message)))
        this->on(ReplyToClient { .token = token, .status = ReplyStatus::Refused, .reason = ReplyReason::TooManyPending, .retryAfter = std::chrono::seconds(1) });
}

ReplyToken FrontDuty::keep(std::shared_ptr<HttpReply> reply)
{
    this->replies.emplace(++this->lastToken, std::move(reply));
    return ReplyToken { this->lastToken };
}

void FrontDuty::answer(ReplyToken token, HttpResponse response)
{
    const auto found = this->replies.find(static_cast<std::uint64_t>(token));
    if (found == this->replies.end())
        return;
    found->second->send(std::move(response));
    this->replies.erase(found);
}

void FrontDuty::on(const ReplyToClient& message)
{
    this->answer(message.token, this->protocol.encodeReply(message));
}

void FrontDuty::on(const QueueAnswered& message)
{
    this->answer(message.token, this->protocol.encodeQueue(message.view));
}

void FrontDuty::on(const HostReadiness& message)
{
    this->isReady = message.isReady;
}

void FrontDuty::on(const BeginDrain& message)
{
    this->isReady = false;
    this->callers.announceClose();
    this->loop.after(message.acceptFor, [this] {
        this->callers.stopAccepting([this] { (void)this->rings.callersEnded.tryPush(CallersEnded {}); });
    });
}

void FrontDuty::on(const EndDrain&)
{
    this->isEnding = true;
    const auto open = std::exchange(this->replies, {});
    // These calls are with the scheduling duty, which may have stored a job or not.
    for (const auto& [token, reply] : open)
        reply->send(this->protocol.encodeReply({ .token = ReplyToken { token }, .status = ReplyStatus::Unclear }));
}

void FrontDuty::on(const MetricsRendered& message)
{
    this->answer(message.token, { .status = statusOk, .contentType = "text/plain; version=0.0.4", .body = message.text });
}

} // namespace dragonflytray
