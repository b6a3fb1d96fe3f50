// Restarts, former addresses and unreadable rows that a leader must not take as proof that runs are gone.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";

    // WorkerEvidenceFixture has host "a" as the leader.
    struct WorkerEvidenceFixture : SchedulerFixture {
        SimulatedWorker& replaceWorker(const std::string& id, WallTime startedAt, Endpoint endpoint)
        {
            ListedWorker entry = this->workers.at(WorkerId(id)).entry();
            entry.startedAt = startedAt;
            entry.endpoint = std::move(endpoint);
            this->workers.erase(WorkerId(id));
            return this->workers.try_emplace(WorkerId(id), entry, this->now).first->second;
        }

        std::size_t startsOf(std::uint32_t index) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [index](const BegunRun& run) { return run.start.call.run.task.index == index; }));
        }
    };

} // namespace

TEST_CASE_METHOD(WorkerEvidenceFixture, "Worker_restartsWithEarlierStartTime_tasksAreStartedAgain")
{
    this->workerStartTime = 100000;
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(400));
    REQUIRE(this->runningOf(job).size() == 4);
    this->replaceWorker("w1", 95000, { "127.0.0.1", 1 });
    this->run({ "a" }, std::chrono::seconds(60));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// The clock of the next incarnation is ahead of the last reading, but behind what the former clock must show by now.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Worker_restartsWithoutStartTimeAfterShortLife_endsAreCountedBeforeAcknowledgement")
{
    this->workerStartTime = 0;
    this->taskDuration = std::chrono::milliseconds(200);
    this->addWorker("w0", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    this->unlisted.insert(WorkerId("w0"));
    this->send("a", WorkersListed { {}, { WorkerId("w0") }, false, 0 });
    this->addWorker("w1", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w1")).entry() }, {}, false, 0 });
    this->run({ "a" }, std::chrono::milliseconds(600));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(600));
    REQUIRE(this->begunRuns.size() == 4);
    this->cutLinks.insert({ "a", WorkerId("w1") });
    this->run({ "a" }, std::chrono::milliseconds(100));
    this->restoreWorker(WorkerId("w1"));
    this->run({ "a" }, std::chrono::milliseconds(1600));
    this->cutLinks.clear();
    this->run({ "a" }, std::chrono::milliseconds(400));
    REQUIRE(this->submit("a", "00000000000000a2", { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(10));
    CHECK(this->begunRuns.size() == 8);
}

// The list of the new leader still shows the former address of the worker, where another worker answers.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Takeover_listShowsFormerAddressOfWorker_tasksDoNotRunTwice")
{
    this->taskDuration = std::chrono::seconds(20);
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    const ListedWorker formerEntry = this->workers.at(WorkerId("w1")).entry();
    this->crashed.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(7));
    this->crashed.clear();
    const ListedWorker entry = this->replaceWorker("w1", 2, { "127.0.0.1", 2 }).entry();
    this->send("a", WorkersListed { { entry }, {}, false, 0 });
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);

    this->shouldDeliverLists = false;
    this->addWorker("w2", 16);
    this->cutLinks.insert({ "b", WorkerId("w1") });
    for (int tick = 0; tick < 200; ++tick) {
        this->run({ "b" }, std::chrono::milliseconds(20));
        if (this->leader() != "b")
            continue;
        this->send("b", WorkersListed { { formerEntry }, {}, false, 0 });
        const Epoch epoch = std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).epoch;
        this->send("b", PollEnded { .worker = WorkerId("w1"), .token = { epoch }, .sentAt = this->now, .status = WorkerCallStatus::OtherIncarnation });
    }
    CHECK(this->maxConcurrentRuns == 1);
}

// A gang's end on a silent worker stands for all of its tasks; the rows of the roster must stay within the limit.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Report_unrecordedEndsOfGangOnSilentWorkers_namedTasksStayWithinLimit")
{
    this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
    constexpr std::uint32_t members = 64;
    this->taskDuration = std::chrono::milliseconds(600);
    for (int number = 10; number < 14; ++number)
        this->addWorker("w" + std::to_string(number), 64);
    this->run({ "a" }, std::chrono::seconds(3));
    StepDefinition gang = stepOfTasks(members, 4);
    gang.isGang = true;
    REQUIRE(this->submit("a", job, { gang }) == ReplyStatus::Accepted);
    this->areProgressWritesRefused = true;
    this->run({ "a" }, std::chrono::milliseconds(1500));
    REQUIRE(this->begunRuns.size() == members);
    for (const auto& [id, worker] : this->workers)
        this->unresponsive.insert(id);
    this->run({ "a" }, std::chrono::milliseconds(3000));
    std::size_t closedWorkers = 0;
    for (std::uint32_t part = 0; part < rosterParts; ++part) {
        const StoredRowChange* row = this->store.find(rosterKey({ CellName("whole"), part }));
        std::size_t namedTasks = 0;
        for (const auto& [id, entry] : row ? std::get<WorkerRoster>(*row->value).workers : std::map<WorkerId, RosterEntry> {}) {
            closedWorkers += entry.possibleTasks ? 1 : 0;
            namedTasks += entry.possibleTasks ? entry.possibleTasks->size() : 0;
        }
        CHECK(namedTasks <= this->dispatcherOptions.maxTasksPerRosterPart);
    }
    CHECK(closedWorkers == 4);
}

