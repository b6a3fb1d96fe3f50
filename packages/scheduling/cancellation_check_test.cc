// A leader whose change feed is late goes on with runs of jobs whose cancellation another host has answered.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration cancellationLimit = std::chrono::seconds(3); // from the answer to a cancellation to the stops, as callers are promised
    constexpr Duration stopTimeout = std::chrono::milliseconds(400); // within which a worker ends a run after a stop
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration writeTimeout = std::chrono::seconds(1); // after which the store counts as not answering

    // CancellationCheckFixture has a check of jobs whose rows a store contains. Answers of the store take `answerTime`.
    class CancellationCheckFixture {
    protected:
        struct Answer {
            RowsWriteEnded end;
            Instant due;
        };

        void addJobs(std::size_t count)
        {
            for (std::size_t number = 0; number < count; ++number)
                this->jobs.emplace_back(std::to_string(1000000000000000 + this->jobs.size()));
        }

        void cancel(const JobId& id)
        {
            const StoredRowKey key { StoredRowKind::Cancellation, id.value() };
            const RowsWriteEnded end = this->store.apply({ .write = 0, .partition = partitionOf(key), .conditions = {}, .puts = { { key, CancellationRequest { 1 } } }, .removals = {} });
            REQUIRE(end.status == TransactionStatus::Committed);
        }

        // run() advances the time. The store receives a transaction when it is sent.
        void run(Duration time)
        {
            for (const Instant end = this->now + time; this->now < end; this->now += tickInterval) {
                this->deliverAnswers();
                if (!this->check.isDue(this->viewedAt, this->now))
                    continue;
                for (const WriteStoredRows& write : this->check.collect(this->jobs, this->viewedAt, this->nextWrite, this->now))
                    this->send(write);
            }
        }

        void send(const WriteStoredRows& write)
        {
            CHECK(write.puts.empty());
            CHECK(write.removals.empty());
            CHECK(write.conditions.size() <= CancellationCheck::Options {}.maxJobsPerWrite);
            this->sent.push_back(write);
            RowsWriteEnded end { write.write, TransactionStatus::Ambiguous, 0, {} };
            if (this->answersToLose == 0)
                end = this->store.apply(write);
            this->answers.push_back({ std::move(end), this->now + (this->answersToLose > 0 ? writeTimeout : this->answerTime) });
            this->answersToLose -= this->answersToLose > 0 ? 1 : 0;
        }

        void deliverAnswers()
        {
            std::erase_if(this->answers, [&](const Answer& answer) {
                if (answer.due > this->now)
                    return false;
                REQUIRE(this->check.owns(answer.end.write));
                for (const StoredRowChange& row : this->check.writeEnded(answer.end, this->now).cancellations)
                    this->foundAt.emplace(JobId(row.key.name), this->now);
                return true;
            });
        }

        Instant now { std::chrono::hours(1) };
        Instant viewedAt { now };
        SimulatedStore store;
        CancellationCheck check { CancellationCheck::Options {} };
        std::vector<JobId> jobs; // that run
        std::uint64_t nextWrite { 1 };
        Duration answerTime { std::chrono::milliseconds(20) };
        std::size_t answersToLose { 0 }; // of the next transactions
        std::vector<WriteStoredRows> sent;
        std::vector<Answer> answers; // in flight
        std::map<JobId, Instant> foundAt; // when the cancellation of a job was found
    };

    // LateFeedFixture has one worker, and a job of four long-running tasks. Host "a" is the first leader.
    struct LateFeedFixture : SchedulerFixture {
        LateFeedFixture()
        {
            this->addWorker("w1", 32);
            this->run({ "a" }, takeoverTime);
            this->submitLongRunning(job);
        }

        void submitLongRunning(const std::string& id)
        {
            StepDefinition longRunning = stepOfTasks(4, 4);
            longRunning.isLongRunning = true;
            REQUIRE(this->submit("a", id, { longRunning }) == ReplyStatus::Accepted);
            this->run({ "a", "b" }, std::chrono::seconds(1));
            REQUIRE(this->runningOf(id).size() == 4);
        }

        void cancel(const std::string& host, const std::string& id)
        {
            this->replies.clear();
            this->send(host, RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + id });
            REQUIRE(!this->replies.empty());
            REQUIRE(this->replies.back().status == ReplyStatus::Cancelled);
        }

        std::ptrdiff_t countChecks(const std::string& outcome) const
        {
            return std::count_if(this->log.begin(), this->log.end(), [&](const LogDecision& line) { return line.event == DecisionEvent::CancellationsChecked && line.outcome == outcome; });
        }
    };

} // namespace

