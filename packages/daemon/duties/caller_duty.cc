#include "daemon/duties/caller_duty.h"

namespace dragonflytray {

namespace {

    constexpr Duration metricsInterval = std::chrono::milliseconds(500);
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnavailable = 503;

    HttpResponse plainText(unsigned status, std::string text)
    {
        return { .status = status, .contentType = "text/plain; charset=utf-8", .headers = {}, .body = std::move(text) };
    }

} // namespace

CallerDuty::CallerDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , shutdownGrace(settings.limits.shutdownGrace)
    , server(this->loop, { .endpoint = settings.callers, .bodyLimit = settings.limits.bodyBytes, .headerLimit = settings.limits.headerBytes, .connectionLimit = settings.limits.connections, .log = [](const std::string& sentence) { logWarning(LogPart::Callers, sentence); } }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->take(std::move(request), std::move(reply)); })
{
    drainOnWake(this->loop, rings.callers, [this](CallerMessage message) { this->handle(std::move(message)); });
}

tl::expected<Endpoint, std::string> CallerDuty::start()
{
    this->reportMetrics();
    return this->server.start();
}

void CallerDuty::take(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    const ReplyToken token { ++this->lastToken };
    auto call = decodeCall(std::move(request), token, BootClock::now());
    if (!call)
        return reply->send(std::move(call.error()));
    this->replies.emplace(token, std::move(reply));
    this->forward(std::move(*call), token);
}

void CallerDuty::forward(CallerCall call, ReplyToken token)
{
    std::visit([&](auto value) {
        if constexpr (requires { this->deliver(std::move(value)); })
            this->deliver(std::move(value));
        else
            this->deliver(value, token);
    },
        std::move(call));
}

void CallerDuty::deliver(SubmitRequest call)
{
    const ReplyToken token = call.token;
    const RequestId id = call.request.id;
    if (!this->rings.requests.tryPush(RoutingCommand(std::move(call))))
        this->on(ReplyToCaller { token, RequestSource::Caller, id, notRun(RefusalReason::QueueFull) });
}

void CallerDuty::deliver(OpenWatch call)
{
    const ReplyToken token = call.token;
    this->watches.emplace(token, false);
    if (!this->rings.requests.tryPush(RoutingCommand(std::move(call))))
        this->refuseFull(token);
}

void CallerDuty::deliver(SubmitJob call)
{
    const ReplyToken token = call.token;
    if (!this->rings.batch.tryPush(BatchCommand(std::move(call))))
        this->refuseFull(token);
}

void CallerDuty::deliver(CancelJob call)
{
    const ReplyToken token = call.token;
    if (!this->rings.batch.tryPush(BatchCommand(std::move(call))))
        this->refuseFull(token);
}

void CallerDuty::deliver(ApplyDeclaration call)
{
    const ReplyToken token = call.token;
    if (!this->rings.membership.tryPush(MembershipCommand(std::move(call))))
        this->refuseFull(token);
}

void CallerDuty::deliver(const RoutingQuery& query, ReplyToken token)
{
    if (!this->rings.requests.tryPush(Question<RoutingQuery> { token, query }))
        this->refuseFull(token);
}

void CallerDuty::deliver(const BatchQuery& query, ReplyToken token)
{
    if (!this->rings.batch.tryPush(Question<BatchQuery> { token, query }))
        this->refuseFull(token);
}

void CallerDuty::deliver(const MembershipQuery& query, ReplyToken token)
{
    if (!this->rings.membership.tryPush(Question<MembershipQuery> { token, query }))
        this->refuseFull(token);
}

void CallerDuty::deliver(HealthQuery query, ReplyToken token)
{
    if (query == HealthQuery::Live)
        return this->reply(token, plainText(statusOk, "live\n"));
    if (query == HealthQuery::Ready)
        return this->reply(token, this->isReady ? plainText(statusOk, "ready\n") : plainText(statusUnavailable, "not ready\n"));
    if (!this->rings.telemetry.tryPush(MetricsQuestion { token }))
        this->refuseFull(token);
}

