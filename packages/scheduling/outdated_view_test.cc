// Further histories in which a leader does not know the present state of the store or of a worker.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>
#include <random>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration cancellationLimit = std::chrono::seconds(3); // from the answer to a cancellation to the last start, as callers are promised
    constexpr Duration drainingLimit = std::chrono::seconds(3); // from the entry of a draining worker to the last start on it
    constexpr Duration stopTimeout = std::chrono::milliseconds(400); // within which a worker ends a run after a stop
    constexpr Duration renewInterval = std::chrono::milliseconds(500); // of a leader's lease
    constexpr Duration lag = std::chrono::seconds(10);
    constexpr Duration tickInterval = std::chrono::milliseconds(20);

    // OutdatedViewFixture has one worker and jobs whose tasks become due all the time. Host "a" is the first leader.
    struct OutdatedViewFixture : SchedulerFixture {
        Instant cancelledAt;

        OutdatedViewFixture()
        {
            this->addWorker("w1", 16);
            this->taskDuration = std::chrono::milliseconds(300);
        }

        void lead() { this->run({ "a" }, takeoverTime); }

        // submitManyTasks() submits a job of which four tasks run at once and the others wait for room.
        void submitManyTasks(const std::string& host)
        {
            StepDefinition second = stepOfTasks(400, 4);
            second.after = { 0 };
            REQUIRE(this->submit(host, job, { stepOfTasks(8, 4), second }) == ReplyStatus::Accepted);
        }

        void submitLongRunning(const std::string& host)
        {
            StepDefinition longRunning = stepOfTasks(4, 4);
            longRunning.isLongRunning = true;
            REQUIRE(this->submit(host, job, { longRunning }) == ReplyStatus::Accepted);
        }

        void cancel(const std::string& host)
        {
            this->replies.clear();
            this->send(host, RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + job });
            REQUIRE(!this->replies.empty());
            REQUIRE(this->replies.back().status == ReplyStatus::Cancelled);
            this->cancelledAt = this->now;
        }

        void setStoreContact(const std::string& host, bool isConnected)
        {
            this->isDisconnectedFromStore[host] = !isConnected;
            this->send(host, StoreContact { isConnected });
        }

        std::size_t countBegun(Instant begin, Instant end) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.at >= begin && run.at < end; }));
        }

        // lastStart() returns the milliseconds from the answer to the cancellation to the last start.
        std::int64_t lastStart() const
        {
            Instant last = this->cancelledAt;
            for (const BegunRun& run : this->begunRuns)
                last = std::max(last, run.at);
            return toMilliseconds(last - this->cancelledAt);
        }
    };

} // namespace

// A cancellation that was answered before the outage is not unknown because of it.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_storeLostWhileFeedLags_startsNoTaskOfJobCancelledBefore")
{
    this->lead();
    this->submitManyTasks("a");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    this->cancel("b");
    this->run({ "a", "b" }, cancellationLimit);
    const Instant lostAt = this->now;
    this->setStoreContact("a", false);
    this->setStoreContact("b", false);
    this->run({ "a", "b" }, std::chrono::seconds(6));
    CHECK(this->countBegun(lostAt, this->now) == 0);
    CHECK(this->lastStart() <= toMilliseconds(cancellationLimit));
}

// One renewal whose answer is lost leaves the leader without an answer for 1.7 s (0.5 s between renewals, 1 s time-out, 0.2 s
// until the next attempt), although the store carries it out and answers everything else but the feed.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_renewalAnswerLostWhileFeedIsCut_startsNoTaskAfterLimit")
{
    this->lead();
    this->submitManyTasks("a");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = std::chrono::hours(1);
    this->send("a", StoreContact { false });
    this->cancel("b");
    this->run({ "a", "b" }, std::chrono::seconds(10));
    REQUIRE(this->leader() == "a");
    this->isDisconnectedFromStore["a"] = true;
    this->run({ "a" }, std::chrono::milliseconds(1700)); // the others have seen the renewal, so none takes over
    this->isDisconnectedFromStore["a"] = false;
    this->run({ "a", "b" }, std::chrono::seconds(3));
    CHECK(this->lastStart() <= toMilliseconds(cancellationLimit));
}

TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_cancellationBehindLaggingFeed_stopsRunsAfterLimit")
{
    this->lead();
    this->submitLongRunning("a");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);
    this->feedLag["a"] = lag;
    this->cancel("b");
    this->run({ "a", "b" }, cancellationLimit + stopTimeout + tickInterval);
    CHECK(this->runningOf(job).empty());
}

