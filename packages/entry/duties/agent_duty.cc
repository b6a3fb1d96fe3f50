#include "entry/duties/agent_duty.h"

#include <random>

namespace dragonflytray {

namespace {

    constexpr std::size_t bodyLimit = 4 << 20; // bytes of an exchange
    constexpr std::size_t connectionLimit = 64;
    constexpr std::size_t maxSessions = 8; // a few leaders, and hosts that have led before
    constexpr Duration sessionTimeout = std::chrono::seconds(10); // without an exchange
    constexpr Duration maxTransferTime = std::chrono::seconds(1); // of a call; a start is valid for no longer
    constexpr Duration gatherTime = std::chrono::milliseconds(5); // of results
    constexpr Duration maxWait = std::chrono::seconds(5);
    constexpr Duration maxPollWait = std::chrono::seconds(2); // of a worker before it answers; a waiting poll occupies a connection
    constexpr Duration reportInterval = std::chrono::seconds(1);
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusMalformed = 400;
    constexpr unsigned statusUnavailable = 503;

    // An exchange takes as much of the memory as requests of callers do.
    HttpServer::Options serverOptions(const EntrySettings& settings, std::function<void(const std::string&)> log)
    {
        return { .endpoint = settings.agent, .bodyLimit = bodyLimit, .connectionLimit = connectionLimit, .receiveBudget = callerLimits(settings).receiveBudget, .log = std::move(log) };
    }

    WorkerCallStatus lateStatusOf(const WorkerCall& call)
    {
        return std::holds_alternative<StartTask>(call) ? WorkerCallStatus::Expired : WorkerCallStatus::NotSent;
    }

} // namespace

AgentDuty::AgentDuty(const EntrySettings& settings, EntryRings& rings, const WorkerProtocol& protocol)
    : rings(rings)
    , wanted(settings.agent)
    , caller(this->loop, protocol, { .heldBytes = callerLimits(settings).receiveBudget, .connections = agentConnections(settings) })
    , server(this->loop, serverOptions(settings, [this](const std::string& sentence) { this->clientsRefused(sentence); }), [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->serve(request, std::move(reply)); })
{
    std::random_device device;
    this->incarnation = (std::uint64_t { device() } << 32U) | device();
}

tl::expected<void, std::string> AgentDuty::start()
{
    if (this->wanted.address.empty())
        return {};
    auto started = this->server.start();
    if (!started)
        return tl::unexpected(started.error());
    this->bound = *started;
    return {};
}

void AgentDuty::run()
{
    if (!this->wanted.address.empty())
        this->loop.run();
}

void AgentDuty::serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
{
    const Instant now = BootClock::now();
    this->startReporting();
    auto exchange = decodeAgentRequest(request.body, now);
    if (!exchange) {
        ++this->refusedExchanges[RefusedExchange::Malformed];
        return reply->send({ .status = statusMalformed });
    }
    SessionEntry* entry = this->sessionFor(exchange->session, now);
    if (!entry) {
        ++this->refusedExchanges[RefusedExchange::TooManySessions];
        return reply->send({ .status = statusUnavailable });
    }
    Session& session = entry->second;
    session.lastUsed = now;
    const std::int64_t difference = toMilliseconds(now.time_since_epoch()) - exchange->sentAt;
    session.clockDifference = std::min(session.clockDifference, difference);
    const bool isLate = difference - session.clockDifference > toMilliseconds(maxTransferTime);
    for (const std::uint64_t number : exchange->unreadable)
        this->ended(entry->first, { .number = number, .status = WorkerCallStatus::Rejected });
    for (const auto& [job, spec] : exchange->specs)
        session.specs.add(job, spec);
    for (AgentCall& call : exchange->calls)
        this->take(*entry, std::move(call), isLate);
    if (session.waiting) // the leader has given it up, or needs no more than one
        this->answer(session);
    session.waiting = std::move(reply);
    if (!session.results.empty() || exchange->wait <= Duration(0))
        return this->answer(session);
    this->loop.after(std::min(exchange->wait, maxWait), [this, id = entry->first, number = ++session.exchange] {
        const auto found = this->sessions.find(id);
        if (found != this->sessions.end() && found->second.exchange == number && found->second.waiting)
            this->answer(found->second);
    });
}

AgentDuty::SessionEntry* AgentDuty::sessionFor(std::uint64_t id, Instant now)
{
    this->forgetSessions(now);
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end() && this->sessions.size() >= maxSessions)
        return nullptr;
    return &*this->sessions.try_emplace(id).first;
}

void AgentDuty::clientsRefused(const std::string& sentence)
{
    logWarning(LogPart::Scheduling, "The port of the agent: " + sentence);
    this->startReporting();
}

void AgentDuty::startReporting()
{
    if (this->isReporting)
        return;
    this->isReporting = true;
    this->loop.after(reportInterval, [this] { this->reportMetrics(); }); // malformed exchanges don't fill the journal
}

