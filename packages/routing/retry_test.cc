#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct RetryFixture : RoutingFixture {
        AttemptId sentAttempt(const RoutingEffects& effects) { return std::get<SendToRunner>(effects.at(0)).attempt; }

        // failAttempt() fails the attempt, and waits for the longest backoff if a retry follows.
        RoutingEffects failAttempt(AttemptId attempt, bool isKnownNotRun)
        {
            RoutingEffects effects = this->routing.handle(RunnerFailed { attempt, RetryReason::ConnectionLost, isKnownNotRun }, this->now);
            return effects.empty() ? this->advanceAndTick(std::chrono::milliseconds(20)) : effects;
        }

        void answerAll()
        {
            for (std::uint64_t attempt = 1; attempt <= 4 * this->nextToken; ++attempt)
                this->routing.handle(RunnerAnswered { AttemptId(attempt), {} }, this->now);
        }

        std::set<std::string> runnersOfFourRequests()
        {
            std::set<std::string> names;
            for (int i = 0; i < 4; ++i) {
                for (const RoutingEffect& effect : this->submit("four" + std::to_string(this->nextToken))) {
                    if (const auto* send = std::get_if<SendToRunner>(&effect))
                        names.insert(send->runner.value());
                }
            }
            return names;
        }

        Outcome outcomeOf(const RoutingEffects& effects) { return std::get<ReplyToCaller>(effects.at(0)).outcome; }
    };

    TEST_CASE_METHOD(RetryFixture, "RunnerFailed_idempotentMaybeRunThenRefusedEverywhere_endsUnknown")
    {
        RoutingEffects first = this->submit("a", Idempotency::Idempotent);
        RoutingEffects second = this->failAttempt(this->sentAttempt(first), false);
        RoutingEffects third = this->failAttempt(this->sentAttempt(second), true);

        RoutingEffects last = this->failAttempt(this->sentAttempt(third), true);

        CHECK(this->outcomeOf(last).kind == OutcomeKind::Unknown);
    }

    TEST_CASE_METHOD(RetryFixture, "Tick_deadlinePassesAfterAMaybeRunSend_endsUnknown")
    {
        RoutingEffects first = this->submit("a", Idempotency::Idempotent);
        this->setRunners({});
        this->failAttempt(this->sentAttempt(first), false);

        CHECK(this->outcomeOf(this->advanceAndTick(std::chrono::seconds(2))) == unknown(RefusalReason::DeadlinePassed));
    }

    TEST_CASE_METHOD(RetryFixture, "RunnerFailed_budgetSpent_refusesWithRetryBudget")
    {
        std::size_t refused = 0;
        for (int i = 0; i < 12; ++i) {
            const AttemptId attempt = this->sentAttempt(this->submit("r" + std::to_string(i)));
            RoutingEffects ended = this->routing.handle(RunnerFailed { attempt, RetryReason::ConnectFailed, true }, this->now);
            refused += !ended.empty() && this->outcomeOf(ended) == notRun(RefusalReason::RetryBudget) ? 1 : 0;
            this->routing.handle(CallerGone { ReplyToken(this->nextToken) }, this->now);
        }

        CHECK(refused == 2);
    }

    TEST_CASE_METHOD(RetryFixture, "RunnerAnswered_afterManySuccesses_refillsTheBudgetByItsShare")
    {
        for (int i = 0; i < 12; ++i) {
            this->routing.handle(RunnerFailed { this->sentAttempt(this->submit("f" + std::to_string(i))), RetryReason::ConnectFailed, true }, this->now);
            this->routing.handle(CallerGone { ReplyToken(this->nextToken) }, this->now);
        }
        for (int i = 0; i < 11; ++i)
            this->routing.handle(RunnerAnswered { this->sentAttempt(this->submit("s" + std::to_string(i))), {} }, this->now);

        CHECK(this->routing.handle(RunnerFailed { this->sentAttempt(this->submit("x")), RetryReason::ConnectFailed, true }, this->now).empty());
    }

    TEST_CASE_METHOD(RetryFixture, "RunnerFailed_threeInARow_runnerIsEjectedForOneSecond")
    {
        for (int i = 0; i < 3; ++i) {
            RoutingEffects effects = this->submit("f" + std::to_string(i));
            while (std::get<SendToRunner>(effects.at(0)).runner != HostName("r1"))
                effects = this->submit("g" + std::to_string(this->nextToken));
            this->routing.handle(RunnerFailed { this->sentAttempt(effects), RetryReason::RunnerFailed, false }, this->now);
            this->answerAll();
        }

        CHECK(this->runnersOfFourRequests() == std::set<std::string> { "r2" });
        this->answerAll();
        this->advanceAndTick(std::chrono::seconds(1));
        CHECK(this->runnersOfFourRequests() == std::set<std::string> { "r1", "r2" });
    }

} // namespace
} // namespace dragonflytray