// The leader goes on writing the progress of the job.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_cancellationOfJobWithEndsBehindLaggingFeed_stopsRunsAfterLimit")
{
    this->lead();
    this->taskDuration = std::chrono::milliseconds(2900);
    REQUIRE(this->submit("a", job, { stepOfTasks(40, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::milliseconds(1500));
    this->feedLag["a"] = lag;
    this->cancel("b");
    this->taskDuration = std::chrono::seconds(20);
    this->run({ "a", "b" }, cancellationLimit + stopTimeout + tickInterval);
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_leaderAnswersCancellationBehindLaggingFeed_stopsRunsAfterLimit")
{
    this->lead();
    this->submitLongRunning("a");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);
    this->feedLag["a"] = lag;
    this->cancel("a");
    this->run({ "a", "b" }, cancellationLimit + stopTimeout + tickInterval);
    CHECK(this->runningOf(job).empty());
}

// The list of workers shows the new incarnation before the first answer of the worker does.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_restartedWorkerIsListedFirst_completesJobWithoutRepeatingTasks")
{
    this->lead();
    REQUIRE(this->submit("a", job, { stepOfTasks(40, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    SimulatedWorker& worker = this->workers.at(WorkerId("w1"));
    worker.restart(this->now);
    for (DelayedReport& report : this->delayedReports) // the poll in flight to the former incarnation
        report.end.status = WorkerCallStatus::Unclear;
    this->send("a", WorkersListed { { worker.entry() }, {}, false, this->store.version() });
    const Instant restartedAt = this->now;
    this->run({ "a" }, std::chrono::seconds(20));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
    std::map<TaskId, std::size_t> runs;
    for (const BegunRun& run : this->begunRuns)
        runs[run.start.call.run.task] += run.at > restartedAt + std::chrono::milliseconds(100) ? 1 : 0;
    for (const auto& [task, count] : runs)
        CHECK(count <= 1);
}

// Answers of a quiet list arrive as often as its polls end: 1 s, and 0.2 s between two.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_quietListAndShortestDrainingLimit_startsTasksWithoutPause")
{
    this->dispatcherOptions.maxWorkersViewAge = std::chrono::seconds(2); // of a limit of 3 s, the least that the settings accept
    this->lead();
    this->shouldDeliverLists = false;
    this->submitManyTasks("a");
    const Instant begin = this->now;
    const std::size_t linesBefore = this->log.size();
    while (this->now < begin + std::chrono::seconds(6)) {
        const RowVersion version = this->store.version();
        this->send("a", WorkersListed { {}, {}, false, version });
        this->run({ "a" }, std::chrono::milliseconds(1200));
    }
    const auto pauses = std::count_if(this->log.begin() + static_cast<std::ptrdiff_t>(linesBefore), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::StartsPaused; });
    CHECK(pauses == 0);
}

// The same with the limit of 3 s and a job that arrives while nothing but the lease is written.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_quietListOfIdleLeader_doesNotPauseStarts")
{
    this->lead();
    this->shouldDeliverLists = false;
    const std::size_t linesBefore = this->log.size();
    for (const Instant begin = this->now; this->now < begin + std::chrono::seconds(10);) {
        const RowVersion version = this->store.version();
        this->send("a", WorkersListed { {}, {}, false, version });
        this->run({ "a" }, std::chrono::milliseconds(1300));
    }
    const auto pauses = std::count_if(this->log.begin() + static_cast<std::ptrdiff_t>(linesBefore), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::StartsPaused; });
    CHECK(pauses == 0);
}

// A follower doesn't follow the list, so none of its writes is reached in it.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_followerWithManyWritesTakesOver_startsTasksBeforeTheNextRenewal")
{
    const bool hasWrites = GENERATE(false, true);
    CAPTURE(hasWrites);
    this->lead();
    this->shouldDeliverLists = false; // to followers
    this->run({ "a", "b" }, std::chrono::milliseconds(100));
    this->run({ "b" }, std::chrono::milliseconds(100));
    for (int number = 0; hasWrites && number < 1200; ++number)
        REQUIRE(this->submit("b", std::to_string(1000000000000000 + number), { stepOfTasks(1, 17) }) == ReplyStatus::Accepted); // fits on no worker
    this->run({ "a", "b" }, std::chrono::seconds(5));
    while (this->leader() != "b")
        this->run({ "b" }, tickInterval);
    const Instant acquiredAt = this->now;
    this->shouldDeliverLists = true;
    REQUIRE(this->submit("c", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted); // accepted after the lease was acquired
    const auto isBegun = [&] { return std::any_of(this->begunRuns.begin(), this->begunRuns.end(), [](const BegunRun& run) { return run.start.call.run.task.job.value() == job; }); };
    while (!isBegun() && this->now < acquiredAt + std::chrono::seconds(20))
        this->run({ "b" }, tickInterval);
    INFO("started " << toMilliseconds(this->now - acquiredAt) << " ms after the acquisition");
    CHECK(this->now - acquiredAt < renewInterval); // it needs no further renewal
}

TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_feedLagsForLong_keepsLongRunningRuns")
{
    this->addWorker("w2", 16);
    this->lead();
    this->submitLongRunning("a");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    const auto runs = this->runningOf(job);
    REQUIRE(runs.size() == 4);
    this->feedLag["a"] = lag;
    this->run({ "a", "b" }, std::chrono::seconds(20));
    CHECK(this->runningOf(job) == runs);
    CHECK(this->maxConcurrentRuns <= 1);
}

// Only the partitions of the jobs are unavailable: the list of workers goes on, and workers begin to drain.
TEST_CASE_METHOD(OutdatedViewFixture, "Scheduler_drainingBehindLaggingListWhileJobsAreUnavailable_startsNoTaskAfterLimit")
{
    this->lead();
    this->submitManyTasks("a");
    this->run({ "a" }, std::chrono::seconds(1));
    this->shouldDeliverLists = false;
    this->workers.at(WorkerId("w1")).drain(this->now);
    const Instant drainedAt = this->now;
    const RowVersion staleVersion = this->store.version(); // all that the late list delivers
    this->setStoreContact("a", false);
    while (this->now < drainedAt + std::chrono::seconds(6)) {
        this->send("a", WorkersListed { {}, {}, false, staleVersion });
        this->run({ "a" }, std::chrono::milliseconds(200));
    }
    CHECK(this->countBegun(drainedAt + drainingLimit, this->now) == 0);
}

namespace {

    // OutdatedViewPlay plays random cancellations and faults of two hosts, which a seed determines. The feed alone is cut,
    // short times without any answer of the store follow, and workers start again under their ids.
    struct OutdatedViewPlay : OutdatedViewFixture {
        const std::vector<std::string> names { "a", "b" };
        std::mt19937_64 random;
        std::vector<std::string> accepted; // ids of jobs
        std::map<std::string, Instant> cancellations; // by id of the job, when each was answered
        std::map<std::string, Instant> silentUntil; // of hosts that the store does not answer
        std::size_t checkedRuns { 0 }; // of begunRuns

        bool chance(std::uint64_t oneIn) { return this->random() % oneIn == 0; }
        const std::string& randomHost() { return this->names[this->random() % this->names.size()]; }

        void submitRandomJob()
        {
            std::string id = std::to_string(1000000000000000 + this->accepted.size() + 1);
            if (this->submit(this->randomHost(), id, { stepOfTasks(static_cast<std::uint32_t>(1 + this->random() % 30), 4) }) == ReplyStatus::Accepted)
                this->accepted.push_back(std::move(id));
        }

        void cancelRandomJob()
        {
            const std::string& id = this->accepted[this->random() % this->accepted.size()];
            if (this->cancellations.contains(id) || isFinal(this->phaseOf(id)))
                return;
            this->replies.clear();
            this->send(this->randomHost(), RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + id });
            if (!this->replies.empty() && this->replies.back().status == ReplyStatus::Cancelled)
                this->cancellations.emplace(id, this->now);
        }

        void setFeed(const std::string& host, bool isAnswered)
        {
            this->feedLag[host] = isAnswered ? Duration(0) : Duration(std::chrono::hours(1));
            this->send(host, StoreContact { isAnswered });
        }

        void restartWorker()
        {
            SimulatedWorker& worker = this->workers.at(WorkerId("w1"));
            worker.restart(this->now);
            for (DelayedReport& report : this->delayedReports) // the poll in flight to the former incarnation
                report.end.status = WorkerCallStatus::Unclear;
            for (const std::string& name : this->names)
                this->send(name, WorkersListed { { worker.entry() }, {}, false, 0 });
        }

        void act()
        {
            if (this->chance(30))
                this->submitRandomJob();
            if (this->chance(40) && !this->accepted.empty())
                this->cancelRandomJob();
            if (this->chance(150))
                this->setFeed(this->randomHost(), this->chance(2));
            if (this->chance(200))
                this->silentUntil.emplace(this->randomHost(), this->now + std::chrono::milliseconds(this->random() % 1700));
            if (this->chance(500))
                this->restartWorker();
            for (const std::string& name : this->names)
                this->isDisconnectedFromStore[name] = this->silentUntil.contains(name);
            std::erase_if(this->silentUntil, [this](const auto& entry) { return entry.second <= this->now; });
        }

        void check()
        {
            for (; this->checkedRuns < this->begunRuns.size(); ++this->checkedRuns) {
                const BegunRun& run = this->begunRuns[this->checkedRuns];
                const auto cancelled = this->cancellations.find(run.start.call.run.task.job.value());
                CAPTURE(run.start.host, formatRun(run.start.call.run));
                if (cancelled != this->cancellations.end() && run.start.isFromLeader)
                    CHECK(toMilliseconds(run.at - cancelled->second) <= toMilliseconds(cancellationLimit));
            }
            CHECK(this->maxConcurrentRuns <= 1);
        }
    };

} // namespace

TEST_CASE_METHOD(OutdatedViewPlay, "Scheduler_randomFeedCutsAndRestartsOfWorkers_keepLimitAndCompleteJobs")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 41 }));
    CAPTURE(seed);
    this->random.seed(seed);
    this->addWorker("w2", 16);
    this->lead();
    for (const Instant end = this->now + std::chrono::seconds(30); this->now < end;) {
        this->act();
        this->run(this->names, tickInterval);
        this->check();
    }
    for (const std::string& name : this->names) {
        this->isDisconnectedFromStore[name] = false;
        this->setFeed(name, true);
    }
    this->run(this->names, std::chrono::seconds(90));
    for (const std::string& id : this->accepted) {
        CAPTURE(id);
        CHECK(isFinal(this->phaseOf(id)));
        CHECK(this->runningOf(id).empty());
    }
}

} // namespace dragonflytray
