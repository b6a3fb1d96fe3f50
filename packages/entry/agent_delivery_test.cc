// A leader's calls through an agent: they reach the worker once, end once, and are not carried out when they are late.

#include "entry/duties/agent_duty.h"
#include "entry/duties/worker_call_duty.h"

#include "entry/duty_fixture.h"
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    HttpRequest requestOf(const char* call, const TaskRunId& run)
    {
        HttpRequest request;
        request.target = std::string("/") + call + "/" + std::to_string(run.run);
        return request;
    }

    // The report of the stand-in: run N with load N for each character of the body.
    PollEnded decodeReport(const HttpOutcome& outcome)
    {
        PollEnded end;
        if (!outcome || outcome->status != 200)
            return end;
        end.status = WorkerCallStatus::Ok;
        end.clock = 100;
        for (std::uint32_t index = 0; index < outcome->body.size(); ++index)
            end.running.push_back({ .id = { { JobId("a"), 0, 0, index }, 1 }, .checkpoint = {}, .percent = 100, .load = outcome->body[index] });
        return end;
    }

    constexpr WorkerProtocol protocol {
        .encodePoll = [](const PollWorker& call) {
            HttpRequest request = requestOf("poll", {});
            request.target += "/" + std::to_string(toMilliseconds(call.wait));
            return request; },
        .encodeStart = [](const StartTask& call) {
            HttpRequest request = requestOf("start", call.run);
            request.target += "/" + call.spec;
            return request; },
        .encodeStop = [](const StopTask& call) { return requestOf("stop", call.run); },
        .encodeSetSpeed = [](const SetTaskSpeed& call) { return requestOf("speed", call.run); },
        .decodePoll = &decodeReport,
        .decodeCall = [](const HttpOutcome& outcome) { return outcome ? WorkerCallStatus::Ok : WorkerCallStatus::Unclear; },
    };

    constexpr Duration ample = std::chrono::minutes(10);

    EntrySettings settingsOf(const Endpoint& agent)
    {
        EntrySettings settings;
        settings.agent = agent;
        return settings;
    }

    // AgentDeliveryFixture has a leader's duty, an agent and a worker, each on a thread of its own.
    struct AgentDeliveryFixture {
        std::string report { "ab" }; // on the worker's thread
        StandinPeer worker { [this](const std::string& target) { return StandinAnswer { .body = target.starts_with("/poll") ? this->report : std::string() }; } };
        EntryRings agentRings;
        AgentDuty agent { settingsOf({ "127.0.0.1", 0 }), this->agentRings, protocol };
        EntryRings rings;
        WorkerCallDuty duty { this->rings, protocol };
        std::optional<DutyThread> agentThread;
        DutyThread thread { { .name = "workers" }, [this] { this->duty.run(); } };

        AgentDeliveryFixture()
        {
            REQUIRE(this->agent.start());
            this->agentThread.emplace(DutyThread::Options { .name = "agent" }, [this] { this->agent.run(); });
        }

        ~AgentDeliveryFixture()
        {
            this->duty.stop();
            this->agent.stop();
        }

        WorkerAddress address() const { return { WorkerId("worker"), this->worker.endpoint(), { 1 }, this->agent.endpoint() }; }
        static TaskRunId runOf(std::uint64_t run) { return { { JobId("a"), 0, 0, 0 }, run }; }

        void send(WorkerCall call)
        {
            const bool isPushed = this->rings.workers.tryPush(std::move(call));
            REQUIRE(isPushed);
        }

        void start(std::uint64_t run, Duration validity)
        {
            StartTask call { .to = this->address(), .run = runOf(run), .spec = "spec", .checkpoint = {} };
            call.expiresAt = BootClock::now() + validity;
            this->send(std::move(call));
        }

        std::optional<WorkerCallStatus> takeEnd(std::uint64_t run)
        {
            const auto end = takeCommand<TaskCallEnded>(this->rings, [run](const TaskCallEnded& ended) { return ended.run.run == run; });
            return end ? std::optional(end->status) : std::nullopt;
        }

        std::optional<PollEnded> poll()
        {
            this->send(PollWorker { .to = this->address(), .deadline = 5000, .acknowledged = 0 });
            return takeCommand<PollEnded>(this->rings, [](const PollEnded&) { return true; });
        }

        // exchange() sends a request to the agent as a leader of its own would.
        std::optional<AgentResponse> exchange(const AgentRequest& request)
        {
            HttpRequest message { .method = HttpMethod::Post, .target = "/agent/exchange", .headers = {}, .body = encodeAgentRequest(request, BootClock::now()) };
            const auto answer = sendAndWait(this->agent.endpoint(), std::move(message), std::chrono::seconds(60));
            return answer && answer->status == 200 ? decodeAgentResponse(answer->body) : std::nullopt;
        }

        static std::int64_t clock() { return toMilliseconds(BootClock::now().time_since_epoch()); }
    };

} // namespace

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_callsOfEachKind_reachTheWorkerOnceAndEnd", "[agent]")
{
    this->start(1, ample);
    CHECK(this->takeEnd(1) == WorkerCallStatus::Ok);
    this->send(StopTask { this->address(), runOf(2) });
    CHECK(this->takeEnd(2) == WorkerCallStatus::Ok);
    this->send(SetTaskSpeed { this->address(), runOf(3), 50 });
    CHECK(this->takeEnd(3) == WorkerCallStatus::Ok);
    CHECK(this->worker.calls() == StandinPeer::Calls { "/start/1/spec", "/stop/2", "/speed/3" });
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_pollsOfChangingWorker_reportsArriveWhole", "[agent]")
{
    const auto first = this->poll();
    REQUIRE(first);
    CHECK(first->status == WorkerCallStatus::Ok);
    CHECK(first->clock == 100);
    CHECK(first->worker == WorkerId("worker"));
    CHECK(first->running.size() == 2);
    this->report = "axyz";
    const auto second = this->poll();
    REQUIRE(second);
    REQUIRE(second->running.size() == 4);
    CHECK(second->running[1].load == 'x');
    this->report = "b";
    const auto third = this->poll();
    REQUIRE(third);
    REQUIRE(third->running.size() == 1);
    CHECK(third->running[0].load == 'b');
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_startsOfOneJob_specReachesTheWorkerEachTime", "[agent]")
{
    for (std::uint64_t run = 1; run <= 3; ++run) {
        this->start(run, ample);
        REQUIRE(this->takeEnd(run) == WorkerCallStatus::Ok);
    }
    CHECK(this->worker.calls() == StandinPeer::Calls { "/start/1/spec", "/start/2/spec", "/start/3/spec" });
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_specUnknownToAgent_startIsNotSent", "[agent]")
{
    AgentRequest request { .session = 5, .sentAt = clock(), .wait = Duration(0), .specs = {}, .calls = {}, .unreadable = {} };
    request.calls = { { 1, StartTask { .to = this->address(), .run = runOf(1), .spec = {}, .checkpoint = {}, .expiresAt = BootClock::now() + ample }, 0 } };
    const auto response = this->exchange(request);
    REQUIRE(response);
    REQUIRE(response->results.size() == 1);
    CHECK(response->results[0].status == WorkerCallStatus::NotSent);
    CHECK(this->worker.calls().empty());
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_startExpiredOnTheWay_isNotSent", "[agent]")
{
    this->start(1, -std::chrono::milliseconds(50));
    CHECK(this->takeEnd(1) == WorkerCallStatus::Expired);
    CHECK(this->worker.calls().empty());
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_exchangeWasHeldUp_nothingOfItIsDelivered", "[agent]")
{
    AgentRequest request { .session = 5, .sentAt = clock(), .wait = Duration(0), .specs = { { JobId("a"), "spec" } }, .calls = {}, .unreadable = {} };
    REQUIRE(this->exchange(request));
    StartTask start { .to = this->address(), .run = runOf(1), .spec = "spec", .checkpoint = {} };
    start.expiresAt = BootClock::now() + ample;
    request.sentAt = clock() - 3000;
    request.calls = { { 1, start, 0 }, { 2, PollWorker { .to = this->address(), .deadline = 5000, .acknowledged = 9 }, 0 }, { 3, StopTask { this->address(), runOf(1) }, 0 } };
    const auto response = this->exchange(request);
    REQUIRE(response);
    REQUIRE(response->results.size() == 3);
    CHECK(response->results[0].status == WorkerCallStatus::Expired);
    CHECK(response->results[1].status == WorkerCallStatus::NotSent);
    CHECK(response->results[2].status == WorkerCallStatus::NotSent);
    CHECK(this->worker.calls().empty());
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_agentGone_leaderDeliversItself", "[agent]")
{
    StartTask start { .to = this->address(), .run = runOf(1), .spec = "spec", .checkpoint = {} };
    start.to.agent = { "127.0.0.1", 1 }; // nobody listens there
    start.expiresAt = BootClock::now() + ample;
    this->send(std::move(start));
    const auto contact = takeCommand<AgentContact>(this->rings, [](const AgentContact&) { return true; });
    REQUIRE(contact);
    CHECK_FALSE(contact->isAnswering);
    CHECK(this->takeEnd(1) == WorkerCallStatus::Ok);
    CHECK(this->worker.calls() == StandinPeer::Calls { "/start/1/spec" });
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_agentAnswersNoResults_callsEndAsUnclear", "[agent]")
{
    StandinPeer silent { [](const std::string&) { return StandinAnswer { .body = encodeAgentResponse({ .incarnation = 1, .results = {} }), .delay = std::chrono::milliseconds(20) }; } };
    StopTask stop { this->address(), runOf(1) };
    stop.to.agent = silent.endpoint();
    this->send(stop);
    CHECK(this->takeEnd(1) == WorkerCallStatus::Unclear);
    CHECK(this->worker.calls().empty());
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_agentRestarts_callsOfFormerProcessEndAsUnclear", "[agent]")
{
    std::uint64_t answers = 0;
    StandinPeer restarting { [&answers](const std::string&) { return StandinAnswer { .body = encodeAgentResponse({ .incarnation = 1 + ++answers / 2, .results = {} }), .delay = std::chrono::milliseconds(20) }; } };
    StopTask stop { this->address(), runOf(1) };
    stop.to.agent = restarting.endpoint();
    const Instant begin = BootClock::now();
    this->send(stop);
    CHECK(this->takeEnd(1) == WorkerCallStatus::Unclear);
    CHECK(BootClock::now() < begin + workerCallTimeout);
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_malformedExchange_isRejectedAndAgentGoesOn", "[agent]")
{
    HttpRequest message { .method = HttpMethod::Post, .target = "/agent/exchange", .headers = {}, .body = "not an exchange" };
    const auto answer = sendAndWait(this->agent.endpoint(), std::move(message), std::chrono::seconds(60));
    REQUIRE(answer);
    CHECK(answer->status == 400);
    this->start(1, ample);
    CHECK(this->takeEnd(1) == WorkerCallStatus::Ok);
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_malformedExchange_isCountedInMetrics", "[agent]")
{
    HttpRequest message { .method = HttpMethod::Post, .target = "/agent/exchange", .headers = {}, .body = "not an exchange" };
    const auto answer = sendAndWait(this->agent.endpoint(), std::move(message), std::chrono::seconds(60));
    REQUIRE(answer);
    auto reported = this->agentRings.journal.popWithin(std::chrono::seconds(60));
    REQUIRE(reported);
    const auto* snapshot = std::get_if<MetricsSnapshot>(&*reported);
    REQUIRE(snapshot);
    const auto counter = std::find_if(snapshot->metrics.begin(), snapshot->metrics.end(), [](const Metric& metric) { return metric.name == "dragonflytray_agent_refused_exchanges_total"; });
    REQUIRE(counter != snapshot->metrics.end());
    CHECK(counter->value == 1);
}

// Polls that wait for long would keep the connections of an agent from its leaders.
TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_pollAsksForLongWait_workerIsAskedForShortOne", "[agent]")
{
    const PollWorker poll { .to = this->address(), .deadline = 5000, .acknowledged = 0, .wait = std::chrono::hours(24) };
    REQUIRE(this->exchange({ .session = 1, .sentAt = clock(), .wait = Duration(0), .calls = { { .number = 1, .call = poll } }, .unreadable = {} }));
    CHECK(this->worker.waitFor([](const auto& calls) { return std::find(calls.begin(), calls.end(), "/poll/0/2000") != calls.end(); }));
}

TEST_CASE_METHOD(AgentDeliveryFixture, "AgentDelivery_tooManyLeaders_areRefused", "[agent]")
{
    std::size_t taken = 0;
    for (std::uint64_t session = 1; session <= 20; ++session)
        taken += this->exchange({ .session = session, .sentAt = clock(), .wait = Duration(0), .calls = {}, .unreadable = {} }) ? 1 : 0;
    CHECK(taken == 8);
}

} // namespace dragonflytray
