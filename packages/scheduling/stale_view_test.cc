// A leader whose change feed or list of workers is late must not go on starting tasks that it would not start if it knew the
// present state.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration cancellationLimit = std::chrono::seconds(3); // from the answer to a cancellation to the last start, as callers are promised
    constexpr Duration drainLimit = std::chrono::seconds(3); // from the entry of a draining worker to the last start on it
    constexpr Duration lag = std::chrono::seconds(5);
    constexpr Duration tickInterval = std::chrono::milliseconds(20);

    // StaleViewFixture has one worker and jobs whose tasks become due all the time. Host "a" is the first leader.
    struct StaleViewFixture : SchedulerFixture {
        std::map<std::string, Instant> cancelledAt; // by id of the job, when the cancellation was answered

        StaleViewFixture()
        {
            this->addWorker("w1", 16);
            this->taskDuration = std::chrono::milliseconds(300);
            this->run({ "a" }, takeoverTime);
        }

        // submitManyTasks() submits a job of which four tasks run at once and the others wait for room.
        void submitManyTasks(const std::string& host, const std::string& id)
        {
            StepDefinition second = stepOfTasks(400, 4);
            second.after = { 0 };
            REQUIRE(this->submit(host, id, { stepOfTasks(8, 4), second }) == ReplyStatus::Accepted);
        }

        // submitChain() submits a job of which two tasks run at once and the next ones become due when these end.
        void submitChain(const std::string& host, const std::string& id)
        {
            std::vector<StepDefinition> steps { stepOfTasks(2, 4) };
            while (steps.size() < 100) {
                const auto before = static_cast<std::uint32_t>(steps.size() - 1);
                steps.push_back(stepOfTasks(2, 4));
                steps.back().after = { before };
            }
            REQUIRE(this->submit(host, id, steps) == ReplyStatus::Accepted);
        }

        bool cancel(const std::string& host, const std::string& id)
        {
            this->replies.clear();
            this->send(host, RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + id });
            const bool isCancelled = !this->replies.empty() && this->replies.back().status == ReplyStatus::Cancelled;
            if (isCancelled)
                this->cancelledAt.emplace(id, this->now);
            return isCancelled;
        }

        std::size_t countBegun(Instant begin, Instant end) const
        {
            return static_cast<std::size_t>(std::count_if(this->begunRuns.begin(), this->begunRuns.end(), [&](const BegunRun& run) { return run.at >= begin && run.at < end; }));
        }

        // lastBegunAfter() returns the milliseconds from `time` to the last start that `isCounted`; 0 if there was none since.
        template <typename Predicate>
        std::int64_t lastBegunAfter(Instant time, Predicate isCounted) const
        {
            Instant last = time;
            for (const BegunRun& run : this->begunRuns) {
                if (isCounted(run))
                    last = std::max(last, run.at);
            }
            return toMilliseconds(last - time);
        }

        // lastStartOf() returns the milliseconds from the answer to a job's cancellation to the last start of a task of it.
        std::int64_t lastStartOf(const std::string& id) const
        {
            return this->lastBegunAfter(this->cancelledAt.at(id), [&](const BegunRun& run) { return run.start.call.run.task.job.value() == id; });
        }
    };

} // namespace

// Nobody can cancel a job or drain a worker while the store is unavailable to all hosts.
TEST_CASE_METHOD(StaleViewFixture, "Scheduler_storeUnavailableToAllHosts_goesOnStartingTasks")
{
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->setStoreContact("a", false);
    this->setStoreContact("b", false);
    for (int second = 0; second < 4; ++second) {
        CAPTURE(second);
        const Instant begin = this->now;
        this->run({ "a", "b" }, std::chrono::seconds(1));
        CHECK(this->countBegun(begin, this->now) >= 4);
    }
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_feedLagEnds_startsTasksAgainWithinOneSecond")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    this->run({ "a", "b" }, 2 * lag);
    this->feedLag["a"] = Duration(0);
    const Instant end = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->countBegun(end, this->now) >= 4);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_listLagEnds_startsTasksAgainWithinOneSecond")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->listLag["a"] = lag;
    this->run({ "a", "b" }, 2 * lag);
    this->listLag["a"] = Duration(0);
    const Instant end = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->countBegun(end, this->now) >= 4);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_cancellationBehindLaggingFeed_startsNoTaskAfterLimit")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

