// Simulates several entry hosts with a faulty platform and faulty links between peers, for a long time and from a seed.

#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

namespace dragonflytray {
namespace {

    constexpr std::size_t daemonCount = 4;
    constexpr std::size_t stepsPerRun = 100000; // commands handled by all daemons
    constexpr Duration tickInterval = std::chrono::milliseconds(200);
    constexpr Duration clientTimeout = std::chrono::seconds(2);
    constexpr Duration activationBound = std::chrono::seconds(17); // from acceptance until in force at a host without faults
    constexpr Duration replyBound = std::chrono::seconds(17); // from an apply to its reply, at a host without faults
    constexpr Duration faultInterval = std::chrono::seconds(4);
    constexpr Duration applyInterval = std::chrono::seconds(2);
    const RowKey configurationKey { RowKind::Configuration, "current" };

    struct MembershipSimulation {
        struct Daemon {
            HostName name;
            std::unique_ptr<Membership> membership;
            int incarnation { 0 };
            ConfigurationVersion version { 0 };
            std::vector<MembershipCommand> queuedCommands; // while it is paused
            bool isPaused { false };
            bool isDisconnectedFromPlatform { false };
            Instant lastFaultChangeAt; // when a fault that affects this host last started or ended
        };
        struct Apply {
            std::string text;
            ConfigurationVersion baseVersion { 0 };
            std::size_t daemon { 0 };
            int incarnation { 0 };
            Instant submittedAt;
            bool isEnded { false }; // answered
        };
        // Accepted is a version that the table has accepted.
        struct Accepted {
            std::string objectKey;
            Instant at;
        };

        std::mt19937_64 random;
        Instant now { std::chrono::seconds(1000) };
        std::multimap<Instant, std::function<void()>> events;
        std::array<Daemon, daemonCount> daemons;
        std::array<std::array<bool, daemonCount>, daemonCount> isPeerLinkDown {};
        std::optional<RowChange> row;
        RowVersion revision { 0 };
        std::map<std::string, std::string> objects;
        std::map<ConfigurationVersion, Accepted> accepted;
        std::map<std::string, int> writesOfText;
        std::map<std::string, int> refusalsOfText;
        std::map<std::string, int> appliesOfText;
        std::map<ConfigurationVersion, int> appliedByBase;
        std::vector<Apply> applies;
        bool isPlatformDown { false };
        bool isPlatformSlow { false };
        bool isObjectStoreDown { false };
        int lossPercent { 2 };
        std::size_t steps { 0 };
        EnumArray<ApplyStatus, int, applyStatusNames.size()> replies;

        explicit MembershipSimulation(std::uint64_t seed)
            : random(seed)
        {
            for (std::size_t i = 0; i < daemonCount; ++i) {
                this->daemons[i].name = HostName("entry-" + std::to_string(i));
                this->start(i);
                this->scheduleEvery(tickInterval, [this, i] { this->deliver(i, this->daemons[i].incarnation, MembershipTick {}); });
            }
            this->scheduleEvery(faultInterval, [this] { this->changeFaults(); });
            this->scheduleEvery(applyInterval, [this] { this->submitApplies(); });
            this->scheduleEvery(std::chrono::seconds(1), [this] { this->checkBounds(); });
        }

        void run()
        {
            while (this->steps < stepsPerRun) {
                auto next = this->events.begin();
                this->now = next->first;
                auto action = std::move(next->second);
                this->events.erase(next);
                action();
            }
        }

        bool chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

        Duration delay()
        {
            const auto limit = this->isPlatformSlow ? 3000 : 60;
            return std::chrono::milliseconds(1 + this->random() % limit);
        }

        void schedule(Duration wait, std::function<void()> action) { this->events.emplace(this->now + wait, std::move(action)); }

        void scheduleEvery(Duration interval, const std::function<void()>& action)
        {
            this->schedule(interval, [this, interval, action] {
                action();
                this->scheduleEvery(interval, action);
            });
        }

        void start(std::size_t index)
        {
            Daemon& daemon = this->daemons[index];
            daemon.membership = std::make_unique<Membership>(Membership::Options { .self = daemon.name, .dataCentre = DataCentreName("dc") });
            ++daemon.incarnation;
            daemon.version = 0;
            daemon.queuedCommands.clear();
            daemon.isPaused = false;
            daemon.lastFaultChangeAt = this->now;
        }

        void recordFaultChange(std::size_t index) { this->daemons[index].lastFaultChangeAt = this->now; }

        void recordFaultChangeForAll()
        {
            for (std::size_t i = 0; i < daemonCount; ++i)
                this->recordFaultChange(i);
        }

