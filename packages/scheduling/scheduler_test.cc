#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration feedDelay = std::chrono::milliseconds(40); // two ticks: the change feed delivers an accepted job

} // namespace

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_jobOfTwoSteps_completesInOrder")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    StepDefinition second = stepOfTasks(3, 4);
    second.after = { 0 };
    REQUIRE(this->submit("a", job, { stepOfTasks(2, 4), second }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(900));
    CHECK(this->runningOf(job).size() == 2);
    this->run({ "a" }, std::chrono::milliseconds(900));
    CHECK(this->runningOf(job).size() == 3);
    this->run({ "a" }, std::chrono::milliseconds(900));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
    CHECK(this->starts.size() == 5);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_sameIdAtAnotherHost_isAcceptedOnce")
{
    this->addWorker("w1", 64);
    this->run({ "a", "b" }, takeoverTime);
    CHECK(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    CHECK(this->submit("b", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(3));
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_storeUnavailable_refusesWithRetryAfter")
{
    this->run({ "a" }, takeoverTime);
    this->isDisconnectedFromStore["a"] = true;
    CHECK(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Refused);
    CHECK(this->replies.back().retryAfter > Duration(0));
    CHECK(this->store.find({ StoredRowKind::Definition, job }) == nullptr);
}

// A job that is refused without a call to the store used to be missing from the decision log.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_refusedJob_isLogged")
{
    this->run({ "a" }, takeoverTime);
    this->send("a", StoreContact { false });
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Refused);
    const auto names = [](const LogDecision& line) { return line.event == DecisionEvent::JobRefused && line.subject == job && line.outcome == "store-unavailable"; };
    CHECK(std::count_if(this->log.begin(), this->log.end(), names) == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_cancelledJob_stopsAndStaysCancelled")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    StepDefinition longRunning = stepOfTasks(2, 4);
    longRunning.isLongRunning = true;
    this->submit("a", job, { longRunning });
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 2);
    this->send("a", RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + job });
    this->run({ "a" }, std::chrono::milliseconds(200));
    CHECK(this->replies.back().status == ReplyStatus::Cancelled);
    CHECK(this->runningOf(job).empty());
    this->run({ "a" }, std::chrono::seconds(2));
    CHECK(this->runningOf(job).empty());
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_leaderStops_nextLeaderAdoptsItsRuns")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(30);
    this->submit("a", job, { stepOfTasks(3, 4) });
    this->run({ "a" }, std::chrono::seconds(1));
    this->run({ "b" }, std::chrono::seconds(4));
    CHECK(this->runningOf(job).size() == 3);
    CHECK(this->starts.size() == 3);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_stepOpenedButNotRecorded_nextLeaderAdoptsItsRuns")
{
    this->addWorker("w1", 64);
    this->run({ "a", "b" }, takeoverTime);
    const std::string leader = this->store.find({ StoredRowKind::CellLease, "whole" }) ? std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).holder.value() : "";
    REQUIRE(!leader.empty());
    const std::string other = leader == "a" ? "b" : "a";
    StepDefinition second = stepOfTasks(3, 4);
    second.after = { 0 };
    this->submit(leader, job, { stepOfTasks(2, 4), second });
    this->run({ leader, other }, std::chrono::milliseconds(500));
    this->isDisconnectedFromStore[leader] = true;
    this->taskDuration = std::chrono::seconds(30); // of the second step, whose start can't be recorded in the store
    this->run({ leader, other }, std::chrono::milliseconds(900));
    REQUIRE(this->runningOf(job).size() == 3);
    this->run({ other }, std::chrono::seconds(5));
    CHECK(this->runningOf(job).size() == 3);
    CHECK(this->starts.size() == 5);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_oldRowOfEndedJob_doesNotReopenIt")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, feedDelay);
    const StoredRowChange definition = *this->store.find({ StoredRowKind::Definition, job });
    // The change feed delivers nothing while the job ends, and then the definition again.
    for (int i = 0; i < 150; ++i) {
        this->now += std::chrono::milliseconds(20);
        this->send("a", SchedulerTick { toMilliseconds(this->now.time_since_epoch()) });
        std::vector<DelayedReport> due;
        due.swap(this->delayedReports);
        for (const DelayedReport& report : due)
            this->send("a", report.end);
    }
    REQUIRE(this->phaseOf(job) == JobPhase::Completed);
    this->send("a", StoredRowsRead { { { definition.key, definition.version, definition.value } }, definition.version, false });
    this->run({ "a" }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "JobExecution_mergeOfFinalProgress_keepsTheTimeOfTheEnd")
{
    JobRecord record;
    record.definition.id = JobId(job);
    record.definition.steps = { stepOfTasks(1, 4) };
    record.definitionVersion = 1;
    JobExecution execution(record, 2, true, this->now);
    execution.mergeProgress({ .phase = JobPhase::Completed, .epoch = 1, .generation = 3, .endedAt = 1234 }, 5, this->now);
    CHECK(execution.progress().endedAt == 1234);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_shortTaskWithoutRoom_evictsLongRunningTask")
{
    this->addWorker("w1", 16);
    this->run({ "a" }, takeoverTime);
    StepDefinition longRunning = stepOfTasks(2, 8);
    longRunning.isLongRunning = true;
    this->submit("a", job, { longRunning });
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 2);
    const std::string shortJob = "00000000000000a2";
    this->submit("a", shortJob, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::milliseconds(400));
    CHECK(this->runningOf(shortJob).size() == 1);
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->phaseOf(shortJob) == JobPhase::Completed);
    CHECK(this->runningOf(job).size() == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_longRunningTaskWaitsTooLong_isPlacedBesideShortTasks")
{
    this->addWorker("w1", 16);
    this->run({ "a" }, takeoverTime);
    StepDefinition longRunning = stepOfTasks(2, 8);
    longRunning.isLongRunning = true;
    this->submit("a", job, { longRunning });
    this->run({ "a" }, std::chrono::seconds(1));
    // Short tasks arrive all the time, but always leave room for one long-running task.
    for (int second = 0; second < 8; ++second) {
        this->submit("a", "00000000000001a" + std::to_string(second), { stepOfTasks(1, 4) });
        this->run({ "a" }, std::chrono::seconds(1));
    }
    CHECK(this->runningOf(job).size() >= 1);
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->runningOf(job).size() == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "JobExecution_failuresInAnyOrder_countEachRunOnce")
{
    JobRecord record;
    record.definition.id = JobId(job);
    record.definition.steps = { stepOfTasks(1, 4) };
    record.definitionVersion = 1;
    JobExecution execution(record, 2, true, this->now);
    const TaskId task { JobId(job), 0, 0, 0 };
    CHECK(execution.countFailure(task, 1003));
    CHECK(execution.countFailure(task, 1001));
    CHECK_FALSE(execution.countFailure(task, 1003));
    CHECK(execution.failures(task) == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_newLeaderBehindStore_acknowledgesNoUnknownEnd")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->submit("a", job, { stepOfTasks(2, 4) });
    this->run({ "a" }, std::chrono::milliseconds(200));
    const RowVersion behind = this->store.version();
    this->run({ "a" }, std::chrono::milliseconds(300));
    REQUIRE(this->runningOf(job).size() == 2);
    // "b" has read the lease but not the job: its change feed is behind when it becomes the leader.
    this->send("b", StoredRowsRead { { *this->store.find({ StoredRowKind::CellLease, "whole" }) }, 0, false });
    for (int i = 0; i < 150; ++i) {
        this->now += std::chrono::milliseconds(20);
        for (auto& [id, worker] : this->workers)
            worker.advance(this->now);
        this->send("b", SchedulerTick { toMilliseconds(this->now.time_since_epoch()) });
    }
    CHECK(behind > 0);
    this->run({ "b" }, std::chrono::seconds(8));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
    CHECK(this->starts.size() == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_unresponsiveWorkerLeavesTheList_losesItsRunsAfterTheLease")
{
    this->addWorker("w1", 4);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(60);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->starts.size() == 1);
    this->addWorker("w2", 4);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
    this->unresponsive.insert(WorkerId("w1"));
    this->unlisted.insert(WorkerId("w1"));
    this->send("a", WorkersListed { {}, { WorkerId("w1") }, false });
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->starts.size() == 1);
    this->run({ "a" }, std::chrono::seconds(5));
    CHECK(this->starts.size() == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_listedWorkerNeverAnswersAgain_losesItsRunsInTheEnd")
{
    this->addWorker("w1", 4);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(60);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->starts.size() == 1);
    this->addWorker("w2", 4);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "a" }, std::chrono::seconds(12));
    CHECK(this->starts.size() == 1);
    this->run({ "a" }, std::chrono::seconds(12));
    CHECK(this->starts.size() == 2);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_stopWithoutAnswer_isRepeated")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(60);
    this->submit("a", job, { stepOfTasks(2, 4) });
    this->run({ "a" }, std::chrono::seconds(1));
    this->stopsToLose = 2;
    this->send("a", RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + job });
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->stopsToLose == 0);
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_delayedStartOfUnknownJob_isStoppedDespiteLostStops")
{
    SimulatedWorker& worker = this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::seconds(3));
    REQUIRE(this->phaseOf(job) == JobPhase::Completed);
    StartTask late = this->starts.back();
    late.run = { { JobId("00000000000000ff"), 0, 0, 0 }, 1 };
    late.deadline += 20000;
    REQUIRE(worker.start(late, { .id = late.run, .need = {}, .end = Instant::max(), .isFailing = false, .checkpoint = {} }, this->now) == WorkerCallStatus::Ok);
    this->stopsToLose = 2;
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(worker.running().empty());
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_delayedStartAndLostStop_neverRunTaskTwiceAtOnce")
{
    this->dispatcherOptions.startValidity = std::chrono::seconds(3); // longer than the delay of the start
    this->addWorker("w1", 8);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(20);
    this->startsToDelay = 1;
    this->stopsToLose = 1;
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_formerLeaderAcceptsJob_leavesItToTheNextLeader")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->run({ "b" }, takeoverTime); // "b" acquires the lease; the change feed of "a" has not delivered it yet
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->send("a", SchedulerTick { toMilliseconds(this->now.time_since_epoch()) });
    CHECK(this->starts.empty());
    this->run({ "a", "b" }, std::chrono::seconds(3));
    CHECK(this->starts.size() == 1);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_unansweredStart_neverRunsTwice")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(20);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, feedDelay);
    const StartTask start = this->starts.back();
    this->send("a", TaskCallEnded { TaskCallKind::Start, start.to.worker, start.to.token, start.run, WorkerCallStatus::Unclear });
    this->run({ "a" }, std::chrono::seconds(3));
    CHECK(this->runningOf(job).size() == 1);
    CHECK(this->starts.size() == 1);
}

// After a power loss, the next leader can't reach a worker. It must not assume that the worker has no leases, or it starts
// the worker's tasks a second time.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_workerUnreachableAfterTakeover_keepsItsRunsUntilLeaseEnds")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->taskDuration = std::chrono::seconds(20);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::milliseconds(500));
    REQUIRE(this->runningOf(job).size() == 1);
    this->addWorker("w2", 64);
    const auto hasReportForNext = [this] { return std::any_of(this->delayedReports.begin(), this->delayedReports.end(), [](const DelayedReport& report) { return report.host == "b"; }); };
    while (!hasReportForNext())
        this->run({ "b" }, std::chrono::milliseconds(20));
    this->unreachable.insert(WorkerId("w1")); // after the first poll, whose answer has not been delivered yet
    this->run({ "b" }, std::chrono::milliseconds(1500));
    CHECK(this->starts.size() == 1);
    CHECK(this->maxConcurrentRuns == 1);
    this->unlisted.insert(WorkerId("w1"));
    this->send("b", WorkersListed { {}, { WorkerId("w1") }, false });
    this->run({ "b" }, std::chrono::seconds(8));
    CHECK(this->runningOf(job).size() == 1);
    CHECK(this->maxConcurrentRuns == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "Scheduler_pollNotSentAfterStart_keepsTheLeaseOfTheStart")
{
    SimulatedWorker& worker = this->addWorker("w1", 64);
    this->run({ "a" }, std::chrono::milliseconds(20));
    while (this->delayedReports.empty())
        this->run({ "a" }, std::chrono::milliseconds(20));
    this->run({ "a" }, std::chrono::milliseconds(200)); // the first poll fences the worker, the second grants a lease, and the next report enrols it
    this->unreachable.insert(WorkerId("w1")); // from the next poll on, which is in flight when the task starts
    this->taskDuration = std::chrono::seconds(20);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, feedDelay);
    REQUIRE(worker.running().size() == 1);
    this->addWorker("w2", 64);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->maxConcurrentRuns == 1);
    this->run({ "a" }, std::chrono::seconds(4));
    CHECK(this->maxConcurrentRuns == 1);
}

// Each of two tasks needs the room of one long-running task. The second must not use the room made for the first.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_twoTasksWithoutRoom_eachGetsItsOwnRoom")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    StepDefinition longRunning = stepOfTasks(2, 32);
    longRunning.isLongRunning = true;
    this->submit("a", "00000000000000aa", { longRunning });
    this->run({ "a" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf("00000000000000aa").size() == 2);
    this->taskDuration = std::chrono::seconds(20);
    this->submit("a", job, { stepOfTasks(2, 32) });
    this->run({ "a" }, std::chrono::milliseconds(200));
    CHECK(this->runningOf("00000000000000aa").size() == 2); // tasks first wait for room without evictions
    this->run({ "a" }, std::chrono::milliseconds(600));
    CHECK(this->runningOf(job).size() == 2);
}

namespace {

    // StoreOutageFixture is the state after an outage of the store: the leader has stopped, and the list of workers does not
    // contain the worker that runs a task.
    struct StoreOutageFixture : SchedulerFixture {
        std::string other; // the remaining host
        WorkerId busy; // the worker that runs the task

        StoreOutageFixture()
        {
            this->addWorker("w1", 64);
            this->addWorker("w2", 64);
            this->run({ "a", "b" }, takeoverTime);
            const std::string leader = std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).holder.value();
            this->other = leader == "a" ? "b" : "a";
            this->taskDuration = std::chrono::seconds(20);
            this->submit(leader, job, { stepOfTasks(1, 4) });
            this->run({ leader, this->other }, std::chrono::milliseconds(500));
            this->busy = this->starts.back().to.worker;
            this->send(this->other, StoreContact { false });
            this->unlisted.insert(this->busy);
            this->isDisconnectedFromStore[this->other] = true;
            this->run({ this->other }, std::chrono::seconds(2));
            this->isDisconnectedFromStore[this->other] = false;
            this->send(this->other, StoreContact { true });
        }
    };

} // namespace