// The leader starts long-running tasks again after each end, so their end must not be taken for a reason to do so.
TEST_CASE_METHOD(StaleViewFixture, "Scheduler_longRunningTaskEndsBehindLaggingFeed_isNotStartedAfterLimit")
{
    StepDefinition longRunning = stepOfTasks(4, 4);
    longRunning.isLongRunning = true;
    REQUIRE(this->submit("a", job, { longRunning }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    REQUIRE(this->runningOf(job).size() == 4);
    this->feedLag["a"] = lag;
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, cancellationLimit + tickInterval);
    this->workers.at(WorkerId("w1")).restart(this->now);
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_drainingBehindLaggingList_startsNoTaskAfterLimit")
{
    this->addWorker("w2", 16);
    this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->listLag["a"] = lag;
    this->run({ "a", "b" }, std::chrono::seconds(1));
    const WorkerId draining("w1");
    this->workers.at(draining).drain(this->now);
    const Instant drainedAt = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(10));
    CHECK(this->lastBegunAfter(drainedAt, [&](const BegunRun& run) { return run.start.call.to.worker == draining; }) <= toMilliseconds(drainLimit));
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_startCarriedOutLateAfterCancellation_doesNotRun")
{
    this->startsToDelay = 1;
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::milliseconds(100));
    REQUIRE(this->starts.size() == 1);
    this->stopsToLose = 3; // a stop that arrives first would prevent the start
    REQUIRE(this->cancel("b", job));
    this->run({ "a", "b" }, std::chrono::seconds(6));
    CHECK(this->begunRuns.empty());
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_startsCarriedOutLateBehindLaggingFeed_startNoTaskAfterLimit")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = lag;
    REQUIRE(this->cancel("b", job));
    this->startsToDelay = std::numeric_limits<int>::max();
    this->stopsToLose = std::numeric_limits<int>::max(); // a stop that arrives first would prevent the start
    this->run({ "a", "b" }, std::chrono::seconds(8));
    this->startsToDelay = 0;
    this->stopsToLose = 0;
    this->run({ "a", "b" }, std::chrono::seconds(4));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_cancellationBehindNewLeadersLaggingFeed_startsNoTaskAfterLimit")
{
    this->submitManyTasks("a", job);
    this->run({ "a", "b", "c" }, std::chrono::seconds(1));
    while (this->leader() == "a")
        this->run({ "b", "c" }, tickInterval);
    const std::string newLeader = this->leader();
    const std::string other = newLeader == "b" ? "c" : "b";
    this->run({ "b", "c" }, std::chrono::milliseconds(100)); // until the new leader has read its own lease
    this->feedLag[newLeader] = lag;
    this->submitManyTasks(other, otherJob); // accepted after the lease was acquired, so no former leader can have started it
    this->run({ "b", "c" }, std::chrono::seconds(1));
    REQUIRE(this->cancel(other, job));
    REQUIRE(this->cancel(other, otherJob));
    this->run({ "b", "c" }, std::chrono::seconds(15));
    CHECK(this->lastStartOf(job) <= toMilliseconds(cancellationLimit));
    CHECK(this->lastStartOf(otherJob) <= toMilliseconds(cancellationLimit));
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
    CHECK(this->phaseOf(otherJob) == JobPhase::Cancelled);
}

TEST_CASE_METHOD(StaleViewFixture, "Scheduler_feedSilentWhileLeaseIsRenewed_startsNothingAndKeepsRuns")
{
    StepDefinition longRunning = stepOfTasks(2, 4);
    longRunning.isLongRunning = true;
    REQUIRE(this->submit("a", job, { longRunning }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    const std::vector<TaskRunId> runs = this->runningOf(job);
    REQUIRE(runs.size() == 2);
    this->submitChain("a", otherJob); // leaves room, so that no run is evicted
    this->run({ "a", "b" }, std::chrono::seconds(1));
    this->feedLag["a"] = std::chrono::hours(1);
    const Instant silentSince = this->now;
    this->run({ "a", "b" }, std::chrono::seconds(20));
    CHECK(this->lastBegunAfter(silentSince, [](const BegunRun& run) { return run.start.host == "a"; }) <= toMilliseconds(cancellationLimit));
    CHECK(this->runningOf(job) == runs);
}

namespace {

    // StaleViewPlay plays random jobs, cancellations and faults of three hosts, which a seed determines.
    struct StaleViewPlay : StaleViewFixture {
        const std::vector<std::string> names { "a", "b", "c" };
        RandomChoices random;
        std::vector<std::string> accepted; // ids of jobs
        std::vector<std::string> longRunning; // those that end only by cancellation
        std::map<std::string, Instant> cutUntil; // of hosts without the store
        std::map<std::string, Instant> lastCutAt; // last time at which a host had no store
        WorkerId draining; // empty: none is draining
        Instant drainedAt;
        std::size_t checkedRuns { 0 }; // of begunRuns

        StaleViewPlay()
        {
            this->addWorker("w2", 16);
            this->send("a", WorkersListed { { this->workers.at(WorkerId("w2")).entry() }, {}, false });
            this->run(this->names, std::chrono::seconds(1));
        }

        const std::string& randomHost() { return this->random.choose(this->names); }

        void submitRandomJob()
        {
            std::vector<StepDefinition> steps;
            for (std::uint64_t count = 1 + this->random.below(3); steps.size() < count;) {
                StepDefinition step = stepOfTasks(static_cast<std::uint32_t>(1 + this->random.below(16)), static_cast<std::int64_t>(2 + this->random.below(6)));
                if (!steps.empty())
                    step.after = { static_cast<std::uint32_t>(steps.size() - 1) };
                steps.push_back(step);
            }
            const bool isLongRunning = this->random.chance(4);
            if (isLongRunning)
                steps.back() = { .count = 2, .need = { 2000, 1000, 0 }, .estimate = std::chrono::seconds(1), .after = steps.back().after, .isLongRunning = true };
            std::string id = std::to_string(1000000000000000 + this->accepted.size() + 1);
            if (this->submit(this->randomHost(), id, std::move(steps)) != ReplyStatus::Accepted)
                return;
            if (isLongRunning)
                this->longRunning.push_back(id);
            this->accepted.push_back(std::move(id));
        }

        void cancelRandomJob()
        {
            std::vector<std::string> active;
            std::copy_if(this->accepted.begin(), this->accepted.end(), std::back_inserter(active), [this](const std::string& id) { return !isFinal(this->phaseOf(id)) && !this->cancelledAt.contains(id); });
            if (!active.empty())
                this->cancel(this->randomHost(), this->random.choose(active));
        }

        void changeLag()
        {
            std::map<std::string, Duration>& lags = this->random.chance(3) ? this->listLag : this->feedLag;
            lags[this->randomHost()] = this->random.chance(2) ? Duration(0) : this->random.duration(0, 6000);
        }

        void cutRandomHost()
        {
            const std::string& name = this->randomHost();
            if (!this->cutUntil.empty())
                return;
            this->cutUntil[name] = this->now + this->random.duration(500, 6000);
            this->setStoreContact(name, false);
        }

        void drainWorker()
        {
            this->draining = WorkerId("w2");
            this->drainedAt = this->now;
            this->workers.at(this->draining).drain(this->now);
        }

        void endCuts(Instant time)
        {
            std::erase_if(this->cutUntil, [&](const auto& cut) {
                this->lastCutAt[cut.first] = this->now;
                if (cut.second <= time)
                    this->setStoreContact(cut.first, true);
                return cut.second <= time;
            });
        }

        // act() makes at random what callers, hosts, the store and the network do in one tick.
        void act()
        {
            if (this->random.chance(30))
                this->submitRandomJob();
            if (this->random.chance(40))
                this->cancelRandomJob();
            if (this->random.chance(100))
                this->changeLag();
            if (this->random.chance(600))
                this->cutRandomHost();
            if (this->random.chance(900) && !this->leader().empty())
                this->restartHost(this->leader());
            if (this->random.chance(800) && this->draining.isEmpty())
                this->drainWorker();
            this->startsToDelay += this->random.chance(40) ? 1 : 0;
            this->stopsToLose += this->random.chance(40) ? 1 : 0;
            this->taskDuration = this->random.duration(200, 1500);
            this->endCuts(this->now);
        }

        // isInTouch() says whether the host held the lease when it sent the start and had had the store for some time.
        bool isInTouch(const SentStart& start) const
        {
            constexpr Duration contactTime = std::chrono::seconds(3); // after which the limits hold for a host that was cut off
            const auto cut = this->lastCutAt.find(start.host);
            return start.isFromLeader && (cut == this->lastCutAt.end() || cut->second + contactTime <= start.sentAt);
        }

        void check(const BegunRun& run) const
        {
            if (!this->isInTouch(run.start))
                return;
            const TaskRunId& id = run.start.call.run;
            CAPTURE(run.start.host, run.start.call.to.worker.value(), formatRun(id), toMilliseconds(run.at - run.start.sentAt));
            if (const auto cancelled = this->cancelledAt.find(id.task.job.value()); cancelled != this->cancelledAt.end())
                CHECK(toMilliseconds(run.at - cancelled->second) <= toMilliseconds(cancellationLimit));
            if (run.start.call.to.worker == this->draining)
                CHECK(toMilliseconds(run.at - this->drainedAt) <= toMilliseconds(drainLimit));
        }

        void checkNewRuns()
        {
            for (; this->checkedRuns < this->begunRuns.size(); ++this->checkedRuns)
                this->check(this->begunRuns[this->checkedRuns]);
            CHECK(this->maxConcurrentRuns <= 1);
        }

        void runTick()
        {
            this->run(this->names, tickInterval);
            this->checkNewRuns();
        }

        // settle() ends the faults and runs until all jobs are over, or for `time`.
        void settle(Duration time)
        {
            this->feedLag.clear();
            this->listLag.clear();
            this->taskDuration = std::chrono::milliseconds(300);
            this->startsToDelay = 0;
            this->stopsToLose = 0;
            this->endCuts(Instant::max());
            for (const std::string& id : this->longRunning)
                this->cancel("a", id);
            for (const Instant end = this->now + time; this->now < end && !this->areOver(this->accepted);)
                this->runTick();
        }
    };

} // namespace

TEST_CASE_METHOD(StaleViewPlay, "Scheduler_randomLagsAndFaults_keepLimitAndCompleteJobs")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 51 }));
    CAPTURE(seed);
    this->random.seed(seed);
    for (const Instant end = this->now + std::chrono::seconds(30); this->now < end;) {
        this->act();
        this->runTick();
    }
    this->settle(std::chrono::seconds(60));
    for (const std::string& id : this->accepted) {
        CAPTURE(id);
        CHECK(isFinal(this->phaseOf(id)));
        CHECK(this->runningOf(id).empty());
        if (!this->cancelledAt.contains(id))
            CHECK(this->phaseOf(id) == JobPhase::Completed);
    }
}

} // namespace dragonflytray
