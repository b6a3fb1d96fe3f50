#include "membership/membership.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct MembershipFixture {
        Membership membership { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        std::string text { "customer: a\nregions: []\nteams: []\n" };

        // apply() carries one apply through to the end with the given status of its transaction.
        ReplyToOperator apply(ConfigurationVersion base, TransactionStatus status)
        {
            MembershipEffects effects = this->membership.handle(ApplyDeclaration { ReplyToken(1), "a.yaml", this->text, base }, this->now);
            if (const auto* refused = std::get_if<ReplyToOperator>(&effects.back()))
                return *refused;
            const std::string key = std::get<WriteObject>(effects.back()).key;
            effects = this->membership.handle(ObjectWritten { key, true }, this->now);
            const TransactionId id = std::get<WriteTransaction>(effects.back()).transaction.id;
            return std::get<ReplyToOperator>(this->membership.handle(TransactionResult { id, status, 5, {} }, this->now).back());
        }

        ConfigurationVersion version() const
        {
            return std::get<MembershipStatus>(this->membership.ask(StatusQuery {}, this->now)).version;
        }
    };

    TEST_CASE_METHOD(MembershipFixture, "ApplyDeclaration_committed_isInForce")
    {
        CHECK(this->apply(0, TransactionStatus::Committed).status == ApplyStatus::Applied);
        CHECK(this->version() == 1);
    }

    TEST_CASE_METHOD(MembershipFixture, "ApplyDeclaration_oldBase_isAConflict")
    {
        this->apply(0, TransactionStatus::Committed);

        ReplyToOperator reply = this->apply(0, TransactionStatus::Committed);

        CHECK(reply.status == ApplyStatus::Conflict);
        CHECK(reply.version == 1);
    }

    TEST_CASE_METHOD(MembershipFixture, "PeerHeard_lowerVersion_changesNothing")
    {
        this->apply(0, TransactionStatus::Committed);

        MembershipEffects effects = this->membership.handle(PeerHeard { { HostName("e2"), DataCentreName("dc1"), 0, "", false } }, this->now);

        CHECK(effects.empty());
        CHECK(this->version() == 1);
    }

} // namespace
} // namespace dragonflytray
