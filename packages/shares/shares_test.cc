#include "shares/shares_simulation.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace dragonflytray {
namespace {

    // Three entry hosts that have run until the slots of every runner are divided among them.
    struct SharesFixture {
        SharesSimulation simulation { { .seed = 7, .entryHosts = 3, .runners = 2 } };
        const HostName e1 { "e1" };
        const HostName e2 { "e2" };
        const HostName e3 { "e3" };
        const HostName runner { "r1" };
        static constexpr int secondSteps = 10;

        SharesFixture() { this->simulation.runSteps(30 * secondSteps); }

        HostName nonLeader() { return this->simulation.leader()->host == this->e1 ? this->e2 : this->e1; }

        // maxUsableSlotsDuring() runs the simulation and returns the largest maxUsableSlots() of all steps.
        int maxUsableSlotsDuring(int seconds)
        {
            int maxSum = 0;
            for (int i = 0; i < seconds * secondSteps; ++i) {
                this->simulation.step();
                maxSum = std::max(maxSum, this->simulation.maxUsableSlots());
            }
            return maxSum;
        }

        // isEverySlotUsedWithin() runs the simulation until no slot is idle, and says whether that happened in time. It
        // doesn't check a single moment, since a slot is idle while it moves from one host to another.
        bool isEverySlotUsedWithin(int seconds)
        {
            for (int i = 0; i<seconds * secondSteps&& this->simulation.idleSlots()> 0; ++i)
                this->simulation.step();
            return this->simulation.idleSlots() == 0;
        }
    };

    TEST_CASE_METHOD(SharesFixture, "Shares_quietDataCentre_everySlotIsShared")
    {
        CHECK(this->isEverySlotUsedWithin(10));
        for (const HostName& host : { this->e1, this->e2, this->e3 })
            CHECK(this->simulation.usableSlots(host, this->runner) >= 1);
    }

    TEST_CASE_METHOD(SharesFixture, "Shares_leaderDeadDuringTableOutage_holdersKeepShares")
    {
        const HostName holder = this->nonLeader();
        this->simulation.setTableDown(true);
        this->simulation.kill(*this->simulation.leader());

        CHECK(this->maxUsableSlotsDuring(60) <= this->simulation.slotsPerRunner());
        CHECK(this->simulation.usableSlots(holder, this->runner) >= 1);
    }

    TEST_CASE_METHOD(SharesFixture, "Shares_holderHearsOnlyPeersWithoutGuards_losesShares")
    {
        const HostName holder = this->nonLeader();
        this->simulation.disconnectFromPlatform(holder);
        this->simulation.disconnect(holder, this->simulation.leader()->host);

        CHECK(this->maxUsableSlotsDuring(60) <= this->simulation.slotsPerRunner());
        CHECK(this->simulation.usableSlots(holder, this->runner) == 0);
        CHECK(this->isEverySlotUsedWithin(10));
    }

    TEST_CASE_METHOD(SharesFixture, "Shares_holderDisconnectedFromLeaderOnly_keepsShares")
    {
        const HostName holder = this->nonLeader();
        this->simulation.disconnect(holder, this->simulation.leader()->host);

        CHECK(this->maxUsableSlotsDuring(60) <= this->simulation.slotsPerRunner());
        CHECK(this->simulation.usableSlots(holder, this->runner) >= 1);
    }

    // Regression test for seed 2 of the long run: the leader numbered its grants to a released holder from 1 again, so that the holder ignored them
    // as old.
    TEST_CASE_METHOD(SharesFixture, "Shares_releasedHolderReturns_isGrantedSharesAgain")
    {
        const HostName holder = this->nonLeader();
        this->simulation.delist(holder);
        this->simulation.pause(this->simulation.process(holder), std::chrono::seconds(40));

        CHECK(this->maxUsableSlotsDuring(39) <= this->simulation.slotsPerRunner());
        CHECK(this->maxUsableSlotsDuring(60) <= this->simulation.slotsPerRunner());
        CHECK(this->simulation.usableSlots(holder, this->runner) >= 1);
        CHECK(this->isEverySlotUsedWithin(10));
    }

    ShareReport reportOf(const HostName& host, const Endpoint& endpoint, Incarnation incarnation, std::vector<SlotShare> held)
    {
        ShareReport report;
        report.host = host;
        report.endpoint = endpoint;
        report.incarnation = incarnation;
        report.sequence = 1;
        report.held = std::move(held);
        return report;
    }

