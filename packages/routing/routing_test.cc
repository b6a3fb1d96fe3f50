#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

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
        CHECK(std::get<ReplyToCaller>(effects[0]).outcome == notRun(RefusalReason::QueueFull, {}, std::chrono::seconds(1)));
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

        CHECK(effects.empty());
        RoutingEffects retried = this->advanceAndTick(std::chrono::milliseconds(10));
        REQUIRE(retried.size() == 1);
        CHECK(std::get<SendToRunner>(retried[0]).runner != first.runner);
    }

    // The shares are assigned by ChangeShares; at first there are none. Only slots of r1 are assigned.
    struct AssignedSharesFixture : RoutingFixture {
        AssignedSharesFixture()
        {
            this->options.shareSource = ShareSource::Assigned;
            this->restart();
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

        CHECK(this->advanceAndTick(std::chrono::milliseconds(199)).empty());
        CHECK(std::get<SharesHeld>(this->advanceAndTick(std::chrono::milliseconds(1)).at(0)).wanted[0] == SlotShare { HostName("r1"), 2 });
        CHECK(this->advanceAndTick(std::chrono::milliseconds(300)).empty());
    }

    TEST_CASE_METHOD(RoutingFixture, "ChangeHosts_runnerWithAttemptsVanishesAndReturns_attemptsStillCount")
    {
        for (int i = 0; i < 4; ++i)
            this->submit("r" + std::to_string(i));

        this->setRunners({ "r2" });
        this->setRunners({ "r1", "r2" });

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
