// A host can lose a cell and acquire it again while a write of its earlier term is in flight.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration feedDelay = std::chrono::milliseconds(40); // two ticks
    constexpr Duration commitInterval = std::chrono::milliseconds(200); // longer than any delay of the recorder

    // RecorderFixture has one job of three tasks, whose progress is written to a store.
    class RecorderFixture {
    protected:
        RecorderFixture()
        {
            this->record.definition.id = JobId(job);
            this->record.definition.steps = { stepOfTasks(3, 4) };
            this->record.definitionVersion = 1;
        }

        // beginTerm() opens the job as the leader of that epoch does, from the progress that it has read before.
        void beginTerm(Epoch epoch)
        {
            this->executions[JobId(job)] = std::make_unique<JobExecution>(this->record, epoch, false, this->now);
            (void)this->execution().openDueSteps(1, this->now);
        }

        JobExecution& execution() { return *this->executions.at(JobId(job)); }

        void endTask(std::uint32_t index)
        {
            this->execution().markDone({ JobId(job), 0, 0, index }, this->now);
            this->recorder.add(JobId(job), false);
        }

        WriteStoredRows compose()
        {
            this->now += commitInterval;
            std::vector<WriteStoredRows> writes = this->recorder.collect(this->executions, this->nextWrite, this->now);
            REQUIRE(writes.size() == 1);
            return writes.front();
        }

        void end(const RowsWriteEnded& end) { CHECK(this->recorder.writeEnded(end, this->executions, this->now).later.empty()); }

        // recordAll() writes until nothing is left to record.
        void recordAll()
        {
            constexpr int maxWrites = 5;
            for (int i = 0; i < maxWrites && this->execution().isDirty(); ++i)
                this->end(this->store.apply(this->compose()));
            CHECK_FALSE(this->execution().isDirty());
        }

        std::vector<bool> storedEnds() const
        {
            return std::get<JobProgress>(*this->store.find({ StoredRowKind::Progress, job })->value).stepProgress.at(0).done;
        }

        Instant now { std::chrono::hours(1) };
        SimulatedStore store;
        JobRecord record;
        JobExecutions executions;
        Recorder recorder { Recorder::Options {} };
        std::uint64_t nextWrite { 1 };
    };

} // namespace

TEST_CASE_METHOD(RecorderFixture, "Recorder_writeOfEarlierTermCommitted_leavesTheNewTermUnrecorded")
{
    this->beginTerm(3);
    this->endTask(0);
    const WriteStoredRows write = this->compose();
    this->beginTerm(5);
    this->endTask(1);
    this->end(this->store.apply(write));
    CHECK(this->execution().isDirty());
    CHECK(this->execution().recorded() < this->execution().generation());
}

TEST_CASE_METHOD(RecorderFixture, "Recorder_writeOfEarlierTermCommitted_keepsTheEndsOfBothTerms")
{
    this->beginTerm(3);
    this->endTask(0);
    const WriteStoredRows write = this->compose();
    this->beginTerm(5);
    this->endTask(1);
    this->end(this->store.apply(write));
    this->endTask(2);
    this->recordAll();
    CHECK(this->storedEnds() == std::vector<bool> { true, true, true });
}

TEST_CASE_METHOD(RecorderFixture, "Recorder_writeOfEarlierTermTakesEffectWithoutAnswer_keepsTheEndsOfBothTerms")
{
    this->beginTerm(3);
    this->endTask(0);
    const WriteStoredRows write = this->compose();
    this->beginTerm(5);
    this->endTask(1);
    this->store.apply(write);
    this->end({ write.write, TransactionStatus::Ambiguous, 0, {} });
    this->recordAll();
    CHECK(this->storedEnds() == std::vector<bool> { true, true, false });
}

TEST_CASE_METHOD(RecorderFixture, "Recorder_writeOfEarlierTermConflicts_keepsTheEndsOfBothTerms")
{
    this->beginTerm(3);
    this->endTask(0);
    const WriteStoredRows write = this->compose();
    this->store.apply(write); // the same content under another number, whose answer was lost
    this->beginTerm(5);
    this->endTask(1);
    this->end(this->store.apply(write));
    CHECK(this->execution().isDirty());
    this->recordAll();
    CHECK(this->storedEnds() == std::vector<bool> { true, true, false });
}

namespace {

    // LateWriteFixture has a leader "a" and a job with one task on each of two workers. A write of progress that "a" has sent
    // can be held, so that the store executes it late.
    struct LateWriteFixture : SchedulerFixture {
        const WorkerId first { "w1" };
        const WorkerId second { "w2" };
        bool isHolding { false };
        std::vector<WriteStoredRows> held;

        LateWriteFixture()
        {
            this->addWorker("w1", 4);
            this->addWorker("w2", 4);
            this->run({ "a" }, takeoverTime);
            this->submit("a", job, { stepOfTasks(2, 4) });
        }

        void sendHolding(const SchedulerCommand& command)
        {
            for (const SchedulerEffect& effect : this->host("a").handle(command, this->now)) {
                const auto* write = std::get_if<WriteStoredRows>(&effect);
                if (write && this->isHolding && !write->puts.empty() && write->puts.front().key.kind == StoredRowKind::Progress)
                    this->held.push_back(*write);
                else
                    this->carryOut("a", effect);
            }
        }

        // runHolding() is run() for host "a", whose writes of progress are held.
        void runHolding(Duration time)
        {
            constexpr Duration tickInterval = std::chrono::milliseconds(20);
            this->isHolding = true;
            for (const Instant end = this->now + time; this->now < end; this->now += tickInterval) {
                for (auto& [id, worker] : this->workers)
                    worker.advance(this->now);
                this->sendHolding(this->store.changesAfter(this->followed["a"]));
                this->followed["a"] = this->store.version();
                this->sendHolding(SchedulerTick { toMilliseconds(this->now.time_since_epoch()) });
                std::vector<DelayedReport> reports;
                reports.swap(this->delayedReports);
                for (const DelayedReport& report : reports)
                    this->sendHolding(report.end);
            }
            this->isHolding = false;
        }

        Epoch storedEpoch() const { return std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value).epoch; }
    };

} // namespace

// The worker would forget an end that no leader knows after the present one.
TEST_CASE_METHOD(LateWriteFixture, "Scheduler_writeOfEarlierTermCommittedLate_startsNoDoneTaskAgain")
{
    this->run({ "a" }, std::chrono::milliseconds(900));
    REQUIRE(this->runningOf(job).size() == 2);
    const Epoch earlier = this->storedEpoch();
    this->unresponsive.insert(this->second);
    this->runHolding(std::chrono::milliseconds(400));
    REQUIRE(this->held.size() == 1); // contains the end of the task on the first worker
    this->unresponsive = { this->first };
    this->sendHolding(TaskCallEnded { TaskCallKind::Stop, this->second, { earlier }, {}, WorkerCallStatus::Fenced });
    this->runHolding(std::chrono::milliseconds(400));
    REQUIRE(this->storedEpoch() == earlier + 1);
    REQUIRE(this->held.size() == 1);
    const RowsWriteEnded end = this->store.apply(this->held.front());
    REQUIRE(end.status == TransactionStatus::Committed);
    this->sendHolding(end);
    this->runHolding(feedDelay);
    // Host "a" stops here.
    this->unresponsive.clear();
    this->run({ "b" }, std::chrono::seconds(12));
    CHECK(this->starts.size() == 2);
    CHECK(this->phaseOf(job) == JobPhase::Completed);
}

} // namespace dragonflytray