void AgentDuty::forgetSessions(Instant now)
{
    std::erase_if(this->sessions, [now](const auto& entry) { return entry.second.lastUsed != Instant() && now >= entry.second.lastUsed + sessionTimeout; });
}

void AgentDuty::take(SessionEntry& session, AgentCall call, bool isLate)
{
    if (isLate)
        return this->ended(session.first, { .number = call.number, .status = lateStatusOf(call.call) });
    if (auto* start = std::get_if<StartTask>(&call.call)) {
        const std::string* spec = session.second.specs.find(start->run.task.job);
        if (!spec)
            return this->ended(session.first, { .number = call.number, .status = WorkerCallStatus::NotSent });
        start->spec = *spec;
    }
    if (auto* poll = std::get_if<PollWorker>(&call.call))
        poll->wait = std::min(poll->wait, maxPollWait);
    std::visit([&](const auto& value) { this->deliver(session.first, call, value); }, call.call);
}

void AgentDuty::deliver(std::uint64_t session, const AgentCall& call, const PollWorker& poll)
{
    this->caller.poll(poll, [this, session, number = call.number, baseReport = call.baseReport](PollEnded end) {
        this->pollEnded(session, number, baseReport, std::move(end));
    });
}

template <typename TaskCall>
void AgentDuty::deliver(std::uint64_t session, const AgentCall& call, const TaskCall& taskCall)
{
    this->caller.perform(taskCall, [this, session, number = call.number](const TaskCallEnded& end) {
        this->ended(session, { .number = number, .status = end.status });
    });
}

void AgentDuty::pollEnded(std::uint64_t session, std::uint64_t number, std::uint64_t baseReport, PollEnded end)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end())
        return;
    AgentResult result { .number = number, .status = end.status, .isPoll = true };
    if (end.status == WorkerCallStatus::Ok) {
        SentReport& sent = found->second.reports[end.worker];
        static const std::vector<RunningTask> noRuns;
        const std::vector<RunningTask>& base = baseReport != 0 && baseReport == sent.number ? sent.running : noRuns;
        result.baseReport = baseReport == sent.number ? baseReport : 0;
        result.change = changeOf(base, end.running);
        auto running = applyChange(base, result.change);
        result.report = ++this->lastReport;
        sent = { result.report, running ? std::move(*running) : std::vector<RunningTask>() };
        end.running.clear();
        result.end = std::move(end);
    }
    this->ended(session, std::move(result));
}

void AgentDuty::ended(std::uint64_t session, AgentResult result)
{
    ++this->ends[result.status];
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end())
        return;
    found->second.results.push_back(std::move(result));
    if (!found->second.waiting || found->second.results.size() > 1)
        return;
    this->loop.after(gatherTime, [this, session] {
        const auto waiting = this->sessions.find(session);
        if (waiting != this->sessions.end() && waiting->second.waiting)
            this->answer(waiting->second);
    });
}

void AgentDuty::answer(Session& session)
{
    const AgentResponse response { .incarnation = this->incarnation, .results = std::exchange(session.results, {}) };
    std::exchange(session.waiting, nullptr)->send({ .status = statusOk, .contentType = "application/cbor", .headers = {}, .body = encodeAgentResponse(response) });
}

void AgentDuty::reportMetrics()
{
    this->forgetSessions(BootClock::now());
    MetricsSnapshot snapshot { "agent", { { "dragonflytray_agent_sessions", MetricKind::Gauge, {}, static_cast<double>(this->sessions.size()) } } };
    for (const auto& entry : workerCallStatusNames)
        snapshot.metrics.push_back({ "dragonflytray_agent_calls_total", MetricKind::Counter, { { "outcome", std::string(entry.name) } }, static_cast<double>(this->ends[entry.value]) });
    for (const auto& entry : clientRefusalNames)
        snapshot.metrics.push_back({ "dragonflytray_client_refusals_total", MetricKind::Counter, { { "listener", "agent" }, { "cause", std::string(entry.name) } }, static_cast<double>(this->server.refusals()[entry.value]) });
    for (const auto& entry : refusedExchangeNames)
        snapshot.metrics.push_back({ "dragonflytray_agent_refused_exchanges_total", MetricKind::Counter, { { "cause", std::string(entry.name) } }, static_cast<double>(this->refusedExchanges[entry.value]) });
    (void)this->rings.journal.tryPush(std::move(snapshot));
    const bool hasNewRefusals = std::exchange(this->reportedRefusals, this->server.refusals()) != this->server.refusals();
    this->isReporting = hasNewRefusals || !this->sessions.empty();
    if (this->isReporting)
        this->loop.after(reportInterval, [this] { this->reportMetrics(); });
}

} // namespace dragonflytray
