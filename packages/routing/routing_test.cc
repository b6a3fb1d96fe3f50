#include "routing/routing.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // One entry host with one service on two runners of two slots each.
    struct RoutingFixture {
        Routing routing { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        std::uint64_t nextToken { 0 };
        std::shared_ptr<const Declaration> declaration;

        RoutingFixture()
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") } };
            declaration.services = { { .name = ServiceName("checks"), .queueLimit = 2 } };
            this->declaration = std::make_shared<Declaration>(declaration);
            this->routing.handle(ChangeConfiguration { { 1, this->declaration } }, this->now);
            this->listRunners({ "r1", "r2" });
        }

        RoutingEffects listRunners(const std::vector<std::string>& names)
        {
            std::vector<Host> hosts;
            for (const std::string& name : names)
                hosts.push_back(this->runner(name));
            return this->routing.handle(ChangeHosts { hosts }, this->now);
        }

        RoutingEffects tickAfter(Duration pause)
        {
            this->now += pause;
            return this->routing.handle(RoutingTick {}, this->now);
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

    // The shares are assigned: two slots of r1, none of r2.
    struct AssignedSharesFixture : RoutingFixture {
        AssignedSharesFixture()
        {
            this->routing = Routing({ .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .shareSource = ShareSource::Assigned });
            this->routing.handle(ChangeConfiguration { { 1, this->declaration } }, this->now);
            this->listRunners({ "r1", "r2" });
        }

        RoutingEffects assign(int slots)
        {
            return this->routing.handle(ChangeShares { { { HostName("r1"), slots } } }, this->now);
        }
    };

    TEST_CASE_METHOD(AssignedSharesFixture, "SubmitRequest_noShareAssigned_waits")
    {
        CHECK(this->submit("a").empty());
    }

    TEST_CASE_METHOD(AssignedSharesFixture, "ChangeShares_requestWaits_isSentWithinTheShare")
    {
        this->submit("a");
        this->submit("b");

        RoutingEffects effects = this->assign(1);

        REQUIRE(effects.size() == 2);
        CHECK(std::get<SendToRunner>(effects[0]).runner == HostName("r1"));
        CHECK(std::get<SharesHeld>(effects[1]).held == std::vector<SlotShare> { { HostName("r1"), 1 } });
        CHECK(std::get<SharesHeld>(effects[1]).wanted == std::vector<SlotShare> { { HostName("r1"), 2 }, { HostName("r2"), 1 } });
    }

    TEST_CASE_METHOD(AssignedSharesFixture, "ChangeShares_belowAttemptsInFlight_isReportedFreeAsTheyEnd")
    {
        this->assign(2);
        const AttemptId attempt = std::get<SendToRunner>(this->submit("a")[0]).attempt;
        this->submit("b");

        RoutingEffects lowered = this->assign(0);
        RoutingEffects ended = this->routing.handle(RunnerAnswered { attempt, "one" }, this->now);

        CHECK(std::get<SharesHeld>(lowered.at(0)).held == std::vector<SlotShare> { { HostName("r1"), 2 } });
        CHECK(std::get<SharesHeld>(ended.at(1)).held == std::vector<SlotShare> { { HostName("r1"), 1 } });
    }

    TEST_CASE_METHOD(AssignedSharesFixture, "Tick_demandChanged_isReportedAtMostOncePerInterval")
    {
        this->assign(1);
        this->submit("a");
        this->submit("b");

        CHECK(this->tickAfter(std::chrono::milliseconds(199)).empty());
        CHECK(std::get<SharesHeld>(this->tickAfter(std::chrono::milliseconds(1)).at(0)).wanted[0] == SlotShare { HostName("r1"), 2 });
        CHECK(this->tickAfter(std::chrono::milliseconds(300)).empty());
    }

    TEST_CASE_METHOD(RoutingFixture, "ChangeHosts_runnerWithAttemptsVanishesAndReturns_attemptsStillCount")
    {
        for (int i = 0; i < 4; ++i)
            this->submit("r" + std::to_string(i));

        this->listRunners({ "r2" });
        this->listRunners({ "r1", "r2" });

        CHECK(this->submit("over").empty());
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