TEST_CASE_METHOD(CancellationCheckFixture, "CancellationCheck_viewIsRecent_sendsNothing")
{
    this->addJobs(250);
    for (int i = 0; i < 10; ++i) {
        this->viewedAt = this->now;
        this->run(std::chrono::milliseconds(900));
    }
    CHECK(this->sent.empty());
}

TEST_CASE_METHOD(CancellationCheckFixture, "CancellationCheck_viewIsOld_asksForEveryJobOnceASecond")
{
    constexpr std::size_t jobCount = 1000;
    constexpr std::int64_t seconds = 10;
    this->addJobs(jobCount);
    this->run(std::chrono::seconds(seconds));
    std::map<std::string, std::int64_t> asked;
    for (const WriteStoredRows& write : this->sent) {
        for (const StoredRowCondition& condition : write.conditions) {
            CHECK(condition.key.kind == StoredRowKind::Cancellation);
            CHECK(condition.version == 0);
            CHECK(partitionOf(condition.key) == write.partition);
            ++asked[condition.key.name];
        }
    }
    CHECK(asked.size() == jobCount);
    for (const auto& [id, count] : asked)
        CHECK(count <= seconds);
    CHECK(this->sent.size() <= (jobCount / 100 + jobPartitions) * seconds);
}

TEST_CASE_METHOD(CancellationCheckFixture, "CancellationCheck_jobCancelledAtAnyTimeWhileViewIsOld_isFoundInTime")
{
    const auto delay = std::chrono::milliseconds(GENERATE(0, 500, 980, 1000, 1020, 1500, 2100, 2900));
    this->answerTime = std::chrono::milliseconds(GENERATE(20, 500, 900));
    this->answersToLose = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    CAPTURE(delay, toMilliseconds(this->answerTime), this->answersToLose);
    this->addJobs(1000);
    this->run(delay);
    const Instant cancelledAt = this->now;
    for (std::size_t number = 0; number < this->jobs.size(); number += 50)
        this->cancel(this->jobs[number]);
    this->run(cancellationLimit + std::chrono::seconds(1));
    CHECK(this->foundAt.size() == 20);
    for (const auto& [id, at] : this->foundAt)
        CHECK(toMilliseconds(at - cancelledAt) <= toMilliseconds(cancellationLimit));
}

TEST_CASE_METHOD(CancellationCheckFixture, "CancellationCheck_storeDoesNotAnswer_sendsOneTransactionOfAPartitionAtATime")
{
    this->addJobs(1000);
    this->answersToLose = 1000;
    this->run(std::chrono::seconds(3));
    const std::size_t before = this->sent.size();
    this->run(std::chrono::seconds(13));
    constexpr std::size_t maxPerPartition = 10; // each takes the time-out and the delay
    CHECK(this->sent.size() - before <= maxPerPartition * jobPartitions);
    this->answersToLose = 0;
    this->cancel(this->jobs.back());
    this->run(cancellationLimit);
    CHECK(this->foundAt.contains(this->jobs.back()));
}

TEST_CASE_METHOD(CancellationCheckFixture, "CancellationCheck_jobNoLongerRuns_isNotAskedForAgain")
{
    this->addJobs(4);
    this->run(std::chrono::seconds(3));
    REQUIRE_FALSE(this->sent.empty());
    this->jobs.clear();
    const std::size_t before = this->sent.size();
    this->run(std::chrono::seconds(3));
    CHECK(this->sent.size() == before);
}

TEST_CASE_METHOD(LateFeedFixture, "Scheduler_feedIsUpToDate_readsNoCancellations")
{
    this->run({ "a", "b" }, std::chrono::seconds(20));
    CHECK(this->runningOf(job).size() == 4);
    CHECK(this->countChecks("committed") + this->countChecks("conflict") + this->countChecks("unavailable") == 0);
}

TEST_CASE_METHOD(LateFeedFixture, "Scheduler_oneOfTwoJobsCancelledBehindLateFeed_stopsOnlyItsRuns")
{
    this->submitLongRunning(otherJob);
    const auto others = this->runningOf(otherJob);
    this->feedLag["a"] = std::chrono::seconds(10);
    this->cancel("b", job);
    this->run({ "a", "b" }, cancellationLimit + stopTimeout);
    CHECK(this->runningOf(job).empty());
    CHECK(this->countChecks("conflict") > 0);
    this->run({ "a", "b" }, std::chrono::seconds(20));
    CHECK(this->runningOf(otherJob) == others);
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
}

