// A worker leaves with long-running tasks, and its leaders stop as planned before the leases are over. Each successor waits for
// the leases of all former leaders anew, so that the tasks stay absent for longer than callers accept.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration settlingTime = std::chrono::milliseconds(500);
    constexpr Duration acceptedAbsence = std::chrono::seconds(9); // of a long-running task, with room for it

    StepDefinition longRunningStep(std::uint32_t count)
    {
        StepDefinition step = stepOfTasks(count, 4);
        step.isLongRunning = true;
        return step;
    }

    // HandoverFixture has host "a" as the leader. Four long-running tasks run on worker "w1"; "w2" has room for them.
    struct HandoverFixture : SchedulerFixture {
        HandoverFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
            REQUIRE(this->submit("a", job, { longRunningStep(4) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::seconds(5));
            REQUIRE(this->runningOf(job).size() == 4);
            this->addWorker("w2", 16).list(this->now);
            this->run({ "a" }, settlingTime);
        }

        void leaveFirstWorker()
        {
            this->crashWorker(this->first);
            this->workers.at(this->first).unlist(this->now);
        }

        // runUntilRunning() runs a host until all four tasks run, for at most 20 s.
        void runUntilRunning(const std::string& name)
        {
            for (const Instant end = this->now + std::chrono::seconds(20); this->runningOf(job).size() < 4 && this->now < end;)
                this->run({ name }, std::chrono::milliseconds(20));
        }

        const WorkerId first { "w1" };
    };

} // namespace

TEST_CASE_METHOD(HandoverFixture, "PlannedStop_workerLeavesWithLongRunningTasks_tasksRunWithinAcceptedAbsence", "[takeover]")
{
    const Instant leftAt = this->now;
    this->leaveFirstWorker();
    this->run({ "a" }, std::chrono::seconds(3));
    this->send("a", BeginHandover {});
    this->runUntilRunning("b");
    const Duration absence = this->now - leftAt;
    CAPTURE(toMilliseconds(absence));
    CHECK(absence <= acceptedAbsence);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(HandoverFixture, "PlannedStop_eachLeaderStopsSoon_tasksOfWorkerThatLeftAreStarted", "[takeover]")
{
    this->leaveFirstWorker();
    this->run({ "a" }, std::chrono::milliseconds(100));
    this->send("a", BeginHandover {});
    for (const std::string name : { "b", "c", "d", "e", "f", "g", "h" }) {
        this->run({ name }, std::chrono::seconds(2));
        REQUIRE(this->leader() == name);
        this->send(name, BeginHandover {});
    }
    CHECK(this->runningOf(job).size() == 4);
    CHECK(this->maxConcurrentRuns == 1);
}

// The list moves a worker before a new leader inherits it; the next leader would look for its runs at the former address.
TEST_CASE_METHOD(HandoverFixture, "Takeover_listShowsOtherAddressThanRoster_noTaskStartsBeforeRosterHoldsIt", "[takeover]")
{
    const WorkerId moved { "w2" };
    while (this->leader() != "b")
        this->run({ "b" }, std::chrono::milliseconds(20));
    ListedWorker entry = this->workers.at(moved).entry();
    entry.endpoint.port = 2;
    this->send("b", WorkersListed { { entry }, {}, false, this->store.version() });
    this->starts.clear();
    REQUIRE(this->submit("b", "00000000000000a2", { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    for (const Instant end = this->now + settlingTime; this->starts.empty() && this->now < end;)
        this->run({ "b" }, std::chrono::milliseconds(20));
    REQUIRE(this->starts.size() == 1);
    REQUIRE(this->starts.front().to.endpoint == entry.endpoint);
    const StoredRowChange* row = this->store.find(rosterKey({ CellName("whole"), rosterPartOf(moved) }));
    CHECK(std::get<WorkerRoster>(*row->value).workers.at(moved).endpoint == entry.endpoint);
}

} // namespace dragonflytray
