#include "routing/routing.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // One entry host with one service on two runners of two slots each.
    struct RoutingFixture {
        Routing routing { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        std::uint64_t nextToken { 0 };

        RoutingFixture()
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") } };
            declaration.services = { { .name = ServiceName("checks"), .queueLimit = 2 } };
            this->routing.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
            this->routing.handle(ChangeHosts { { this->runner("r1"), this->runner("r2") } }, this->now);
        }

        Host runner(const std::string& name) const
        {
            Host host;
            host.name = HostName(name);
            host.kind = HostKind::Runner;
            host.dataCentre = DataCentreName("dc1");
            host.service = ServiceName("checks");
            host.slots = 2;
            return host;
        }

        RoutingEffects submit(const std::string& id, Idempotency idempotency = Idempotency::NonIdempotent)
        {
            Request request;
            request.id = RequestId(id);
            request.team = TeamName("desk");
            request.service = ServiceName("checks");
            request.idempotency = idempotency;
            request.deadline = this->now + std::chrono::seconds(1);
            return this->routing.handle(SubmitRequest { ReplyToken(++this->nextToken), request }, this->now);
        }
    };

    TEST_CASE_METHOD(RoutingFixture, "SubmitRequest_freeSlot_isSentAtOnce")
    {
        RoutingEffects effects = this->submit("a");

        REQUIRE(effects.size() == 1);
        CHECK(std::get<SendToRunner>(effects[0]).request.id == RequestId("a"));
    }

    TEST_CASE_METHOD(RoutingFixture, "SubmitRequest_slotsAndQueueFull_refusesWithQueueFull")
    {
        for (int i = 0; i < 6; ++i)
            this->submit("r" + std::to_string(i));

        RoutingEffects effects = this->submit("last");

        REQUIRE(effects.size() == 1);
        CHECK(std::get<ReplyToCaller>(effects[0]).outcome == notRun(RefusalReason::QueueFull));
    }

    TEST_CASE_METHOD(RoutingFixture, "RunnerFailed_nonIdempotentMaybeRun_endsUnknown")
    {
        RoutingEffects sent = this->submit("a");
        const AttemptId attempt = std::get<SendToRunner>(sent[0]).attempt;

        RoutingEffects effects = this->routing.handle(RunnerFailed { attempt, RetryReason::ConnectionLost, false }, this->now);

        REQUIRE(effects.size() == 1);
        CHECK(std::get<ReplyToCaller>(effects[0]).outcome == unknown(RefusalReason::ConnectionLost));
    }

    TEST_CASE_METHOD(RoutingFixture, "RunnerFailed_surelyNotRun_isSentToAnotherRunner")
    {
        RoutingEffects sent = this->submit("a");
        const SendToRunner first = std::get<SendToRunner>(sent[0]);

        RoutingEffects effects = this->routing.handle(RunnerFailed { first.attempt, RetryReason::ConnectFailed, true }, this->now);

        REQUIRE(effects.size() == 1);
        CHECK(std::get<SendToRunner>(effects[0]).runner != first.runner);
    }

    TEST_CASE_METHOD(RoutingFixture, "RunnerAnswered_attemptAlreadyEnded_isDroppedAndCounted")
    {
        RoutingEffects sent = this->submit("a");
        const AttemptId attempt = std::get<SendToRunner>(sent[0]).attempt;
        this->routing.handle(RunnerAnswered { attempt, "one" }, this->now);

        RoutingEffects effects = this->routing.handle(RunnerAnswered { attempt, "two" }, this->now);

        CHECK(effects.empty());
        CHECK(std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {})).lateAnswers == 1);
    }

} // namespace
} // namespace dragonflytray