        // changeFaults() starts or ends one random fault, or ends all.
        void changeFaults()
        {
            const std::size_t i = this->random() % daemonCount;
            const std::size_t j = this->random() % daemonCount;
            switch (this->random() % 9) {
            case 0:
                this->isPlatformDown = !this->isPlatformDown && this->chance(50);
                return this->recordFaultChangeForAll();
            case 1:
                this->isPlatformSlow = !this->isPlatformSlow;
                return this->recordFaultChangeForAll();
            case 2:
                this->lossPercent = this->chance(30) ? 40 : 2;
                return this->recordFaultChangeForAll();
            case 3:
                this->isObjectStoreDown = !this->isObjectStoreDown && this->chance(50);
                return this->recordFaultChangeForAll();
            case 4:
                this->daemons[i].isDisconnectedFromPlatform = !this->daemons[i].isDisconnectedFromPlatform;
                return this->recordFaultChange(i);
            case 5:
                this->isPeerLinkDown[i][j] = this->isPeerLinkDown[j][i] = !this->isPeerLinkDown[i][j];
                return;
            case 6:
                return this->pause(i);
            case 7:
                return this->start(i);
            default:
                // End all platform faults, so that the bounds are often checked.
                this->isPlatformDown = this->isPlatformSlow = this->isObjectStoreDown = false;
                this->lossPercent = 2;
                for (std::size_t k = 0; k < daemonCount; ++k)
                    this->daemons[k].isDisconnectedFromPlatform = false;
                return this->recordFaultChangeForAll();
            }
        }

        void pause(std::size_t index)
        {
            this->daemons[index].isPaused = true;
            const int incarnation = this->daemons[index].incarnation;
            this->schedule(std::chrono::milliseconds(100 + this->random() % 30000), [this, index, incarnation] {
                Daemon& daemon = this->daemons[index];
                if (daemon.incarnation != incarnation)
                    return;
                daemon.isPaused = false;
                this->recordFaultChange(index);
                for (const MembershipCommand& command : std::exchange(daemon.queuedCommands, {}))
                    this->deliver(index, incarnation, command);
            });
        }

        // submitApplies() submits one apply, or two concurrent ones with the same base, mostly at different entry hosts.
        void submitApplies()
        {
            const std::size_t first = this->random() % daemonCount;
            const ConfigurationVersion base = this->daemons[first].version;
            const std::size_t operators = this->chance(40) ? 2 : 1;
            const bool isSameText = this->chance(20);
            for (std::size_t i = 0; i < operators; ++i) {
                const std::size_t number = this->applies.size() - (isSameText ? i : 0);
                const std::size_t entryHost = (first + i * (this->random() % daemonCount)) % daemonCount;
                const std::string text = "customer: operator-" + std::to_string(number) + "\nregions: []\nteams: []\n";
                this->applies.push_back({ text, base, entryHost, this->daemons[entryHost].incarnation, this->now });
                ++this->appliesOfText[text];
                this->deliver(entryHost, this->daemons[entryHost].incarnation, ApplyDeclaration { ReplyToken(this->applies.size() - 1), "a.yaml", text, base });
            }
            if (this->chance(5))
                this->forgeHeartbeat();
        }

        // forgeHeartbeat() delivers a heartbeat that claims a version that was never accepted.
        void forgeHeartbeat()
        {
            const std::size_t index = this->random() % daemonCount;
            const bool isHuge = this->chance(50);
            const ConfigurationVersion version = isHuge ? ~ConfigurationVersion(0) - 1 : this->daemons[index].version + 1 + this->random() % 5;
            const std::string key = isHuge && this->row ? std::get<ConfigurationRow>(*this->row->value).objectKey : "no-such-object";
            this->deliver(index, this->daemons[index].incarnation, HeartbeatReceived { { HostName("entry-forged"), DataCentreName("dc"), version, key, false } });
        }

        void deliver(std::size_t index, int incarnation, const MembershipCommand& command)
        {
            Daemon& daemon = this->daemons[index];
            if (daemon.incarnation != incarnation)
                return;
            if (daemon.isPaused) {
                if (!std::holds_alternative<MembershipTick>(command))
                    daemon.queuedCommands.push_back(command);
                return;
            }
            ++this->steps;
            for (const MembershipEffect& effect : daemon.membership->handle(command, this->now))
                std::visit([&](const auto& value) { this->carryOut(index, value); }, effect);
        }

