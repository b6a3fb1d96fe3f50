#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // The entry host writes a row to the table before it sends a non-idempotent request.
    struct ClaimFixture : RoutingFixture {
        ClaimFixture()
        {
            this->options.shouldClaim = true;
            this->restart();
        }

        Transaction claimOf(const RoutingEffects& effects) { return std::get<WriteTransaction>(effects.at(0)).transaction; }

        RoutingEffects finish(const Transaction& transaction, TransactionStatus status, std::vector<RowChange> conflicts = {})
        {
            return this->routing.handle(TransactionResult { transaction.id, status, 7, std::move(conflicts) }, this->now);
        }

        Outcome outcomeOf(const RoutingEffects& effects) { return std::get<ReplyToCaller>(effects.at(0)).outcome; }

        RowChange rowBy(const TransactionId& writer) { return { { RowKind::Request, "desk/a" }, 7, writer, RequestRow { HostName("e1") } }; }
    };

    TEST_CASE_METHOD(ClaimFixture, "SubmitRequest_nonIdempotent_isSentOnlyAfterItsRowIsWritten")
    {
        const Transaction transaction = this->claimOf(this->submit("a"));

        CHECK(transaction.conditions.at(0).key == RowKey { RowKind::Request, "desk/a" });
        CHECK(transaction.conditions.at(0).version == 0);
        CHECK(std::holds_alternative<SendToRunner>(this->finish(transaction, TransactionStatus::Committed).at(0)));
    }

    TEST_CASE_METHOD(ClaimFixture, "SubmitRequest_idempotent_writesNoRow")
    {
        CHECK(std::holds_alternative<SendToRunner>(this->submit("a", Idempotency::Idempotent).at(0)));
    }

    TEST_CASE_METHOD(ClaimFixture, "TransactionResult_rowOfAnother_refusesAsDuplicateWithUnknown")
    {
        const Transaction transaction = this->claimOf(this->submit("a"));

        RoutingEffects effects = this->finish(transaction, TransactionStatus::Conflict, { this->rowBy(TransactionId("other")) });

        CHECK(this->outcomeOf(effects) == unknown(RefusalReason::DuplicateRequest));
    }

    TEST_CASE_METHOD(ClaimFixture, "TransactionResult_answerLostAfterTheWrite_isReadBackAndSentOnce")
    {
        const Transaction transaction = this->claimOf(this->submit("a"));
        CHECK(this->finish(transaction, TransactionStatus::Ambiguous).empty());

        RoutingEffects again = this->advanceAndTick(std::chrono::milliseconds(50));
        CHECK(this->claimOf(again).id == transaction.id);
        RoutingEffects effects = this->finish(transaction, TransactionStatus::Conflict, { this->rowBy(transaction.id) });

        REQUIRE(effects.size() == 1);
        CHECK(std::holds_alternative<SendToRunner>(effects[0]));
    }

    TEST_CASE_METHOD(ClaimFixture, "TransactionResult_storeDown_refusesWithStoreUnavailable")
    {
        CHECK(this->outcomeOf(this->finish(this->claimOf(this->submit("a")), TransactionStatus::Unavailable)) == notRun(RefusalReason::StoreUnavailable));
    }

    TEST_CASE_METHOD(ClaimFixture, "Tick_claimedRequestNeverSent_deletesItsRow")
    {
        const Transaction transaction = this->claimOf(this->submit("a"));
        this->setRunners({});
        this->finish(transaction, TransactionStatus::Committed);

        RoutingEffects effects = this->advanceAndTick(std::chrono::seconds(2));

        const Transaction release = this->claimOf(effects);
        CHECK(release.deletes.at(0) == RowKey { RowKind::Request, "desk/a" });
        CHECK(release.conditions.at(0).version == 7);
        CHECK(std::get<ReplyToCaller>(effects.at(1)).outcome == notRun(RefusalReason::DeadlinePassed));
    }

    TEST_CASE_METHOD(ClaimFixture, "TransactionResult_committedAfterTheCallerLeft_deletesItsRow")
    {
        const Transaction transaction = this->claimOf(this->submit("a"));
        CHECK(this->routing.handle(CallerGone { ReplyToken(1) }, this->now).empty());

        CHECK(this->claimOf(this->finish(transaction, TransactionStatus::Committed)).deletes.size() == 1);
        CHECK(this->routing.isIdle());
    }

} // namespace
} // namespace dragonflytray
