#include "peers/peers.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // One exchange on a duty thread, with a ring of what it heard.
    struct RunningExchange {
        BoundedRing<PeerMessage> heard { { .capacity = 16 } };
        PeerExchange exchange { { .endpoint = { "127.0.0.1", 0 } }, [this](PeerMessage message) { (void)this->heard.tryPush(std::move(message)); } };
        Endpoint endpoint { this->exchange.start().value() };
        DutyThread thread { { .name = "peers" }, [this] { this->exchange.run(); } };

        ~RunningExchange() { this->exchange.stop(); }

        void send(const std::string& host, const Endpoint& peer)
        {
            this->exchange.post([this, host, peer] { this->exchange.send({ HostName("peer"), peer, { HostName(host), DataCentreName("dc1"), 3, "key", false } }); });
        }
    };

    struct PeerExchangeFixture {
        RunningExchange first;
        RunningExchange second;
    };

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_heartbeatSent_isHeardByPeer")
    {
        this->first.send("e1", this->second.endpoint);

        auto heard = this->second.heard.popWithin(std::chrono::seconds(10));

        REQUIRE(heard);
        const auto& heartbeat = std::get<PeerHeartbeat>(*heard);
        CHECK(heartbeat.host == HostName("e1"));
        CHECK(heartbeat.version == 3);
    }

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_shareReportSent_isHeardWhole")
    {
        SendShareReport sent { HostName("e2"), this->second.endpoint, {} };
        sent.report.host = HostName("e1");
        sent.report.incarnation = ~0ULL;
        sent.report.sequence = 4;
        sent.report.held = { { HostName("r1"), 3 } };
        this->first.exchange.post([&, sent] { this->first.exchange.send(sent); });

        auto heard = this->second.heard.popWithin(std::chrono::seconds(10));

        REQUIRE(heard);
        const auto& report = std::get<ShareReport>(*heard);
        CHECK(report.incarnation == ~0ULL);
        CHECK(report.sequence == 4);
        CHECK(report.held == sent.report.held);
    }

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_shareGrantSent_isHeardWhole")
    {
        SendShareGrant sent { this->second.endpoint, {} };
        sent.grant.leader = HostName("e1");
        sent.grant.endpoint = this->first.endpoint;
        sent.grant.epoch = 5;
        sent.grant.sequence = 2;
        sent.grant.shares = { { HostName("r1"), 8 } };
        this->first.exchange.post([&, sent] { this->first.exchange.send(sent); });

        auto heard = this->second.heard.popWithin(std::chrono::seconds(10));

        REQUIRE(heard);
        const auto& grant = std::get<ShareGrant>(*heard);
        CHECK(grant.endpoint == this->first.endpoint);
        CHECK(grant.epoch == 5);
        CHECK(grant.shares == sent.grant.shares);
    }

} // namespace
} // namespace dragonflytray