        // callPlatform() simulates a call of the platform: it runs `work` at most once and delivers its result, `refused`
        // if the platform can't be reached, or `lost` at the client's timeout if request or response was lost or late.
        template <typename Result>
        void callPlatform(std::size_t index, Result refused, Result lost, std::function<Result()> work)
        {
            const int incarnation = this->daemons[index].incarnation;
            const auto answer = [this, index, incarnation](const Result& result) { this->deliver(index, incarnation, result); };
            if (this->daemons[index].isDisconnectedFromPlatform || (this->isPlatformDown && this->chance(50)))
                return this->schedule(this->delay(), [answer, refused] { answer(refused); });
            const bool isRequestLost = this->isPlatformDown || this->chance(this->lossPercent / 2);
            const bool isAnswerLost = isRequestLost || this->chance(this->lossPercent);
            const Duration requestDelay = this->delay();
            const Duration answerDelay = this->delay();
            if (!isRequestLost) {
                this->schedule(requestDelay, [this, answer, work, isAnswerLost, isLate = requestDelay + answerDelay >= clientTimeout, answerDelay] {
                    const Result result = work();
                    if (!isAnswerLost && !isLate)
                        this->schedule(answerDelay, [answer, result] { answer(result); });
                });
            }
            if (isAnswerLost || requestDelay + answerDelay >= clientTimeout)
                this->schedule(clientTimeout, [answer, lost] { answer(lost); });
        }

        void carryOut(std::size_t index, const WriteTransaction& effect)
        {
            const Transaction transaction = effect.transaction;
            const TransactionResult refused { transaction.id, TransactionStatus::Unavailable, 0, {} };
            const TransactionResult lost { transaction.id, TransactionStatus::Ambiguous, 0, {} };
            this->callPlatform<TransactionResult>(index, refused, lost, [this, transaction] { return this->commit(transaction); });
        }

        TransactionResult commit(const Transaction& transaction)
        {
            const RowVersion present = this->row ? this->row->version : 0;
            if (transaction.conditions.at(0).version != present) {
                const RowChange absent { configurationKey, 0, {}, std::nullopt };
                return { transaction.id, TransactionStatus::Conflict, 0, { this->row.value_or(absent) } };
            }
            const auto& next = std::get<ConfigurationRow>(transaction.writes.at(0).value);
            INFO("version " << next.version << " by " << transaction.id);
            REQUIRE(next.version == (this->accepted.empty() ? 1 : this->accepted.rbegin()->first + 1));
            REQUIRE(this->objects.contains(next.objectKey));
            this->row = RowChange { configurationKey, ++this->revision, transaction.id, transaction.writes.at(0).value };
            this->accepted[next.version] = { next.objectKey, this->now };
            this->countOutcome(this->objects.at(next.objectKey), 1, 0);
            return { transaction.id, TransactionStatus::Committed, this->revision, {} };
        }

        // countOutcome() checks that no apply committed twice, or committed although its reply says that nothing changed.
        void countOutcome(const std::string& text, int writes, int refusals)
        {
            this->writesOfText[text] += writes;
            this->refusalsOfText[text] += refusals;
            INFO("text " << text);
            REQUIRE(this->writesOfText[text] + this->refusalsOfText[text] <= this->appliesOfText[text]);
        }

        void carryOut(std::size_t index, const ReadRows& effect)
        {
            this->callPlatform<RowsRead>(index, {}, {}, [this, effect, stale = this->row, isStale = this->chance(10)] {
                const std::optional<RowChange>& seen = isStale ? stale : this->row;
                RowsRead read { true, this->revision, {} };
                if (seen && seen->version > effect.after)
                    read.rows.push_back(*seen);
                return read;
            });
        }

        void carryOut(std::size_t index, const ReadObject& effect)
        {
            this->callPlatform<ObjectRead>(index, { effect.key, {} }, { effect.key, {} }, [this, key = effect.key]() -> ObjectRead {
                if (this->isObjectStoreDown || !this->objects.contains(key))
                    return { key, std::nullopt };
                if (this->chance(this->lossPercent))
                    return { key, "customer: damaged\nregions: []\nteams: []\n" };
                return { key, this->objects.at(key) };
            });
        }

        void carryOut(std::size_t index, const WriteObject& effect)
        {
            this->callPlatform<ObjectWritten>(index, { effect.key, false }, { effect.key, false }, [this, effect]() -> ObjectWritten {
                if (this->isObjectStoreDown)
                    return { effect.key, false };
                this->objects[effect.key] = effect.value;
                return { effect.key, true };
            });
        }