// The leader's own record of the end is still behind the feed, too.
TEST_CASE_METHOD(LateFeedFixture, "Scheduler_jobCompletedBeforeItsCancellationIsRead_staysCompleted")
{
    this->taskDuration = std::chrono::milliseconds(1200);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::milliseconds(200));
    REQUIRE(this->runningOf(otherJob).size() == 1);
    this->feedLag["a"] = std::chrono::seconds(10);
    this->feedLag["b"] = std::chrono::seconds(10);
    this->run({ "a", "b" }, std::chrono::milliseconds(1400));
    REQUIRE(this->phaseOf(otherJob) == JobPhase::Completed);
    this->cancel("b", otherJob);
    this->run({ "a", "b" }, std::chrono::seconds(30));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

// The leader's write of the ends conflicts with a row of an earlier leader, which it merges, before it reads the cancellation.
TEST_CASE_METHOD(LateFeedFixture, "Scheduler_writeOfProgressConflictsBesideCancellation_recordsEndsAndCancellation")
{
    this->taskDuration = std::chrono::milliseconds(700);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(12, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::milliseconds(200));
    REQUIRE(this->runningOf(otherJob).size() == 4);
    this->feedLag["a"] = std::chrono::seconds(10);
    const StoredRowKey key { StoredRowKind::Progress, otherJob };
    JobProgress former { .phase = JobPhase::Running };
    former.stepProgress[0].done = std::vector<bool>(12, false);
    former.stepProgress[0].done[11] = true;
    REQUIRE(this->store.apply({ .write = 0, .partition = partitionOf(key), .conditions = {}, .puts = { { key, former } }, .removals = {} }).status == TransactionStatus::Committed);
    this->cancel("b", otherJob);
    this->taskDuration = std::chrono::seconds(20);
    this->run({ "a", "b" }, cancellationLimit + stopTimeout);
    CHECK(std::any_of(this->log.begin(), this->log.end(), [](const LogDecision& line) { return line.event == DecisionEvent::WriteRetried && line.outcome == "conflict"; }));
    CHECK(this->runningOf(otherJob).empty());
    CHECK(this->phaseOf(otherJob) == JobPhase::Cancelled);
    const auto done = std::get<JobProgress>(*this->store.find(key)->value).stepProgress.at(0).done;
    CHECK(std::count(done.begin(), done.end(), true) == 5);
}

// Nothing is answered, so that the cancellation is read at the return of the store.
TEST_CASE_METHOD(LateFeedFixture, "Scheduler_cancellationReadFailsBehindLateFeed_isRepeated")
{
    this->feedLag["a"] = std::chrono::seconds(10);
    this->cancel("b", job);
    this->run({ "a", "b" }, std::chrono::milliseconds(600));
    this->isDisconnectedFromStore["a"] = true;
    this->run({ "a" }, std::chrono::milliseconds(1200));
    REQUIRE(this->countChecks("unavailable") > 0);
    REQUIRE(this->runningOf(job).size() == 4);
    this->isDisconnectedFromStore["a"] = false;
    this->run({ "a", "b" }, std::chrono::milliseconds(1200) + stopTimeout);
    CHECK(this->runningOf(job).empty());
}

TEST_CASE_METHOD(LateFeedFixture, "Scheduler_takeoverByHostWithLateFeed_stopsRunsOfJobCancelledAfterwards")
{
    this->run({ "b" }, std::chrono::seconds(3)); // "a" is gone
    REQUIRE(this->leader() == "b");
    this->run({ "b", "c" }, std::chrono::seconds(1));
    const auto runs = this->runningOf(job);
    REQUIRE(runs.size() == 4);
    this->feedLag["b"] = std::chrono::seconds(10);
    this->cancel("c", job);
    this->run({ "b", "c" }, cancellationLimit + stopTimeout);
    CHECK(this->runningOf(job).empty());
}

// The former leader reads the cancellation after another host has taken over; its calls are fenced.
TEST_CASE_METHOD(LateFeedFixture, "Scheduler_leaderReplacedWhileFeedIsLate_stopsRunsOfCancelledJob")
{
    this->feedLag["a"] = std::chrono::seconds(10);
    this->run({ "a", "b" }, std::chrono::milliseconds(500));
    this->cancel("b", job);
    this->run({ "b" }, std::chrono::milliseconds(2500));
    REQUIRE(this->leader() == "b");
    this->run({ "a", "b" }, std::chrono::seconds(2));
    CHECK(this->runningOf(job).empty());
    CHECK(this->phaseOf(job) == JobPhase::Cancelled);
    this->run({ "a", "b" }, std::chrono::seconds(20));
    CHECK(this->leader() == "b");
    CHECK(this->begunRuns.size() == 4);
}

} // namespace dragonflytray