void CallerDuty::refuseFull(ReplyToken token)
{
    this->watches.erase(token);
    this->reply(token, encodeFault(statusUnavailable, RefusalReason::QueueFull, "an inner queue is full"));
}

void CallerDuty::handle(CallerMessage message)
{
    std::visit([this](auto value) { this->on(std::move(value)); }, std::move(message));
}

void CallerDuty::on(ReplyToCaller message)
{
    this->watches.erase(message.token);
    this->reply(message.token, encodeReply(message));
}

void CallerDuty::on(ReplyToSubmitter message)
{
    this->reply(message.token, encodeReply(message));
}

void CallerDuty::on(ReplyToOperator message)
{
    this->reply(message.token, encodeReply(message));
}

void CallerDuty::on(ViewReady message)
{
    this->reply(message.token, std::visit([](const auto& view) { return encodeView(view); }, message.view));
}

void CallerDuty::on(MetricsReady message)
{
    this->reply(message.token, plainText(statusOk, std::move(message.text)));
}

void CallerDuty::on(WatchPart message)
{
    auto reply = this->replies.find(message.token);
    if (reply == this->replies.end())
        return;
    bool& isBegun = this->watches[message.token];
    if (!isBegun)
        reply->second->beginStream({ .status = statusOk, .contentType = "application/x-ndjson", .headers = {}, .body = {} });
    isBegun = true;
    if (reply->second->sendPart(std::move(message.part)))
        return;
    this->on(WatchEnded { message.token, true });
    (void)this->rings.runners.tryPush(CloseWatch { message.token }, RingRoom::Reserved);
}

void CallerDuty::on(WatchEnded message)
{
    auto reply = this->replies.find(message.token);
    if (reply == this->replies.end())
        return;
    if (this->watches[message.token])
        reply->second->endStream();
    else
        reply->second->send(encodeFault(statusUnavailable, RefusalReason::NoRunner, "the runner did not stream"));
    this->watches.erase(message.token);
    this->replies.erase(reply);
}

void CallerDuty::on(ReadinessChanged message)
{
    this->isReady = message.isReady && !this->isStopping;
}

void CallerDuty::on(BeginShutdown)
{
    this->isReady = false;
    this->isStopping = true;
    // The balancer needs a moment to see that this host is not ready; until then requests are served, each
    // as the last one of its connection.
    this->server.announceClose();
    this->loop.after(this->shutdownGrace, [this] { this->closeListener(); });
}

void CallerDuty::closeListener()
{
    this->server.stopAccepting([this] { (void)this->rings.drained.tryPush(Drained {}); });
    while (!this->watches.empty()) {
        const ReplyToken token = this->watches.begin()->first;
        (void)this->rings.runners.tryPush(CloseWatch { token }, RingRoom::Reserved);
        this->on(WatchEnded { token, true });
        this->watches.erase(token);
    }
}

void CallerDuty::reply(ReplyToken token, HttpResponse response)
{
    auto found = this->replies.find(token);
    if (found == this->replies.end())
        return;
    found->second->send(std::move(response));
    this->replies.erase(found);
}

void CallerDuty::reportMetrics()
{
    MetricsSnapshot snapshot { "callers", {} };
    snapshot.metrics.push_back({ "dragonflytray_open_requests", MetricKind::Gauge, {}, static_cast<double>(this->server.openRequests()) });
    for (const auto& [cause, name] : clientRefusalNames)
        snapshot.metrics.push_back({ "dragonflytray_client_refusals_total", MetricKind::Counter, { { "listener", "callers" }, { "cause", std::string(name) } }, static_cast<double>(this->server.refusals()[cause]) });
    appendRingMetrics(snapshot.metrics, "callers", this->rings.callers);
    (void)this->rings.telemetry.tryPush(std::move(snapshot));
    this->loop.after(metricsInterval, [this] { this->reportMetrics(); });
}

} // namespace dragonflytray
