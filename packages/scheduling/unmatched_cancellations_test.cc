// Stored cancellations of jobs that are not stored accumulate, or are removed while a submission may still follow them.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration retention = UnmatchedCancellations::Options {}.retention;
    constexpr Duration removalInterval = std::chrono::seconds(10); // of Scheduler::Options

    std::string idOf(std::uint64_t number)
    {
        return std::to_string(1000000000000000 + number);
    }

    JobDefinition definitionOf(const std::string& id)
    {
        JobDefinition definition;
        definition.id = JobId(id);
        return definition;
    }

    // UnmatchedCancellationsFixture has a cache of the rows of a store, from which due rows are removed.
    class UnmatchedCancellationsFixture {
    protected:
        RowVersion put(StoredRowKind kind, const std::string& id)
        {
            const StoredRowKey key { kind, id };
            const StoredRow row = kind == StoredRowKind::Definition ? StoredRow(definitionOf(id)) : StoredRow(CancellationRequest { 1 });
            return this->store.apply({ .write = 0, .partition = partitionOf(key), .conditions = {}, .puts = { { key, row } }, .removals = {} }).revision;
        }

        void follow()
        {
            const StoredRowsRead read = this->store.changesAfter(this->followed);
            for (const StoredRowChange& change : read.rows)
                this->jobCache.apply(change);
            this->followed = read.revision;
        }

        // pass() advances the time, and executes the removals that are due then.
        void pass(Duration time)
        {
            this->now += time;
            this->unmatchedCancellations.observe(this->jobCache, this->now);
            for (const WriteStoredRows& write : this->unmatchedCancellations.removalsDue(this->nextWrite, this->now)) {
                CHECK(write.conditions.size() + write.removals.size() <= maxEntries);
                this->store.apply(write);
            }
        }

        bool isStored(const std::string& id) const { return this->store.find({ StoredRowKind::Cancellation, id }) != nullptr; }

        static constexpr std::size_t maxEntries = 100; // of a transaction of the platform's store

        Instant now { std::chrono::hours(1) };
        SimulatedStore store;
        JobCache jobCache;
        RowVersion followed { 0 };
        UnmatchedCancellations unmatchedCancellations { UnmatchedCancellations::Options {} };
        std::uint64_t nextWrite { 1 };
    };

    struct RowLimitFixture : SchedulerFixture {
        RowLimitFixture() { this->run({ "a" }, takeoverTime); }

        ReplyToClient cancel(const std::string& id)
        {
            this->replies.clear();
            this->send("a", RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + id });
            REQUIRE(!this->replies.empty());
            return this->replies.back();
        }

        bool isStored(StoredRowKind kind, const std::string& id) const { return this->store.find({ kind, id }) != nullptr; }
    };

} // namespace

TEST_CASE_METHOD(UnmatchedCancellationsFixture, "UnmatchedCancellations_retentionHasPassed_rowsAreRemoved")
{
    constexpr std::uint64_t count = 500;
    for (std::uint64_t number = 0; number < count; ++number)
        this->put(StoredRowKind::Cancellation, idOf(number));
    this->follow();
    this->pass(Duration(0));
    this->pass(retention - std::chrono::milliseconds(1));
    CHECK(this->isStored(idOf(0)));
    this->pass(std::chrono::milliseconds(1));
    for (std::uint64_t number = 0; number < count; ++number)
        CHECK_FALSE(this->isStored(idOf(number)));
    this->follow();
    CHECK(this->jobCache.unmatchedCancellations().empty());
    CHECK(this->jobCache.size() == 0);
}

TEST_CASE_METHOD(UnmatchedCancellationsFixture, "UnmatchedCancellations_jobIsSubmittedBeforeRemovalArrives_rowIsKept")
{
    this->put(StoredRowKind::Cancellation, job);
    this->follow();
    this->pass(Duration(0));
    this->put(StoredRowKind::Definition, job); // not followed yet
    this->pass(retention);
    CHECK(this->isStored(job));
    this->follow();
    CHECK(this->jobCache.unmatchedCancellations().empty());
    CHECK(this->jobCache.find(JobId(job))->phase() == JobPhase::Cancelled);
}

TEST_CASE_METHOD(UnmatchedCancellationsFixture, "UnmatchedCancellations_jobIsCancelledAgain_retentionBeginsAnew")
{
    this->put(StoredRowKind::Cancellation, job);
    this->follow();
    this->pass(Duration(0));
    this->put(StoredRowKind::Cancellation, job);
    this->pass(retention); // the second row is not followed yet
    CHECK(this->isStored(job));
    this->follow();
    this->pass(retention - std::chrono::milliseconds(1));
    this->pass(retention - std::chrono::milliseconds(1));
    CHECK(this->isStored(job));
    this->pass(std::chrono::milliseconds(1));
    CHECK_FALSE(this->isStored(job));
}

