#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    constexpr int steps = 120000;
    constexpr int requestIds = 4000; // few, so that ids are repeated
    constexpr Duration drainTime = std::chrono::seconds(20);

    // A world around one entry host that goes wrong at random: runners, peers, table, lists and callers.
    class RandomWorld {
    public:
        explicit RandomWorld(std::uint64_t seed)
            : random(seed)
            , routing({ .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .seed = seed, .shareSource = ShareSource::Assigned, .explainedRequests = 50 })
        {
            Declaration declaration;
            declaration.linkBytesPerSecond = 20000;
            declaration.regions = { { RegionName("near"), { DataCentreName("dc1"), DataCentreName("dc2") } }, { RegionName("far"), { DataCentreName("dc3") } } };
            declaration.teams = { { .name = TeamName("t0") }, { .name = TeamName("t1"), .weight = 3 }, { .name = TeamName("t2"), .requestsInFlight = 20 } };
            declaration.services = { { .name = ServiceName("s0"), .queueLimit = 32 }, { .name = ServiceName("s1"), .queueLimit = 8 } };
            this->decide(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } });
            this->changeHosts();
            this->changeShares();
        }

        void step()
        {
            using Action = void (RandomWorld::*)();
            // Common actions stand more than once.
            static constexpr std::array<Action, 16> actions {
                &RandomWorld::submit, &RandomWorld::submit, &RandomWorld::submit, &RandomWorld::endAttempt, &RandomWorld::endAttempt, &RandomWorld::endAttempt,
                &RandomWorld::endAttempt, &RandomWorld::answerTable, &RandomWorld::answerTable, &RandomWorld::pass, &RandomWorld::pass, &RandomWorld::answerLate,
                &RandomWorld::changeHosts, &RandomWorld::changeShares, &RandomWorld::leave, &RandomWorld::flood
            };
            (this->*actions[this->draw(actions.size())])();
        }

        // Ends everything that is open; after it the routing must be idle.
        void drain()
        {
            for (Duration passed {}; passed < drainTime; passed += std::chrono::milliseconds(100)) {
                while (!this->attempts.empty())
                    this->endAttempt();
                while (!this->transactions.empty())
                    this->answerTable();
                this->now += std::chrono::milliseconds(100);
                this->decide(RoutingTick {});
            }
        }

        bool isIdle() const { return this->routing.isIdle(); }
        RoutingSummary summary() const { return std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {})); }

        std::size_t highestOpen { 0 };
        std::uint64_t submitted { 0 };
        std::uint64_t ended { 0 };

    private:
        struct Row {
            RowVersion version { 0 };
            TransactionId writer;
        };

        std::uint64_t draw(std::uint64_t limit) { return this->random() % limit; }
        bool isChance(unsigned percent) { return this->draw(100) < percent; }

        void decide(const RoutingCommand& command)
        {
            for (const RoutingEffect& effect : this->routing.handle(command, this->now))
                std::visit([this](const auto& value) { this->carryOut(value); }, effect);
            const RoutingSummary summary = this->summary();
            this->highestOpen = std::max(this->highestOpen, summary.waiting + summary.inFlight);
        }

        void carryOut(const SendToRunner& send) { this->start(send.attempt, send.request); }
        void carryOut(const ForwardToPeer& forward)
        {
            REQUIRE(forward.request.source == RequestSource::Caller);
            this->start(forward.attempt, forward.request);
        }
        void carryOut(const StartWatch&) { }
        void carryOut(const SharesHeld&) { }
        void carryOut(const WriteTransaction& write) { this->transactions.push_back(write.transaction); }

        void carryOut(const ReplyToCaller& reply)
        {
            REQUIRE(this->open.erase(reply.token) == 1);
            ++this->ended;
            if (reply.outcome.kind == OutcomeKind::NotRun)
                REQUIRE(!this->maybeRun.contains(reply.token));
        }

        void start(AttemptId attempt, const Request& request)
        {
            this->attempts.emplace_back(attempt, request);
            if (request.idempotency == Idempotency::Idempotent)
                return;
            // The only attempt of a non-idempotent id that is open or may have been run.
            REQUIRE(this->claimedIds.insert(request.id).second);
        }

        void submit()
        {
            Request request;
            request.team = TeamName("t" + std::to_string(this->draw(3)));
            request.id = RequestId(request.team.value() + "-" + std::to_string(this->draw(requestIds)));
            request.service = ServiceName("s" + std::to_string(this->draw(2)));
            request.priority = static_cast<Priority>(this->draw(priorityNames.size()));
            request.source = this->isChance(10) ? RequestSource::Peer : RequestSource::Caller;
            request.idempotency = this->isChance(50) || request.source == RequestSource::Peer ? Idempotency::Idempotent : Idempotency::NonIdempotent;
            request.deadline = this->now + std::chrono::milliseconds(this->draw(2000));
            request.body = std::make_shared<const std::string>(this->draw(500), 'x');
            const ReplyToken token { ++this->submitted };
            this->open.insert(token);
            this->tokens[request.body.get()] = token;
            this->decide(SubmitRequest { token, request });
        }

        void flood()
        {
            for (std::uint64_t i = this->isChance(2) ? 200 : 1; i > 0; --i)
                this->submit();
        }

        void endAttempt()
        {
            if (this->attempts.empty())
                return;
            const auto chosen = this->attempts.begin() + static_cast<std::ptrdiff_t>(this->draw(this->attempts.size()));
            const auto [attempt, request] = *chosen;
            this->attempts.erase(chosen);
            const bool isSurelyNotRun = this->isChance(15);
            if (!isSurelyNotRun && this->isChance(80))
                return this->decide(RunnerAnswered { attempt, "answer" });
            if (isSurelyNotRun)
                this->claimedIds.erase(request.id);
            else
                this->maybeRun.insert(this->tokens.at(request.body.get()));
            this->decide(RunnerFailed { attempt, static_cast<RetryReason>(this->draw(5)), isSurelyNotRun });
        }

        void answerLate() { this->decide(RunnerAnswered { AttemptId(this->draw(1000) + 1000000), "crossed" }); }

        void answerTable()
        {
            if (this->transactions.empty())
                return;
            const Transaction transaction = this->transactions.front();
            this->transactions.pop_front();
            TransactionResult result { transaction.id, TransactionStatus::Unavailable, 0, {} };
            if (this->isChance(10))
                return this->decide(result);
            const bool isLost = this->isChance(20);
            if (!isLost || this->isChance(50))
                this->apply(transaction, result);
            if (isLost)
                result = { transaction.id, TransactionStatus::Ambiguous, 0, {} };
            this->decide(result);
        }

        void apply(const Transaction& transaction, TransactionResult& result)
        {
            const RowCondition& condition = transaction.conditions.at(0);
            const Row row = this->rows.contains(condition.key) ? this->rows.at(condition.key) : Row {};
            if (row.version != condition.version) {
                result.status = TransactionStatus::Conflict;
                result.conflicts = { { condition.key, row.version, row.writer, std::nullopt } };
                return;
            }
            result.status = TransactionStatus::Committed;
            result.revision = ++this->revision;
            for (const RowWrite& write : transaction.writes)
                this->rows[write.key] = { this->revision, transaction.id };
            for (const RowKey& key : transaction.deletes)
                this->rows.erase(key);
        }

        void pass()
        {
            this->now += std::chrono::milliseconds(this->isChance(1) ? this->draw(3000) : this->draw(20));
            this->decide(RoutingTick {});
        }

        void leave()
        {
            const ReplyToken token { this->draw(this->submitted + 1) };
            const std::uint64_t before = this->summary().refusals[RefusalReason::CallerGone];
            this->decide(CallerGone { token });
            if (this->summary().refusals[RefusalReason::CallerGone] == before)
                return;
            REQUIRE(this->open.erase(token) == 1);
            ++this->ended;
        }

        void changeHosts()
        {
            std::vector<Host> hosts;
            for (int i = 0; i < 12; ++i) {
                Host host;
                host.name = HostName("r" + std::to_string(i));
                host.kind = HostKind::Runner;
                host.state = this->isChance(10) ? HostState::Leaving : HostState::Live;
                host.dataCentre = DataCentreName("dc" + std::to_string(1 + i % 4 / 2));
                host.service = ServiceName("s" + std::to_string(i % 2));
                host.slots = 4;
                if (!this->isChance(10))
                    hosts.push_back(host);
            }
            for (int i = 1; i <= 3; ++i) {
                Host host;
                host.name = HostName("e" + std::to_string(i));
                host.kind = HostKind::EntryHost;
                host.dataCentre = DataCentreName("dc" + std::to_string(i));
                if (!this->isChance(10))
                    hosts.push_back(host);
            }
            this->decide(ChangeHosts { hosts });
        }

        void changeShares()
        {
            ChangeShares change;
            for (int i = 0; i < 12; ++i)
                change.shares.push_back({ HostName("r" + std::to_string(i)), static_cast<int>(this->draw(5)) });
            this->decide(change);
        }

        std::mt19937_64 random;
        Instant now { std::chrono::seconds(100) };
        Routing routing;
        std::set<ReplyToken> open;
        std::map<const std::string*, ReplyToken> tokens; // by the body, which belongs to one submission
        std::set<ReplyToken> maybeRun;
        std::set<RequestId> claimedIds;
        std::vector<std::pair<AttemptId, Request>> attempts;
        std::deque<Transaction> transactions;
        std::map<RowKey, Row> rows;
        RowVersion revision { 0 };
    };

    TEST_CASE("LongRun_everythingGoesWrongAtRandom_invariantsHold")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3);
        INFO("seed " << seed);
        RandomWorld world(seed);

        for (int i = 0; i < steps; ++i)
            world.step();
        world.drain();

        CHECK(world.isIdle());
        CHECK(world.submitted == world.ended);
        CHECK(world.highestOpen < 400);
        CHECK(world.summary().answered > 1000);
    }

} // namespace
} // namespace dragonflytray
