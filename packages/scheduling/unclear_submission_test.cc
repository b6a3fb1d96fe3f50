// A job that was cancelled before its submission took effect runs afterwards, because nothing of the cancellation was stored.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration answerTime = std::chrono::milliseconds(1500); // longer than the timeout of a write
    constexpr Duration lateWriteDelay = std::chrono::seconds(6);
    constexpr Duration settleTime = std::chrono::seconds(12); // after which the late write has taken effect, and its tasks would run

    // UnclearSubmissionFixture has one worker, and the hosts "a" and "b". "a" leads.
    struct UnclearSubmissionFixture : SchedulerFixture {
        UnclearSubmissionFixture()
        {
            this->addWorker("w1", 32);
            this->run({ "a", "b" }, takeoverTime);
            REQUIRE(this->leader() == "a");
        }

        // delayWrite() lets the next write of a row of this kind take effect late, and without an answer.
        void delayWrite(StoredRowKind kind)
        {
            this->chooseWriteFault = [this, kind](const std::string&, const WriteStoredRows& write) -> WriteFault {
                if (write.puts.empty() || write.puts.front().key.kind != kind)
                    return {};
                this->chooseWriteFault = {};
                return { .effectDelay = lateWriteDelay };
            };
        }

        void submitUnclear(const std::string& host)
        {
            this->delayWrite(StoredRowKind::Definition);
            (void)this->submit(host, job, { stepOfTasks(2, 4) });
            this->run({ "a", "b" }, answerTime);
            REQUIRE(this->replies.size() == 1);
            REQUIRE(this->replies.back().status == ReplyStatus::Unclear);
        }

        // cancel() returns the reply, or Unclear if there is none yet.
        ReplyStatus cancel(const std::string& host)
        {
            this->replies.clear();
            this->send(host, RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + job });
            return this->replies.empty() ? ReplyStatus::Unclear : this->replies.back().status;
        }

        ReplyToClient lookUp(const std::string& host)
        {
            this->replies.clear();
            this->send(host, LookUpJob { ReplyToken { 3 }, "desk.example", "/q/" + job });
            REQUIRE(!this->replies.empty());
            return this->replies.back();
        }

        // expectCancelled() waits for the submission, which has to take effect, and checks that no task was started.
        void expectCancelled()
        {
            this->run({ "a", "b" }, settleTime);
            REQUIRE(this->store.find({ StoredRowKind::Definition, job }) != nullptr);
            CHECK(this->begunRuns.empty());
            CHECK(this->phaseOf(job) == JobPhase::Cancelled);
            CHECK(this->lookUp("b").phase == JobPhase::Cancelled);
        }
    };

} // namespace

// A caller that repeats its submission while the first write has no answer yet was told that the job is surely not stored.
TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_repeatedWhileStoreFallsSilent_isNotRefused")
{
    this->delayWrite(StoredRowKind::Definition);
    (void)this->submit("a", job, { stepOfTasks(2, 4) });
    this->send("a", StoreContact { false });
    CHECK(this->submit("a", job, { stepOfTasks(2, 4) }) == ReplyStatus::Unclear);
    CHECK(this->submit("a", "00000000000000a2", { stepOfTasks(2, 4) }) == ReplyStatus::Refused);
    this->run({ "a", "b" }, settleTime);
    CHECK(this->store.find({ StoredRowKind::Definition, job }) != nullptr);
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_cancelledBeforeItTakesEffect_nothingIsStarted")
{
    this->submitUnclear("a");
    CHECK(this->cancel("a") == ReplyStatus::NoSuchJob);
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_cancelledAtAnotherHost_nothingIsStarted")
{
    this->submitUnclear("b");
    CHECK(this->cancel("a") == ReplyStatus::NoSuchJob);
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_cancelledAfterRestartOfHost_nothingIsStarted")
{
    this->submitUnclear("b");
    this->restartHost("b");
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->cancel("b") == ReplyStatus::NoSuchJob);
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_leaderChangesAfterCancellation_nothingIsStarted")
{
    this->submitUnclear("a");
    CHECK(this->cancel("a") == ReplyStatus::NoSuchJob);
    this->freezeHost("a", std::chrono::seconds(30));
    this->run({ "a", "b" }, takeoverTime);
    REQUIRE(this->leader() == "b");
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "UnclearSubmission_feedOfLeaderIsLate_nothingIsStarted")
{
    this->feedLag["a"] = std::chrono::seconds(3);
    this->submitUnclear("b");
    CHECK(this->cancel("b") == ReplyStatus::NoSuchJob);
    this->expectCancelled();
}

// A repeated submission can arrive seconds after the cancellation.
TEST_CASE_METHOD(UnclearSubmissionFixture, "Submission_arrivesAfterCancellationAtAnotherHost_nothingIsStarted")
{
    CHECK(this->cancel("a") == ReplyStatus::NoSuchJob);
    this->run({ "a", "b" }, std::chrono::seconds(2));
    CHECK(this->submit("b", job, { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "Cancellation_jobIsStoredBetweenReadAndWrite_jobIsCancelled")
{
    this->chooseWriteFault = [this](const std::string&, const WriteStoredRows& write) -> WriteFault {
        if (!write.puts.empty() && write.puts.front().key.kind == StoredRowKind::Cancellation) {
            this->chooseWriteFault = {};
            REQUIRE(this->submit("b", job, { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);
        }
        return {};
    };
    CHECK(this->cancel("a") == ReplyStatus::Cancelled);
    this->expectCancelled();
}

// An answer that no such job exists is a promise, and may not be given before it is stored.
TEST_CASE_METHOD(UnclearSubmissionFixture, "Cancellation_itsWriteMayTakeEffectLater_itIsNotAcknowledged")
{
    this->submitUnclear("a");
    this->delayWrite(StoredRowKind::Cancellation);
    (void)this->cancel("b");
    this->run({ "a", "b" }, answerTime);
    REQUIRE(this->replies.size() == 1);
    CHECK(this->replies.back().status == ReplyStatus::Unclear);
    CHECK(this->cancel("b") == ReplyStatus::NoSuchJob);
    this->expectCancelled();
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "Cancellation_answerOfItsWriteIsLost_itIsAcknowledgedOnceRead")
{
    this->chooseWriteFault = [this](const std::string&, const WriteStoredRows& write) -> WriteFault {
        if (write.puts.empty() || write.puts.front().key.kind != StoredRowKind::Cancellation)
            return {};
        this->chooseWriteFault = {};
        return { .isAnswerLost = true };
    };
    (void)this->cancel("b");
    this->run({ "a", "b" }, answerTime);
    REQUIRE(this->replies.size() == 1);
    CHECK(this->replies.back().status == ReplyStatus::NoSuchJob);
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "Cancellation_storeDoesNotAnswer_itIsRefused")
{
    this->setStoreContact("b", false);
    CHECK(this->cancel("b") == ReplyStatus::Refused);
}

TEST_CASE_METHOD(UnclearSubmissionFixture, "LookUp_cancelledJobWasNeverSubmitted_thereIsNoSuchJob")
{
    CHECK(this->cancel("a") == ReplyStatus::NoSuchJob);
    this->run({ "a", "b" }, std::chrono::seconds(1));
    CHECK(this->lookUp("a").status == ReplyStatus::NoSuchJob);
    CHECK(this->lookUp("b").status == ReplyStatus::NoSuchJob);
}

} // namespace dragonflytray
