// Exchanges between leaders and agents: what is sent arrives, and damaged messages cost no more than themselves.

#include "entry/agent_encoding.h"

#include "entry/spec_cache.h"
#include "json/message_mutator.h"
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    struct AgentEncodingFixture {
        Instant now { std::chrono::hours(1) };
        WorkerAddress to { WorkerId("i-1"), { "10.0.0.1", 8000 }, { .epoch = 7, .restarts = 2 } };
        TaskRunId run { { JobId("5c0e7a21d94b36f8"), 1, 2, 3 }, 4 };

        AgentRequest request() const
        {
            StartTask start { .to = this->to, .run = this->run, .spec = "spec", .checkpoint = "c", .deadline = 9000, .expiresAt = this->now + std::chrono::milliseconds(700) };
            PollWorker poll { .to = this->to, .deadline = 8000, .acknowledged = 5, .wait = std::chrono::milliseconds(1000) };
            return { .session = 11, .sentAt = 12, .wait = std::chrono::milliseconds(13), .specs = { { this->run.task.job, "spec" } }, .calls = { { 1, poll, 6 }, { 2, start, 0 }, { 3, StopTask { this->to, this->run }, 0 }, { 4, SetTaskSpeed { this->to, this->run, 40 }, 0 } }, .unreadable = {} };
        }

        static RunningTask running(std::uint32_t index, std::int64_t load, const std::string& checkpoint = "c", int percent = 100)
        {
            return { .id = { { JobId("a"), 0, 0, index }, 1 }, .checkpoint = checkpoint, .percent = percent, .load = load };
        }
    };

    bool isSame(const std::vector<RunningTask>& a, const std::vector<RunningTask>& b)
    {
        const auto isEqual = [](const RunningTask& x, const RunningTask& y) { return x.id == y.id && x.checkpoint == y.checkpoint && x.percent == y.percent && x.load == y.load; };
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), isEqual);
    }

} // namespace

TEST_CASE_METHOD(AgentEncodingFixture, "AgentRequest_everyKindOfCall_arrivesAsSent", "[agent]")
{
    const Instant later = this->now + std::chrono::seconds(5);
    const auto decoded = decodeAgentRequest(encodeAgentRequest(this->request(), this->now), later);
    REQUIRE(decoded);
    REQUIRE(decoded->calls.size() == 4);
    CHECK(decoded->session == 11);
    CHECK(decoded->sentAt == 12);
    const auto& poll = std::get<PollWorker>(decoded->calls[0].call);
    CHECK(poll.deadline == 8000);
    CHECK(poll.acknowledged == 5);
    CHECK(poll.wait == std::chrono::milliseconds(1000));
    CHECK(decoded->calls[0].baseReport == 6);
    const auto& start = std::get<StartTask>(decoded->calls[1].call);
    CHECK(decoded->specs == std::map<JobId, std::string> { { this->run.task.job, "spec" } });
    CHECK(start.run == this->run);
    CHECK(start.to.token == this->to.token);
    CHECK(start.to.endpoint == this->to.endpoint);
    CHECK(start.expiresAt == later + std::chrono::milliseconds(700));
    CHECK(std::get<StopTask>(decoded->calls[2].call).run == this->run);
    CHECK(std::get<SetTaskSpeed>(decoded->calls[3].call).percent == 40);
}

TEST_CASE_METHOD(AgentEncodingFixture, "AgentRequest_oneCallUnreadable_othersAreReadAndItIsNamed", "[agent]")
{
    nlohmann::json json = nlohmann::json::from_cbor(encodeAgentRequest(this->request(), this->now));
    json.at(4).at(2).at(2) = 17; // the worker of the stop
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto decoded = decodeAgentRequest(bytes, this->now);
    REQUIRE(decoded);
    CHECK(decoded->calls.size() == 3);
    CHECK(decoded->unreadable == std::vector<std::uint64_t> { 3 });
}

// A leader with every call that it may have open at one agent, each a start of another job, stays within the limits of an exchange.
TEST_CASE_METHOD(AgentEncodingFixture, "AgentRequest_asManyCallsAsLeaderMayHave_isRead", "[agent]")
{
    AgentRequest request { .session = 11, .sentAt = 12, .wait = {}, .specs = {}, .calls = {}, .unreadable = {} };
    for (std::uint32_t i = 0; i < maxAgentCalls; ++i) {
        const TaskRunId id { { JobId("job-" + std::to_string(i)), 0, 0, 0 }, 1 };
        request.specs.emplace(id.task.job, "spec");
        request.calls.push_back({ .number = i + 1, .call = StartTask { .to = this->to, .run = id, .spec = "spec", .checkpoint = "c" } });
    }
    const auto decoded = decodeAgentRequest(encodeAgentRequest(request, this->now), this->now);
    REQUIRE(decoded);
    CHECK(decoded->calls.size() == maxAgentCalls);
    CHECK(decoded->specs.size() == maxAgentCalls);
}

