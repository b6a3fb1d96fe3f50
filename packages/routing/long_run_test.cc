#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    constexpr int stepsPerSeed = 120000;
    constexpr int requestIdCount = 4000; // few enough that ids are repeated
    constexpr Duration drainDuration = std::chrono::seconds(20);

    // RandomEnvironment injects random faults of runners, peers, table, host lists and callers around one entry host.
    class RandomEnvironment {
    public:
        explicit RandomEnvironment(std::uint64_t seed)
            : random(seed)
            , routing({ .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .seed = seed, .shareSource = ShareSource::Assigned, .maxExplainedRequests = 50 })
        {
            Declaration declaration;
            declaration.linkBytesPerSecond = 20000;
            declaration.regions = { { RegionName("near"), { DataCentreName("dc1"), DataCentreName("dc2") } }, { RegionName("far"), { DataCentreName("dc3") } } };
            declaration.teams = { { .name = TeamName("t0") }, { .name = TeamName("t1"), .weight = 3 }, { .name = TeamName("t2"), .maxRequestsInFlight = 20 } };
            declaration.services = { { .name = ServiceName("s0"), .queueLimit = 32 }, { .name = ServiceName("s1"), .queueLimit = 8 } };
            this->handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } });
            this->changeHosts();
            this->changeShares();
        }

        void step()
        {
            using Action = void (RandomEnvironment::*)();
            // Frequent actions are listed more than once.
            static constexpr std::array<Action, 16> actions {
                &RandomEnvironment::submit, &RandomEnvironment::submit, &RandomEnvironment::submit, &RandomEnvironment::endAttempt, &RandomEnvironment::endAttempt, &RandomEnvironment::endAttempt,
                &RandomEnvironment::endAttempt, &RandomEnvironment::answerTable, &RandomEnvironment::answerTable, &RandomEnvironment::advanceTime, &RandomEnvironment::advanceTime, &RandomEnvironment::answerLate,
                &RandomEnvironment::changeHosts, &RandomEnvironment::changeShares, &RandomEnvironment::disconnectCaller, &RandomEnvironment::flood
            };
            (this->*actions[this->randomBelow(actions.size())])();
        }

        // drain() ends all attempts and transactions, after which the routing must be idle.
        void drain()
        {
            for (Duration passed {}; passed < drainDuration; passed += std::chrono::milliseconds(100)) {
                while (!this->attempts.empty())
                    this->endAttempt();
                while (!this->transactions.empty())
                    this->answerTable();
                this->now += std::chrono::milliseconds(100);
                this->handle(RoutingTick {});
            }
        }

        bool isIdle() const { return this->routing.isIdle(); }
        RoutingSummary summary() const { return std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {})); }

        std::size_t maxOpenRequests { 0 };
        std::uint64_t submitted { 0 };
        std::uint64_t ended { 0 };

    private:
        struct Row {
            RowVersion version { 0 };
            TransactionId writer;
        };

        std::uint64_t randomBelow(std::uint64_t limit) { return this->random() % limit; }
        bool shouldHappen(unsigned percent) { return this->randomBelow(100) < percent; }

        void handle(const RoutingCommand& command)
        {
            for (const RoutingEffect& effect : this->routing.handle(command, this->now))
                std::visit([this](const auto& value) { this->execute(value); }, effect);
            const RoutingSummary summary = this->summary();
            this->maxOpenRequests = std::max(this->maxOpenRequests, summary.waiting + summary.inFlight);
        }

        void execute(const SendToRunner& send) { this->start(send.attempt, send.request); }
        void execute(const ForwardToPeer& forward)
        {
            REQUIRE(forward.request.source == RequestSource::Caller);
            this->start(forward.attempt, forward.request);
        }
        void execute(const StartWatch&) { }
        void execute(const SharesHeld&) { }
        void execute(const WriteTransaction& write) { this->transactions.push_back(write.transaction); }

        void execute(const ReplyToCaller& reply)
        {
            REQUIRE(this->openTokens.erase(reply.token) == 1);
            ++this->ended;
            if (reply.outcome.kind == OutcomeKind::NotRun)
                REQUIRE(!this->maybeRunTokens.contains(reply.token));
        }

        void start(AttemptId attempt, const Request& request)
        {
            this->attempts.emplace_back(attempt, request);
            if (request.idempotency == Idempotency::Idempotent)
                return;
            // A non-idempotent id has at most one attempt that is in flight or may have been run.
            REQUIRE(this->claimedIds.insert(request.id).second);
        }

        void submit()
        {
            Request request;
            request.team = TeamName("t" + std::to_string(this->randomBelow(3)));
            request.id = RequestId(request.team.value() + "-" + std::to_string(this->randomBelow(requestIdCount)));
            request.service = ServiceName("s" + std::to_string(this->randomBelow(2)));
            request.priority = static_cast<Priority>(this->randomBelow(priorityNames.size()));
            request.source = this->shouldHappen(10) ? RequestSource::Peer : RequestSource::Caller;
            request.idempotency = this->shouldHappen(50) || request.source == RequestSource::Peer ? Idempotency::Idempotent : Idempotency::NonIdempotent;
            request.deadline = this->now + std::chrono::milliseconds(this->randomBelow(2000));
            request.body = std::make_shared<const std::string>(this->randomBelow(500), 'x');
            const ReplyToken token { ++this->submitted };
            this->openTokens.insert(token);
            this->tokens[request.body.get()] = token;
            this->handle(SubmitRequest { token, request });
        }

        void flood()
        {
            for (std::uint64_t i = this->shouldHappen(2) ? 200 : 1; i > 0; --i)
                this->submit();
        }

        void endAttempt()
        {
            if (this->attempts.empty())
                return;
            const auto chosen = this->attempts.begin() + static_cast<std::ptrdiff_t>(this->randomBelow(this->attempts.size()));
            const auto [attempt, request] = *chosen;
            this->attempts.erase(chosen);
            const bool isKnownNotRun = this->shouldHappen(15);
            if (!isKnownNotRun && this->shouldHappen(80))
                return this->handle(RunnerAnswered { attempt, "answer" });
            if (isKnownNotRun)
                this->claimedIds.erase(request.id);
            else
                this->maybeRunTokens.insert(this->tokens.at(request.body.get()));
            this->handle(RunnerFailed { attempt, static_cast<RetryReason>(this->randomBelow(5)), isKnownNotRun });
        }

        void answerLate() { this->handle(RunnerAnswered { AttemptId(this->randomBelow(1000) + 1000000), "late" }); }

        void answerTable()
        {
            if (this->transactions.empty())
                return;
            const Transaction transaction = this->transactions.front();
            this->transactions.pop_front();
            TransactionResult result { transaction.id, TransactionStatus::Unavailable, 0, {} };
            if (this->shouldHappen(10))
                return this->handle(result);
            const bool isAnswerLost = this->shouldHappen(20);
            if (!isAnswerLost || this->shouldHappen(50))
                this->apply(transaction, result);
            if (isAnswerLost)
                result = { transaction.id, TransactionStatus::Ambiguous, 0, {} };
            this->handle(result);
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

        void advanceTime()
        {
            this->now += std::chrono::milliseconds(this->shouldHappen(1) ? this->randomBelow(3000) : this->randomBelow(20));
            this->handle(RoutingTick {});
        }

        void disconnectCaller()
        {
            const ReplyToken token { this->randomBelow(this->submitted + 1) };
            const std::uint64_t before = this->summary().refusals[RefusalReason::CallerGone];
            this->handle(CallerGone { token });
            if (this->summary().refusals[RefusalReason::CallerGone] == before)
                return;
            REQUIRE(this->openTokens.erase(token) == 1);
            ++this->ended;
        }

        void changeHosts()
        {
            std::vector<Host> hosts;
            for (int i = 0; i < 12; ++i) {
                Host host;
                host.name = HostName("r" + std::to_string(i));
                host.kind = HostKind::Runner;
                host.state = this->shouldHappen(10) ? HostState::Leaving : HostState::Live;
                host.dataCentre = DataCentreName("dc" + std::to_string(1 + i % 4 / 2));
                host.service = ServiceName("s" + std::to_string(i % 2));
                host.slots = 4;
                if (!this->shouldHappen(10))
                    hosts.push_back(host);
            }
            for (int i = 1; i <= 3; ++i) {
                Host host;
                host.name = HostName("e" + std::to_string(i));
                host.kind = HostKind::EntryHost;
                host.dataCentre = DataCentreName("dc" + std::to_string(i));
                if (!this->shouldHappen(10))
                    hosts.push_back(host);
            }
            this->handle(ChangeHosts { hosts });
        }

        void changeShares()
        {
            ChangeShares change;
            for (int i = 0; i < 12; ++i)
                change.shares.push_back({ HostName("r" + std::to_string(i)), static_cast<int>(this->randomBelow(5)) });
            this->handle(change);
        }

        std::mt19937_64 random;
        Instant now { std::chrono::seconds(100) };
        Routing routing;
        std::set<ReplyToken> openTokens;
        std::map<const std::string*, ReplyToken> tokens; // by request body, which is unique to a submission
        std::set<ReplyToken> maybeRunTokens;
        std::set<RequestId> claimedIds;
        std::vector<std::pair<AttemptId, Request>> attempts;
        std::deque<Transaction> transactions;
        std::map<RowKey, Row> rows;
        RowVersion revision { 0 };
    };

    TEST_CASE("LongRun_randomFaults_invariantsHold")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3);
        INFO("seed " << seed);
        RandomEnvironment environment(seed);

        for (int i = 0; i < stepsPerSeed; ++i)
            environment.step();
        environment.drain();

        CHECK(environment.isIdle());
        CHECK(environment.submitted == environment.ended);
        CHECK(environment.maxOpenRequests < 400);
        CHECK(environment.summary().answered > 1000);
    }

} // namespace
} // namespace dragonflytray