    // Regression test for seed 2 of the long run: the listed process didn't reach the leader while an earlier process with its name still reported.
    // The leader then released the slots of the listed process, which still used them.
    TEST_CASE("ShareAllocator_listedProcessSilentWhileNamesakeReports_keepsItsSlots")
    {
        const HostName host { "e1" };
        const HostName runner { "r1" };
        const Endpoint listed { "10.0.0.1", 2 };
        const Endpoint other { "10.0.0.2", 2 };
        Instant now { std::chrono::seconds(100) };
        ShareAllocator allocator({ .releaseTimeout = std::chrono::seconds(10) }, now);
        allocator.changeHosts({ { host, listed }, { HostName("e2"), other } }, { { runner, 8 } }, now);
        allocator.applyReport(reportOf(host, listed, 2, { { runner, 8 } }), now);
        allocator.finishRecovery();

        // Nobody else gets slots, since the listed process may use them as long as it is listed.
        now += std::chrono::seconds(60);
        allocator.applyReport(reportOf(host, { "10.0.0.1", 1 }, 1, {}), now);
        allocator.applyReport(reportOf(HostName("e2"), other, 3, {}), now);
        allocator.releaseExpired(now, true);

        for (const ShareAllocator::Holder* holder : allocator.rebalance(now))
            CHECK((holder->id.incarnation == 2 || holder->granted.empty()));
    }

    // A holder in a data centre with guards, after the host list shows another process under its name.
    struct ReplacedHolderFixture {
        Shares holder { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .peerEndpoint = { "10.0.0.1", 1 }, .incarnation = 7 } };
        Instant now { std::chrono::hours(1) };

        ReplacedHolderFixture()
        {
            auto declaration = std::make_shared<Declaration>();
            declaration->workers.push_back({ DataCentreName("dc1"), true });
            this->holder.handle(ChangeConfiguration { { 1, declaration } }, this->now);
            this->holder.handle(ChangeHosts { { this->entryHost("e1", 2), this->entryHost("e2", 3) } }, this->now);
            this->holder.handle(LeaderChanged { HostName("e2"), 2, false, this->now }, this->now);
            this->holder.handle(SharesTick {}, this->now);
            ShareGrant grant;
            grant.leader = HostName("e2");
            grant.epoch = 2;
            grant.holder = HostName("e1");
            grant.incarnation = 7;
            grant.reportSequence = 1;
            grant.sequence = 1;
            grant.shares = { { HostName("r1"), 3 } };
            this->holder.handle(ShareGrantReceived { grant }, this->now);
        }

        static Host entryHost(const std::string& name, std::uint16_t port)
        {
            Host host;
            host.name = HostName(name);
            host.kind = HostKind::EntryHost;
            host.dataCentre = DataCentreName("dc1");
            host.peerEndpoint = { "10.0.0.1", port };
            return host;
        }

        // advance() advances the time in steps of a second, each with a read of the host list if `isListRead` is set.
        void advance(int seconds, bool isListRead)
        {
            for (int i = 0; i < seconds; ++i) {
                this->now += std::chrono::seconds(1);
                if (isListRead)
                    this->holder.handle(HostListConfirmed { this->now }, this->now);
                this->holder.handle(SharesTick {}, this->now);
            }
        }

        bool holdsShares() const { return !std::get<SharesSummary>(this->holder.ask(SharesSummaryQuery {}, this->now)).shares.empty(); }
    };

    TEST_CASE_METHOD(ReplacedHolderFixture, "Shares_holderDelistedForIsolationTimeoutWithGuards_losesShares")
    {
        CHECK(this->holdsShares());
        this->advance(5, true);
        CHECK(this->holdsShares());
        this->advance(7, true);
        CHECK_FALSE(this->holdsShares());
    }

    TEST_CASE_METHOD(ReplacedHolderFixture, "Shares_listIsNotReadAnyMoreWithGuards_keepsShares")
    {
        this->advance(1, true);
        this->advance(60, false);
        CHECK(this->holdsShares());
    }

    TEST_CASE("Apportion_demandOnOneSide_keepsOneSlotForTheOther")
    {
        const std::vector<double> targets = apportion(8, { 1, 1000 });

        CHECK(targets[0] >= 1);
        CHECK(std::accumulate(targets.begin(), targets.end(), 0.0) == Approx(8));
    }

} // namespace
} // namespace dragonflytray