// A removal can be in the history that the store has dropped, so that the change feed never shows it.
TEST_CASE_METHOD(UnmatchedCancellationsFixture, "JobCache_scanLacksRows_theyAreForgotten")
{
    this->put(StoredRowKind::Cancellation, idOf(1));
    this->put(StoredRowKind::Definition, idOf(2));
    this->put(StoredRowKind::Definition, idOf(3));
    this->follow();
    const StoredRowChange own { { StoredRowKind::Definition, idOf(4) }, this->followed + 2, definitionOf(idOf(4)) };
    this->jobCache.apply(own);
    const std::vector<JobId> removed = this->jobCache.retainListed({ *this->store.find({ StoredRowKind::Definition, idOf(3) }) }, this->followed + 1);
    CHECK(removed.size() == 2);
    CHECK(this->jobCache.unmatchedCancellations().empty());
    CHECK(this->jobCache.find(JobId(idOf(2))) == nullptr);
    CHECK(this->jobCache.find(JobId(idOf(3))) != nullptr);
    CHECK(this->jobCache.find(JobId(idOf(4))) != nullptr); // written after the scan
}

// A removal that requires an outdated version conflicts again and again, together with all others of its transaction.
TEST_CASE_METHOD(UnmatchedCancellationsFixture, "UnmatchedCancellations_olderRowIsReadLate_rowIsRemoved")
{
    this->put(StoredRowKind::Cancellation, job);
    const StoredRowChange older = *this->store.find({ StoredRowKind::Cancellation, job });
    this->put(StoredRowKind::Cancellation, job);
    this->follow();
    this->jobCache.apply(older);
    this->pass(Duration(0));
    this->pass(retention);
    CHECK_FALSE(this->isStored(job));
}

// Nothing would ever remove a row from the cache that was read before its removal and delivered afterwards.
TEST_CASE_METHOD(RowLimitFixture, "Submission_removedCancellationIsReadLate_jobIsNotCancelled")
{
    this->send("a", JobRowsRead { JobId(job), true, { { { StoredRowKind::Cancellation, job }, 1, CancellationRequest { 1 } } } });
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    this->replies.clear();
    this->send("a", LookUpJob { ReplyToken { 3 }, "desk.example", "/q/" + job });
    REQUIRE(this->replies.size() == 1);
    CHECK(this->replies.back().phase == JobPhase::Queued);
    CHECK(this->phaseOf(job) == JobPhase::Queued);
}

TEST_CASE_METHOD(RowLimitFixture, "Cancellation_manyJobsAreUnknown_rowsAreBounded")
{
    constexpr std::size_t maxRows = ClientRequests::Options {}.maxUnmatchedCancellations;
    for (std::uint64_t number = 0; number < maxRows; ++number)
        REQUIRE(this->cancel(idOf(number)).status == ReplyStatus::NoSuchJob);
    const ReplyToClient reply = this->cancel(job);
    CHECK(reply.status == ReplyStatus::Refused);
    CHECK(reply.reason == ReplyReason::TooManyCancellations);
    CHECK(reply.retryAfter > Duration(0));
    CHECK_FALSE(this->isStored(StoredRowKind::Cancellation, job));
}

TEST_CASE_METHOD(RowLimitFixture, "Cancellation_jobIsNeverSubmitted_leaderRemovesRow")
{
    REQUIRE(this->cancel(job).status == ReplyStatus::NoSuchJob);
    this->run({ "a" }, retention - std::chrono::seconds(1));
    CHECK(this->isStored(StoredRowKind::Cancellation, job));
    this->run({ "a" }, 2 * removalInterval + std::chrono::seconds(1));
    CHECK_FALSE(this->isStored(StoredRowKind::Cancellation, job));
}

// A host whose history is gone would answer for a job that is no longer stored, and never store it again.
TEST_CASE_METHOD(RowLimitFixture, "Submission_scanShowsThatFormerJobWasRemoved_jobIsStored")
{
    REQUIRE(this->submit("a", job, { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::seconds(1));
    const StoredRowKey key { StoredRowKind::Definition, job };
    this->store.apply({ .write = 0, .partition = partitionOf(key), .conditions = {}, .puts = {}, .removals = { key } });
    this->followed["a"] = this->store.version(); // the change feed skips the removal
    this->send("a", StoredRowsRead { {}, this->store.version(), true });
    CHECK(this->submit("a", job, { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
    CHECK(this->isStored(StoredRowKind::Definition, job));
}

} // namespace dragonflytray
