#include "membership/membership.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct MembershipFixture {
        Membership membership { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        std::string text { "customer: a\nregions: []\nteams: []\n" };

        // apply() runs one apply to its reply, with `status` as the result of its transaction.
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

    TEST_CASE_METHOD(MembershipFixture, "HeartbeatReceived_lowerVersion_changesNothing")
    {
        this->apply(0, TransactionStatus::Committed);

        MembershipEffects effects = this->membership.handle(HeartbeatReceived { { HostName("e2"), DataCentreName("dc1"), 0, "", false } }, this->now);

        CHECK(effects.empty());
        CHECK(this->version() == 1);
    }

    struct HostViewFixture : MembershipFixture {
        HostViewFixture()
        {
            this->peer.name = HostName("e2");
            this->peer.kind = HostKind::EntryHost;
            this->receiveHeartbeat(false);
            this->readHostList({ this->peer });
        }

        MembershipEffects receiveHeartbeat(bool isLeaving) { return this->membership.handle(HeartbeatReceived { { HostName("e2"), DataCentreName("dc1"), 0, "", isLeaving } }, this->now); }
        MembershipEffects readHostList(std::vector<Host> hosts) { return this->membership.handle(HostListRead { true, std::move(hosts) }, this->now); }
        HostStatus hostStatus() const { return std::get<MembershipStatus>(this->membership.ask(StatusQuery {}, this->now)).hostStatuses.at(0); }

        Host peer;
    };

    TEST_CASE_METHOD(HostViewFixture, "HeartbeatReceived_leaving_isPublishedBeforeTheListShowsIt")
    {
        const MembershipEffects effects = this->receiveHeartbeat(true);

        REQUIRE(effects.size() == 1);
        CHECK(std::get<PublishHosts>(effects[0]).hosts.at(0).state == HostState::Leaving);
        CHECK(this->hostStatus().liveness == HostLiveness::Leaving);
    }

    TEST_CASE_METHOD(HostViewFixture, "HostView_silentPeer_isSuspectedWithItsAge")
    {
        CHECK(this->hostStatus().liveness == HostLiveness::Live);

        this->now += std::chrono::seconds(4);

        CHECK(this->hostStatus().liveness == HostLiveness::Suspected);
        CHECK(this->hostStatus().age == std::chrono::seconds(4));
    }

    TEST_CASE_METHOD(HostViewFixture, "HostListRead_peerMissing_isGoneForTheRetentionTime")
    {
        this->readHostList({});

        CHECK(this->hostStatus().liveness == HostLiveness::Gone);
        this->now += std::chrono::seconds(61);
        this->membership.handle(MembershipTick {}, this->now);
        CHECK(std::get<MembershipStatus>(this->membership.ask(StatusQuery {}, this->now)).hostStatuses.empty());
    }

    TEST_CASE_METHOD(HostViewFixture, "IsReady_onlyListOrOnlyConfiguration_isFalse")
    {
        CHECK_FALSE(this->membership.isReady());
        this->apply(0, TransactionStatus::Committed);
        CHECK(this->membership.isReady());
        MembershipFixture withoutList;
        withoutList.apply(0, TransactionStatus::Committed);
        CHECK_FALSE(withoutList.membership.isReady());
    }

    TEST_CASE_METHOD(MembershipFixture, "ApplyDeclaration_lostRace_replyListsDifferences")
    {
        this->apply(0, TransactionStatus::Committed);
        this->text = "customer: b\nregions: []\nteams: []\n";

        const ReplyToOperator reply = this->apply(0, TransactionStatus::Committed);

        REQUIRE(reply.changes.size() == 1);
        CHECK(describeChange(reply.changes[0]) == "changed customer: a -> b");
    }

} // namespace
} // namespace dragonflytray
