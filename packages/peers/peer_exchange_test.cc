#include "peers/peers.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

namespace dragonflytray {
namespace {

    // One exchange on a duty thread, with a ring of what it heard.
    struct RunningExchange {
        BoundedRing<PeerMessage> heard { { .capacity = 16 } };
        PeerExchange exchange { { .endpoint = { "127.0.0.1", 0 } }, [this](PeerMessage message) { (void)this->heard.tryPush(std::move(message)); } };
        Endpoint endpoint { this->exchange.start().value() };
        BoundedRing<int> ended { { .capacity = 1 } };
        DutyThread thread { { .name = "peers" }, [this] {
                               this->exchange.run();
                               (void)this->ended.tryPush(1);
                           } };

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
    // stopAndAwait() stops the exchange and returns whether run() returned in time.
    bool stopAndAwait(RunningExchange& running)
    {
        running.exchange.stop();
        return running.ended.popWithin(std::chrono::seconds(10)).has_value();
    }

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_postAfterStop_isDropped")
    {
        REQUIRE(stopAndAwait(this->first));

        bool hasRun = false;
        this->first.exchange.post([&hasRun] { hasRun = true; });

        CHECK_FALSE(hasRun);
    }

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_sendAfterStop_isDropped")
    {
        REQUIRE(stopAndAwait(this->first));

        this->first.exchange.send(SendShareReport { HostName("e2"), this->second.endpoint, {} });

        CHECK_FALSE(this->second.heard.popWithin(std::chrono::milliseconds(100)));
    }

    TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange_stoppedTwice_endsOnce")
    {
        REQUIRE(stopAndAwait(this->first));

        this->first.exchange.stop();

        CHECK_FALSE(this->first.ended.tryPop());
    }

    // An exchange that holds the first message it hears until the test releases it.
    struct HeldMessageFixture {
        RunningExchange sender;
        BoundedRing<int> held { { .capacity = 1 } };
        BoundedRing<int> released { { .capacity = 1 } };
        BoundedRing<int> ended { { .capacity = 1 } };
        PeerExchange exchange { { .endpoint = { "127.0.0.1", 0 } }, [this](const PeerMessage&) {
                                   (void)this->held.tryPush(1);
                                   (void)this->released.popWithin(std::chrono::seconds(10));
                               } };
        Endpoint endpoint { this->exchange.start().value() };
        DutyThread thread { { .name = "peers" }, [this] {
                               this->exchange.run();
                               (void)this->ended.tryPush(1);
                           } };

        ~HeldMessageFixture() { this->exchange.stop(); }
    };

    TEST_CASE_METHOD(HeldMessageFixture, "PeerExchange_stoppedWhileMessageIsHandled_ends")
    {
        this->sender.send("e1", this->endpoint);
        REQUIRE(this->held.popWithin(std::chrono::seconds(10)));

        DutyThread stopper { { .name = "stopper" }, [this] { this->exchange.stop(); } };
        CHECK_FALSE(this->ended.popWithin(std::chrono::milliseconds(100)));
        (void)this->released.tryPush(1);

        CHECK(this->ended.popWithin(std::chrono::seconds(10)));
    }

    // Two exchanges that send to each other from threads of their own, before, while and after both stop.
    struct BusyExchanges : PeerExchangeFixture {
        std::atomic<bool> isOver { false };
        DutyThread firstSender { { .name = "first-sender" }, [this] { this->sendUntilOver(this->first, this->second); } };
        DutyThread otherFirstSender { { .name = "first-sender-2" }, [this] { this->sendUntilOver(this->first, this->second); } };
        DutyThread secondSender { { .name = "second-sender" }, [this] { this->sendUntilOver(this->second, this->first); } };

        ~BusyExchanges() { this->isOver = true; }

        void sendUntilOver(RunningExchange& from, const RunningExchange& to)
        {
            while (!this->isOver) {
                from.send("e1", to.endpoint);
                std::this_thread::sleep_for(std::chrono::microseconds(100));
            }
        }
    };

    TEST_CASE("PeerExchange_stoppedWhileOthersSend_endsEachTime")
    {
        for (int round = 0; round < 50; ++round) {
            BusyExchanges busy;
            REQUIRE(busy.second.heard.popWithin(std::chrono::seconds(10)));
            REQUIRE(busy.first.heard.popWithin(std::chrono::seconds(10)));

            REQUIRE(stopAndAwait(busy.first));
            REQUIRE(stopAndAwait(busy.second));
        }
    }

} // namespace
} // namespace dragonflytray