// Guards against a result for each of millions of unreadable calls.
TEST_CASE_METHOD(AgentEncodingFixture, "AgentRequest_moreCallsThanLeaderMayHave_isRejected", "[agent]")
{
    const auto requestWith = [](std::size_t calls) {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({ 11, 12, 0, nlohmann::json::object(), std::vector<int>(calls, 0) }), bytes);
        return bytes;
    };
    CHECK(decodeAgentRequest(requestWith(maxAgentCalls), this->now));
    CHECK_FALSE(decodeAgentRequest(requestWith(maxAgentCalls + 1), this->now));
}

TEST_CASE_METHOD(AgentEncodingFixture, "SpecCache_tooManyBytes_oldestAreDroppedAtBothEnds", "[agent]")
{
    SpecCache agent { { .maxBytes = 10 } };
    SpecCache leader { { .maxBytes = 10, .keepsText = false } };
    for (const char* job : { "a", "b", "a", "c" }) {
        agent.add(JobId(job), "1234");
        leader.add(JobId(job), "1234");
    }
    for (const char* job : { "a", "b", "c" })
        CHECK((agent.find(JobId(job)) != nullptr) == (leader.find(JobId(job)) != nullptr));
    CHECK_FALSE(agent.find(JobId("a")));
    REQUIRE(agent.find(JobId("c")));
    CHECK(*agent.find(JobId("c")) == "1234");
}

TEST_CASE_METHOD(AgentEncodingFixture, "AgentResponse_reportAsChange_leadsToTheSameRuns", "[agent]")
{
    const std::vector base { running(1, 10), running(2, 20), running(3, 30), running(4, 40) };
    const std::vector report { running(5, 50), running(1, 10), running(3, 31), running(4, 40, "d", 60) };
    AgentResult result { .number = 1, .status = WorkerCallStatus::Ok, .isPoll = true, .report = 8, .baseReport = 7 };
    result.end.clock = 1234;
    result.end.ended.push_back({ .number = 3, .id = this->run, .outcome = RunOutcome::GangBroken, .checkpoint = "e" });
    result.change = changeOf(base, report);
    CHECK(result.change.removed == std::vector<std::uint32_t> { 1 });
    const auto decoded = decodeAgentResponse(encodeAgentResponse({ .incarnation = 5, .results = { result, { .number = 2, .status = WorkerCallStatus::NoRoom } } }));
    REQUIRE(decoded);
    REQUIRE(decoded->results.size() == 2);
    CHECK(decoded->results[1].status == WorkerCallStatus::NoRoom);
    CHECK(decoded->results[0].end.clock == 1234);
    REQUIRE(decoded->results[0].end.ended.size() == 1);
    CHECK(decoded->results[0].end.ended[0].outcome == RunOutcome::GangBroken);
    const auto runs = applyChange(base, decoded->results[0].change);
    REQUIRE(runs);
    CHECK(isSame(*runs, { running(1, 10), running(3, 31), running(4, 40, "d", 60), running(5, 50) }));
}

TEST_CASE_METHOD(AgentEncodingFixture, "ReportChange_doesNotFitBase_isNotApplied", "[agent]")
{
    ReportChange change;
    change.removed = { 5 };
    CHECK_FALSE(applyChange({ running(1, 10) }, change));
    change = {};
    change.changed = { { .index = 1, .load = 5, .percent = {}, .checkpoint = {} } };
    CHECK_FALSE(applyChange({ running(1, 10) }, change));
}

TEST_CASE_METHOD(AgentEncodingFixture, "AgentMessages_damaged_areReadOrRejected", "[agent]")
{
    AgentResult result { .number = 1, .status = WorkerCallStatus::Ok, .isPoll = true, .report = 8, .baseReport = 0 };
    result.change = changeOf({}, { running(1, 10), running(2, 20) });
    const std::string request = encodeAgentRequest(this->request(), this->now);
    const std::string response = encodeAgentResponse({ .incarnation = 5, .results = { result } });
    std::size_t read = 0;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        MessageMutator mutator(seed);
        for (const std::string& bytes : { request, response }) {
            nlohmann::json json = nlohmann::json::from_cbor(bytes);
            mutator.damage(json);
            std::string damaged;
            try {
                nlohmann::json::to_cbor(json, damaged);
            } catch (const nlohmann::json::exception&) {
                continue;
            }
            read += decodeAgentRequest(damaged, this->now) ? 1 : 0;
            read += decodeAgentResponse(mutator.damageBytes(damaged)) ? 1 : 0;
        }
    }
    CHECK(read > 0);
}

} // namespace dragonflytray
