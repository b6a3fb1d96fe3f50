#include "entry/agent_client.h"

#include "entry/worker_caller.h"
#include <random>

namespace dragonflytray {

namespace {

    constexpr unsigned statusOk = 200;

    void setStatus(SchedulerCommand& end, WorkerCallStatus status)
    {
        if (auto* poll = std::get_if<PollEnded>(&end))
            poll->status = status;
        else
            std::get<TaskCallEnded>(end).status = status;
    }

    SchedulerCommand endOf(const PollWorker& call) { return PollEnded { .worker = call.to.worker, .token = call.to.token, .sentAt = BootClock::now() }; }
    SchedulerCommand endOf(const StartTask& call) { return TaskCallEnded { TaskCallKind::Start, call.to.worker, call.to.token, call.run, {} }; }
    SchedulerCommand endOf(const StopTask& call) { return TaskCallEnded { TaskCallKind::Stop, call.to.worker, call.to.token, call.run, {} }; }
    SchedulerCommand endOf(const SetTaskSpeed& call) { return TaskCallEnded { TaskCallKind::SetSpeed, call.to.worker, call.to.token, call.run, {} }; }

    Duration waitOf(const PollWorker& call) { return call.wait; }
    template <typename TaskCall>
    Duration waitOf(const TaskCall&) { return Duration(0); }