        void carryOut(std::size_t index, const ReadHostList&)
        {
            this->callPlatform<HostListRead>(index, {}, {}, [this] {
                HostListRead read { true, {} };
                for (const Daemon& daemon : this->daemons) {
                    Host host;
                    host.name = daemon.name;
                    host.kind = HostKind::EntryHost;
                    read.hosts.push_back(host);
                }
                return read;
            });
        }

        void carryOut(std::size_t index, const SendHeartbeat& effect)
        {
            for (std::size_t to = 0; to < daemonCount; ++to) {
                if (this->daemons[to].name != effect.peer || this->isPeerLinkDown[index][to] || this->chance(this->lossPercent))
                    continue;
                const Duration wait = this->chance(5) ? std::chrono::seconds(this->random() % 20) : this->delay();
                this->schedule(wait, [this, to, heartbeat = effect.heartbeat] { this->deliver(to, this->daemons[to].incarnation, HeartbeatReceived { heartbeat }); });
            }
        }

        void carryOut(std::size_t, const PublishHosts&) { }

        void carryOut(std::size_t index, const PublishConfiguration& effect)
        {
            const ConfigurationVersion version = effect.inForce.version;
            INFO("version " << version << " at " << this->daemons[index].name);
            REQUIRE(version > this->daemons[index].version);
            REQUIRE(this->accepted.contains(version));
            REQUIRE(this->objects.at(this->accepted.at(version).objectKey).starts_with("customer: " + effect.inForce.declaration->customer + "\n"));
            this->daemons[index].version = version;
        }

        void carryOut(std::size_t, const ReplyToOperator& reply)
        {
            Apply& apply = this->applies.at(static_cast<std::size_t>(reply.token));
            INFO("apply " << static_cast<std::size_t>(reply.token) << " ended as " << applyStatusNames.nameOf(reply.status));
            REQUIRE_FALSE(apply.isEnded);
            apply.isEnded = true;
            ++this->replies[reply.status];
            REQUIRE(reply.status != ApplyStatus::Invalid);
            if (reply.status == ApplyStatus::Conflict || reply.status == ApplyStatus::Unavailable)
                this->countOutcome(apply.text, 0, 1);
            if (reply.status != ApplyStatus::Applied)
                return;
            REQUIRE(reply.version == apply.baseVersion + 1);
            REQUIRE(this->objects.at(this->accepted.at(reply.version).objectKey) == apply.text);
            REQUIRE(++this->appliedByBase[apply.baseVersion] == 1);
        }

        ConfigurationVersion latestAcceptedAt(Instant limit) const
        {
            ConfigurationVersion version = 0;
            for (auto entry = this->accepted.rbegin(); entry != this->accepted.rend(); ++entry) {
                if (entry->second.at <= limit)
                    return entry->first;
            }
            return version;
        }

        void checkBounds()
        {
            for (std::size_t i = 0; i < daemonCount; ++i) {
                const Daemon& daemon = this->daemons[i];
                const bool isHealthy = !this->isPlatformDown && !this->isPlatformSlow && !this->isObjectStoreDown && this->lossPercent < 10 && !daemon.isDisconnectedFromPlatform && !daemon.isPaused;
                if (!isHealthy || this->now - daemon.lastFaultChangeAt < activationBound)
                    continue;
                INFO(daemon.name << " has the accepted version in force at " << toSeconds(this->now.time_since_epoch()));
                REQUIRE(daemon.version >= this->latestAcceptedAt(this->now - activationBound));
            }
            for (const Apply& apply : this->applies) {
                const Daemon& daemon = this->daemons[apply.daemon];
                if (apply.isEnded || daemon.isPaused || daemon.incarnation != apply.incarnation || this->now - daemon.lastFaultChangeAt < replyBound)
                    continue;
                INFO("apply submitted at " << toSeconds(apply.submittedAt.time_since_epoch()) << " is answered in time");
                REQUIRE(this->now - apply.submittedAt <= replyBound);
            }
        }
    };

    TEST_CASE("Membership_seededFaultsAndRaces_keepsEveryAcceptedVersion")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3, 20261204);
        CAPTURE(seed);
        MembershipSimulation simulation(seed);

        simulation.run();

        // The run is meaningful only if it contained every outcome of an apply other than Invalid.
        CHECK(simulation.replies[ApplyStatus::Applied] > 100);
        CHECK(simulation.replies[ApplyStatus::Conflict] > 100);
        CHECK(simulation.replies[ApplyStatus::Unavailable] > 100);
        CHECK(simulation.replies[ApplyStatus::Unknown] > 0);
    }

} // namespace
} // namespace dragonflytray
