#include "peers/peers.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // One exchange on a duty thread, with a ring of what it heard.
    struct RunningExchange {
        BoundedRing<PeerHeartbeat> heard { { .capacity = 16 } };
        PeerExchange exchange { { .endpoint = { "127.0.0.1", 0 } }, [this](PeerHeartbeat heartbeat) { (void)this->heard.tryPush(std::move(heartbeat)); } };
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
        CHECK(heard->host == HostName("e1"));
        CHECK(heard->version == 3);
    }

} // namespace
} // namespace dragonflytray