// The list moves the worker to another address while a poll of the former one is in flight.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Worker_movesWhileFormerAddressIsPolled_isUsedAtNextAddress")
{
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    this->crashed.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::milliseconds(400));
    this->crashed.clear();
    const ListedWorker entry = this->replaceWorker("w1", 2, { "127.0.0.1", 2 }).entry();
    this->send("a", WorkersListed { { entry }, {}, false, 0 });
    const Epoch epoch = std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).epoch;
    this->send("a", PollEnded { .worker = WorkerId("w1"), .token = { epoch }, .sentAt = this->now, .status = WorkerCallStatus::OtherIncarnation });
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(30));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// What is being stopped occupies the worker until its end is reported.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Takeover_runsOfCancelledJobAreStopped_noTaskIsStartedInTheirRoom")
{
    this->taskDuration = std::chrono::seconds(30);
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(600));
    REQUIRE(this->runningOf(job).size() == 4);
    this->run({ "b" }, std::chrono::milliseconds(100));
    this->store.apply({ .write = 9999, .partition = partitionOf({ StoredRowKind::Cancellation, job }), .conditions = {}, .puts = { { { StoredRowKind::Cancellation, job }, CancellationRequest { 1 } } }, .removals = {} });
    this->storeVersions.emplace_back(this->now, this->store.version());
    REQUIRE(this->submit("b", "00000000000000a2", { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    const std::size_t startsBefore = this->starts.size();
    this->stopsToLose = 100;
    std::size_t startsInOccupiedRoom = 0;
    for (int tick = 0; tick < 250; ++tick) {
        const bool isOccupied = this->runningOf(job).size() == 4;
        const std::size_t before = this->starts.size();
        this->run({ "b" }, std::chrono::milliseconds(20));
        startsInOccupiedRoom += isOccupied ? this->starts.size() - before : 0;
    }
    INFO("starts before " << startsBefore << ", leader " << this->leader() << ", running " << this->runningOf(job).size());
    CHECK(startsInOccupiedRoom == 0);
}

// A start that is carried out late reaches the next incarnation, whose clock is behind its deadline.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Worker_restartsBeforeLateStartArrives_taskRunsOnce")
{
    this->taskDuration = std::chrono::seconds(20);
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    this->startsToDelay = 1;
    this->startDelay = std::chrono::milliseconds(2600);
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(2400));
    this->addWorker("w2", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false, 0 });
    this->workers.at(WorkerId("w1")).restart(this->now);
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->maxConcurrentRuns == 1);
}

// The leader and a worker end at the same moment.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Takeover_workerEndsWithLeader_longRunningTaskRunsAgainInTime")
{
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    StepDefinition step = stepOfTasks(1, 4);
    step.isLongRunning = true;
    REQUIRE(this->submit("a", job, { step }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 1);
    this->addWorker("w2", 16);
    this->run({ "a", "b" }, std::chrono::seconds(2));
    this->crashWorker(WorkerId("w1"));
    this->workers.at(WorkerId("w1")).unlist(this->now + std::chrono::milliseconds(1500));
    const Instant crash = this->now;
    while (this->runningOf(job).empty() && this->now < crash + std::chrono::seconds(30))
        this->run({ "b" }, std::chrono::milliseconds(20));
    CHECK(toMilliseconds(this->now - crash) <= 9000); // rule LOST: 3 s of waiting, from 6 s after the last run
}

// Each leader is replaced before the leases of the former ones have expired, and one worker never answers any of them.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Takeover_leadersChangeOftenAndOneWorkerIsGone_waitingTasksAreStarted")
{
    this->addWorker("w1", 16);
    this->addWorker("w2", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(12, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(400));
    this->crashWorker(WorkerId("w1"));
    this->workers.at(WorkerId("w1")).unlist(this->now);
    const std::size_t before = this->begunRuns.size();
    for (int change = 0; change < 8; ++change)
        this->run({ change % 2 == 0 ? "b" : "a" }, std::chrono::seconds(8));
    CHECK(this->begunRuns.size() > before);
}

// A part of the roster that can't be read says nothing about its workers.
TEST_CASE_METHOD(WorkerEvidenceFixture, "Takeover_rosterCanNotBeDecoded_tasksDoNotRunTwice")
{
    this->taskDuration = std::chrono::seconds(20);
    this->addWorker("w1", 16);
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);
    const StoredRowKey key = rosterKey({ CellName("whole"), rosterPartOf(WorkerId("w1")) });
    REQUIRE(this->store.find(key));
    this->unreadableRows.insert(key);
    this->workers.at(WorkerId("w1")).unlist(this->now);
    this->cutLinks.insert({ "b", WorkerId("w1") });
    this->addWorker("w2", 16);
    this->run({ "b" }, std::chrono::seconds(15));
    CHECK(this->maxConcurrentRuns == 1);
}

} // namespace dragonflytray