// The entries of workers expire while the store is unavailable. A worker that is missing from the list afterwards may still
// run tasks, which must not be started again.
TEST_CASE_METHOD(StoreOutageFixture, "Scheduler_workerListedAgainAfterStoreOutage_keepsItsRuns")
{
    this->run({ this->other }, std::chrono::milliseconds(1500));
    this->send(this->other, WorkersListed { { this->workers.at(this->busy).entry() }, {}, false });
    this->run({ this->other }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 1);
    CHECK(this->maxConcurrentRuns == 1);
    CHECK(this->runningOf(job).size() == 1);
}

// If hosts acquired leases while the store does not answer, the first host to write after an outage would become the leader,
// even if larger hosts are preferred.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_storeDoesNotAnswer_acquiresNoLease")
{
    this->send("a", this->store.changesAfter(0));
    this->send("a", StoreContact { false });
    for (int i = 0; i < 200; ++i) {
        this->now += std::chrono::milliseconds(20);
        this->send("a", SchedulerTick { toMilliseconds(this->now.time_since_epoch()) });
    }
    CHECK(!this->store.find({ StoredRowKind::CellLease, "whole" }));
    this->send("a", StoreContact { true });
    this->run({ "a" }, std::chrono::seconds(1));
    CHECK(this->store.find({ StoredRowKind::CellLease, "whole" }));
}

