#include "daemon/duties/request_duty.h"

#include "daemon/duties/decision_loop.h"

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration reportInterval = std::chrono::milliseconds(500);

    // appendClass() adds what happened to the requests of one class, and how long each stage took.
    void appendClass(std::vector<Metric>& metrics, const std::string& priority, const ClassSummary& counts)
    {
        metrics.push_back({ "dragonflytray_class_requests_answered_total", MetricKind::Counter, { { "class", priority } }, static_cast<double>(counts.answered) });
        for (const auto& reason : refusalReasonNames)
            metrics.push_back({ "dragonflytray_class_request_refusals_total", MetricKind::Counter, { { "class", priority }, { "reason", std::string(reason.name) } }, static_cast<double>(counts.refusals[reason.value]) });
        for (const auto& reason : retryReasonNames)
            metrics.push_back({ "dragonflytray_class_request_retries_total", MetricKind::Counter, { { "class", priority }, { "reason", std::string(reason.name) } }, static_cast<double>(counts.retries[reason.value]) });
        for (const auto& stage : requestStageNames)
            metrics.push_back({ "dragonflytray_request_latency_seconds", MetricKind::Histogram, { { "class", priority }, { "stage", std::string(stage.name) } }, 0, counts.stages[stage.value] });
    }

} // namespace

RequestDuty::RequestDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , routing({ .self = settings.host, .dataCentre = settings.dataCentre, .seed = settings.seed, .shareSource = settings.shareSource, .hasForwarding = false })
{
}

void RequestDuty::run()
{
    runDecisions(
        this->rings.requests, tickInterval, [this](RequestMessage message) { this->handle(std::move(message)); }, [this](Instant now) { this->tick(now); });
}

void RequestDuty::handle(RequestMessage message)
{
    if (const auto* command = std::get_if<RoutingCommand>(&message))
        return this->decide(*command);
    const auto& question = std::get<Question<RoutingQuery>>(message);
    (void)this->rings.callers.tryPush(ViewReady { question.token, this->routing.ask(question.query) }, RingRoom::Reserved);
}

void RequestDuty::decide(const RoutingCommand& command)
{
    this->carryOut(this->routing.handle(command, BootClock::now()));
}

void RequestDuty::carryOut(RoutingEffects effects)
{
    for (RoutingEffect& effect : effects)
        std::visit([this](auto value) { this->carryOut(std::move(value)); }, std::move(effect));
}

void RequestDuty::carryOut(SendToRunner effect)
{
    const AttemptId attempt = effect.attempt;
    if (!this->rings.runners.tryPush(std::move(effect)))
        this->decide(RunnerFailed { attempt, RetryReason::ConnectFailed, true });
}

void RequestDuty::carryOut(const ForwardToPeer& effect)
{
    this->decide(RunnerFailed { effect.attempt, RetryReason::ConnectFailed, true });
}

void RequestDuty::carryOut(ReplyToCaller effect)
{
    if (!this->rings.callers.tryPush(std::move(effect), RingRoom::Reserved))
        logError(LogPart::Routing, "A reply was dropped because the ring towards callers is full.");
}

void RequestDuty::carryOut(StartWatch effect)
{
    const ReplyToken token = effect.token;
    if (!this->rings.runners.tryPush(std::move(effect)))
        (void)this->rings.callers.tryPush(WatchEnded { token, false }, RingRoom::Reserved);
}

void RequestDuty::carryOut(SharesHeld effect)
{
    (void)this->rings.shares.tryPush(SharesCommand(std::move(effect)), RingRoom::Reserved);
}

void RequestDuty::carryOut(WriteTransaction effect)
{
    const TransactionId id = effect.transaction.id;
    if (!this->rings.platform.tryPush(PlatformMessage { PlatformOrigin::Routing, std::move(effect) }))
        this->decide(TransactionResult { id, TransactionStatus::Unavailable, 0, {} });
}

void RequestDuty::tick(Instant now)
{
    this->decide(RoutingTick {});
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    this->reportMetrics();
}

void RequestDuty::reportMetrics() const
{
    const auto summary = std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {}));
    MetricsSnapshot snapshot { "routing", {} };
    snapshot.metrics.push_back({ "dragonflytray_requests_answered_total", MetricKind::Counter, {}, static_cast<double>(summary.answered) });
    snapshot.metrics.push_back({ "dragonflytray_late_answers_total", MetricKind::Counter, {}, static_cast<double>(summary.lateAnswers) });
    snapshot.metrics.push_back({ "dragonflytray_requests_waiting", MetricKind::Gauge, {}, static_cast<double>(summary.waiting) });
    snapshot.metrics.push_back({ "dragonflytray_requests_in_flight", MetricKind::Gauge, {}, static_cast<double>(summary.inFlight) });
    snapshot.metrics.push_back({ "dragonflytray_requests_forwarded_total", MetricKind::Counter, {}, static_cast<double>(summary.forwarded) });
    for (const auto& priority : priorityNames)
        appendClass(snapshot.metrics, std::string(priority.name), summary.classes[priority.value]);
    appendRefusals(snapshot.metrics, "request", summary.refusals);
    appendRetries(snapshot.metrics, "request", summary.retries);
    appendRingMetrics(snapshot.metrics, "requests", this->rings.requests);
    (void)this->rings.telemetry.tryPush(std::move(snapshot));
}

} // namespace dragonflytray
