// A leader that is too small for its fleet hands its orders to hosts near the workers, which it finds in the store.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const Endpoint agent { "127.0.0.2", 7000 };

    // DelegationFixture has host "a" as the leader, whose link is too thin for its 20 workers.
    struct DelegationFixture : SchedulerFixture {
        DelegationFixture()
        {
            for (int number = 0; number < 20; ++number)
                this->addWorker("w" + std::to_string(number), 64);
            this->dispatcherOptions.agents = { .self = HostName("a"), .linkMegabits = 1 };
            this->run({ "a" }, std::chrono::seconds(3));
        }

        void storeHost(const std::string& name, const EntryHost& host)
        {
            const StoredRowKey key { StoredRowKind::EntryHost, name };
            this->store.apply({ .write = 1, .partition = partitionOf(key), .conditions = {}, .puts = { { key, host } }, .removals = {} });
            this->run({ "a" }, std::chrono::seconds(1)); // the next renewal of the lease brings it
        }

        void storeAgent() { this->storeHost("b", { .dataCentre = DataCentreName("rs-poa"), .agent = agent, .linkMegabits = 1, .processorShare = 0.1 }); }

        // submitLargeSpec() submits a job of 20 tasks, and lets the leader decide while no start is answered.
        void submitLargeSpec()
        {
            SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = "desk.example", .path = "/q/" + job, .job = {} };
            submit.job.spec = std::string(30 << 10, 's');
            submit.job.steps = { stepOfTasks(20, 8) };
            this->startTransmission = std::chrono::seconds(1);
            this->send("a", submit);
            this->run({ "a" }, std::chrono::milliseconds(200));
        }

        std::size_t startsBy(const Endpoint& endpoint) const
        {
            return static_cast<std::size_t>(std::count_if(this->starts.begin(), this->starts.end(), [&](const StartTask& start) { return start.to.agent == endpoint; }));
        }

        std::size_t storedHosts() const { return this->store.find({ StoredRowKind::EntryHost, "c" }) ? 1 : 0; }
    };

} // namespace

TEST_CASE_METHOD(DelegationFixture, "Leader_tooSmallForFleet_agentDeliversStarts", "[delegation]")
{
    this->storeAgent();
    REQUIRE(this->submit("a", job, { stepOfTasks(20, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->startsBy(agent) == 20);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(DelegationFixture, "Leader_agentHasSpecOfJob_furtherStartsCountWithoutIt", "[delegation]")
{
    this->storeAgent();
    this->submitLargeSpec();
    CHECK(this->startsBy(agent) == 20);
}

TEST_CASE_METHOD(DelegationFixture, "Leader_deliversItself_everyStartCountsWithTheSpec", "[delegation]")
{
    this->submitLargeSpec();
    CHECK(this->startsBy(Endpoint()) == 3); // 64 KB
}

TEST_CASE_METHOD(DelegationFixture, "Leader_agentFails_deliversItselfUntilItReturns", "[delegation]")
{
    this->storeAgent();
    this->send("a", AgentContact { agent, false });
    REQUIRE(this->submit("a", job, { stepOfTasks(20, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    CHECK(this->startsBy(Endpoint()) == 20);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", "00000000000000a2", { stepOfTasks(20, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    CHECK(this->startsBy(agent) == 20);
}

TEST_CASE_METHOD(DelegationFixture, "Leader_rowOfHostIsRemoved_deliversItself", "[delegation]")
{
    this->storeAgent();
    const StoredRowKey key { StoredRowKind::EntryHost, "b" };
    this->store.apply({ .write = 1, .partition = partitionOf(key), .conditions = {}, .puts = {}, .removals = { key } });
    REQUIRE(this->submit("a", job, { stepOfTasks(20, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    CHECK(this->startsBy(Endpoint()) == 20);
}

TEST_CASE_METHOD(DelegationFixture, "Leader_hostWithoutAgent_isNotChosen", "[delegation]")
{
    this->storeHost("b", { .dataCentre = DataCentreName("rs-poa"), .agent = {}, .linkMegabits = 1, .processorShare = 0.1 });
    REQUIRE(this->submit("a", job, { stepOfTasks(20, 8) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    CHECK(this->startsBy(Endpoint()) == 20);
}

TEST_CASE_METHOD(DelegationFixture, "Leader_agentFailsForLong_itsRowIsRemoved", "[delegation]")
{
    this->storeAgent();
    for (int count = 0; count < 11; ++count) {
        this->send("a", AgentContact { agent, false });
        this->run({ "a" }, std::chrono::seconds(31));
    }
    CHECK(this->store.find({ StoredRowKind::EntryHost, "b" }) == nullptr);
}

TEST_CASE_METHOD(DelegationFixture, "Host_starts_registersOnceAndAgainAfterRemoval", "[delegation]")
{
    const EntryHost entry { .dataCentre = DataCentreName("rs-poa"), .agent = agent, .linkMegabits = 20, .processorShare = 0.1 };
    this->ownEntries["c"] = entry;
    this->run({ "a", "c" }, std::chrono::seconds(5));
    CHECK(this->storedHosts() == 1);
    const RowVersion version = this->store.find({ StoredRowKind::EntryHost, "c" })->version;
    this->run({ "a", "c" }, std::chrono::seconds(5));
    CHECK(this->store.find({ StoredRowKind::EntryHost, "c" })->version == version);
    const StoredRowKey key { StoredRowKind::EntryHost, "c" };
    this->store.apply({ .write = 1, .partition = partitionOf(key), .conditions = {}, .puts = {}, .removals = { key } });
    this->run({ "a", "c" }, std::chrono::seconds(5));
    CHECK(this->storedHosts() == 1);
    this->send("c", BeginHandover {});
    this->run({ "a", "c" }, std::chrono::seconds(5));
    CHECK(this->storedHosts() == 0);
}

} // namespace dragonflytray