// A list that was requested before the workers were listed again proves nothing, even if it is delivered later.
TEST_CASE_METHOD(StoreOutageFixture, "Scheduler_listRequestedBeforeWorkersAreBack_isNotTreatedAsComplete")
{
    this->shouldDeliverLists = false;
    this->run({ this->other }, std::chrono::seconds(4));
    CHECK(this->starts.size() == 1);
    this->send(this->other, WorkersListed { { this->workers.at(this->busy).entry() }, {}, false, this->store.version() });
    this->shouldDeliverLists = true;
    this->run({ this->other }, std::chrono::seconds(1));
    CHECK(this->maxConcurrentRuns == 1);
}

// A job whose only start had no effect used to be reported as running.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_startWithoutAnswer_jobStaysQueued")
{
    this->addWorker("w1", 64);
    this->run({ "a" }, takeoverTime);
    this->startsToDelay = 1;
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, std::chrono::milliseconds(600));
    REQUIRE(this->starts.size() == 1);
    CHECK(this->phaseOf(job) == JobPhase::Queued);
    this->run({ "a" }, std::chrono::seconds(6));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

// The next leader must not start a task again before it knows all its failures, or the task runs more often than the queue
// allows.
TEST_CASE_METHOD(SchedulerFixture, "Scheduler_failureKnownOnlyToUnreachableWorker_startsNoExtraRun")
{
    this->addWorker("w1", 64);
    this->addWorker("w2", 64);
    this->addWorker("w3", 64);
    this->run({ "a" }, takeoverTime);
    this->shouldTasksFail = true;
    this->taskDuration = std::chrono::milliseconds(300);
    this->submit("a", job, { stepOfTasks(1, 4) });
    this->run({ "a" }, feedDelay);
    this->isDisconnectedFromStore["a"] = true;
    this->taskDuration = std::chrono::milliseconds(2500);
    this->run({ "a" }, std::chrono::milliseconds(700));
    REQUIRE(this->starts.size() == 2); // maxAttempts of the queue
    const WorkerId first = this->starts.front().to.worker;
    REQUIRE(this->starts.back().to.worker != first);
    this->unreachable.insert(first);
    this->run({ "b" }, std::chrono::milliseconds(2500));
    CHECK(this->starts.size() == 2);
    this->unreachable.clear();
    this->run({ "b" }, std::chrono::seconds(2));
    CHECK(this->starts.size() == 2);
    CHECK(this->phaseOf(job) == JobPhase::Failed);
}

} // namespace dragonflytray