    std::uint64_t newSession()
    {
        std::random_device device;
        return (std::uint64_t { device() } << 32U) | device();
    }

} // namespace

AgentClient::AgentClient(IoLoop& loop, Options options)
    : loop(loop)
    , options(std::move(options))
    , client(loop, { .connectTimeout = std::chrono::milliseconds(500), .idleLimit = std::chrono::seconds(10), .connectionLimit = 16 })
{
}

AgentClient::OpenCall AgentClient::openCallFor(const WorkerCall& call, Duration transferTime)
{
    const Instant now = BootClock::now();
    const Duration wait = std::visit([](const auto& value) { return waitOf(value); }, call);
    return { std::visit([](const auto& value) { return endOf(value); }, call), now, now + wait + workerCallTimeout + transferTime };
}

void AgentClient::send(const Endpoint& agent, WorkerCall call)
{
    LinkEntry& entry = *this->links.try_emplace(agent).first;
    Link& link = entry.second;
    if (link.session == 0)
        link.session = newSession();
    if (link.open.size() >= this->options.maxOpenCalls)
        return this->options.onUnsent(call);
    const std::uint64_t number = ++link.lastNumber;
    link.open.emplace(number, openCallFor(call, this->options.transferTime));
    AgentCall agentCall { .number = number, .call = std::move(call) };
    if (const auto* poll = std::get_if<PollWorker>(&agentCall.call)) {
        if (const auto report = link.reports.find(poll->to.worker); report != link.reports.end())
            agentCall.baseReport = report->second.number;
    }
    link.gathered.push_back(std::move(agentCall));
    if (!link.isSweeping) {
        link.isSweeping = true;
        this->loop.after(this->options.sweepInterval, [this, &entry] { this->sweep(entry); });
    }
    if (link.isGathering)
        return;
    link.isGathering = true;
    this->loop.after(this->options.gatherTime, [this, &entry] {
        entry.second.isGathering = false;
        this->flush(entry);
    });
}

void AgentClient::flush(LinkEntry& entry)
{
    Link& link = entry.second;
    if (!link.isOpen)
        return this->openLink(entry);
    if (!link.gathered.empty())
        this->exchange(entry, std::exchange(link.gathered, {}), Duration(0));
    this->collect(entry);
}

void AgentClient::openLink(LinkEntry& entry)
{
    if (entry.second.isOpening)
        return;
    entry.second.isOpening = true;
    this->exchange(entry, {}, Duration(0));
}

void AgentClient::collect(LinkEntry& entry)
{
    Link& link = entry.second;
    if (link.isCollecting || link.open.empty() || !link.isOpen)
        return;
    link.isCollecting = true;
    this->exchange(entry, {}, this->options.resultWait);
}

void AgentClient::exchange(LinkEntry& entry, std::vector<AgentCall> calls, Duration wait)
{
    const Instant now = BootClock::now();
    AgentRequest request { .session = entry.second.session, .sentAt = toMilliseconds(now.time_since_epoch()), .wait = wait, .calls = std::move(calls), .unreadable = {} };
    for (const AgentCall& call : request.calls) {
        const auto* start = std::get_if<StartTask>(&call.call);
        if (!start || entry.second.specs.find(start->run.task.job))
            continue;
        request.specs.emplace(start->run.task.job, start->spec);
        entry.second.specs.add(start->run.task.job, start->spec);
    }
    HttpRequest message { .method = HttpMethod::Post, .target = "/agent/exchange", .headers = {}, .body = encodeAgentRequest(request, now) };
    this->client.send(entry.first, std::move(message), wait + workerCallTimeout, [this, &entry, wait, sent = std::move(request.calls)](const HttpOutcome& outcome) {
        if (wait > Duration(0))
            entry.second.isCollecting = false;
        this->exchangeEnded(entry, sent, outcome);
    });
}

void AgentClient::exchangeEnded(LinkEntry& entry, const std::vector<AgentCall>& calls, const HttpOutcome& outcome)
{
    auto response = outcome && outcome->status == statusOk ? decodeAgentResponse(outcome->body) : std::nullopt;
    this->noteContact(entry, response.has_value());
    if (response) {
        this->applyResponse(entry, std::move(*response));
        if (!entry.second.isGathering)
            this->flush(entry);
        return;
    }
    entry.second.specs.clear(); // those of this exchange may not have arrived
    this->giveBack(entry.second, std::exchange(entry.second.gathered, {}));
    // Any other status means that the agent has refused the exchange as a whole.
    const bool isRefused = outcome && outcome->status != statusOk;
    if (isRefused || (!outcome && outcome.error().isSurelyNotSent))
        return this->giveBack(entry.second, calls);
    for (const AgentCall& call : calls)
        this->end(entry.second, call.number, WorkerCallStatus::Unclear);
}

void AgentClient::applyResponse(LinkEntry& entry, AgentResponse response)
{
    Link& link = entry.second;
    for (AgentResult& result : response.results)
        this->finish(link, std::move(result));
    if (link.incarnation != 0 && link.incarnation != response.incarnation) {
        // What the former incarnation had taken may have been carried out, and nobody will say so.
        link.reports.clear();
        link.specs.clear();
        const Instant now = BootClock::now();
        for (auto& [number, call] : link.open)
            call.deadline = std::min(call.deadline, now);
    }
    link.incarnation = response.incarnation;
}

void AgentClient::finish(Link& link, AgentResult result)
{
    const auto open = link.open.find(result.number);
    if (open == link.open.end())
        return;
    auto* poll = std::get_if<PollEnded>(&open->second.end);
    if (!poll || result.status != WorkerCallStatus::Ok)
        return this->end(link, result.number, result.status);
    KnownReport& known = link.reports[poll->worker];
    static const std::vector<RunningTask> noRuns;
    const bool isBaseKnown = result.baseReport == 0 || result.baseReport == known.number;
    auto running = result.isPoll && isBaseKnown ? applyChange(result.baseReport == 0 ? noRuns : known.running, result.change) : std::nullopt;
    if (!running)
        return this->end(link, result.number, WorkerCallStatus::Unclear);
    known = { result.report, std::move(*running) };
    poll->clock = result.end.clock;
    poll->startedAt = result.end.startedAt;
    poll->hasMoreEnds = result.end.hasMoreEnds;
    poll->ended = std::move(result.end.ended);
    poll->running = known.running;
    poll->receivedAt = BootClock::now();
    this->end(link, result.number, WorkerCallStatus::Ok);
}

void AgentClient::giveBack(Link& link, const std::vector<AgentCall>& calls)
{
    for (const AgentCall& call : calls) {
        if (link.open.erase(call.number) > 0)
            this->options.onUnsent(call.call);
    }
}

void AgentClient::end(Link& link, std::uint64_t number, WorkerCallStatus status)
{
    auto open = link.open.extract(number);
    if (!open)
        return;
    setStatus(open.mapped().end, status);
    if (auto* poll = std::get_if<PollEnded>(&open.mapped().end))
        poll->receivedAt = BootClock::now();
    this->options.onEnded(std::move(open.mapped().end));
}

void AgentClient::sweep(LinkEntry& entry)
{
    Link& link = entry.second;
    const Instant now = BootClock::now();
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, call] : link.open) {
        if (now >= call.deadline)
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue)
        this->end(link, number, WorkerCallStatus::Unclear);
    link.isSweeping = !link.open.empty();
    if (!link.isSweeping)
        return;
    this->loop.after(this->options.sweepInterval, [this, &entry] { this->sweep(entry); });
    this->collect(entry);
}

void AgentClient::noteContact(LinkEntry& entry, bool isAnswering)
{
    const bool wasAnswering = entry.second.isOpen;
    entry.second.isOpen = isAnswering;
    entry.second.isOpening = false;
    if (!isAnswering || !wasAnswering)
        this->options.onEnded(AgentContact { entry.first, isAnswering });
}

} // namespace dragonflytray
