// The number of pending jobs of a queue, and calls about jobs, at hosts that do not know the stored jobs well enough.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration takeoverTime = std::chrono::seconds(3);
    constexpr Duration feedDelay = std::chrono::milliseconds(40); // two ticks: the change feed delivers an accepted job

    // QueueQueryFixture has a leader "a" with two accepted jobs that no worker can run.
    struct QueueQueryFixture : SchedulerFixture {
        static constexpr Duration maxCountAge = std::chrono::seconds(2); // as callers are promised

        QueueQueryFixture()
        {
            this->run({ "a" }, takeoverTime);
            this->submit("a", "00000000000000a1", { stepOfTasks(1, 4) });
            this->submit("a", "00000000000000a2", { stepOfTasks(1, 4) });
        }

        QueueView queueAt(const std::string& name)
        {
            return std::get<QueueView>(this->host(name).ask(QueueQuery { "desk.example", "/q/" }, this->now));
        }
    };

} // namespace

// An empty cache of a host that has just started is not an empty queue.
TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_pendingAskedBeforeJobsAreRead_isRefused")
{
    CHECK(this->queueAt("b").status == ReplyStatus::Refused);
    CHECK(this->queueAt("b").reason == ReplyReason::JobsNotRead);
    this->run({ "b" }, feedDelay);
    CHECK(this->queueAt("b").status == ReplyStatus::QueueFound);
    CHECK(this->queueAt("b").pending == 2);
}

TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_pendingAskedWhileStoreIsLost_isRefusedOnceTooOld")
{
    constexpr Duration margin = std::chrono::milliseconds(100);
    this->run({ "a", "b" }, feedDelay);
    this->isDisconnectedFromStore["b"] = true;
    this->send("b", StoreContact { false });
    this->submit("a", "00000000000000a3", { stepOfTasks(1, 4) });
    this->run({ "a", "b" }, maxCountAge - margin);
    CHECK(this->queueAt("b").status == ReplyStatus::QueueFound);
    this->run({ "a", "b" }, 2 * margin);
    CHECK(this->queueAt("b").status == ReplyStatus::Refused);
    CHECK(this->queueAt("b").reason == ReplyReason::JobsNotRead);
    this->isDisconnectedFromStore["b"] = false;
    this->run({ "a", "b" }, feedDelay);
    CHECK(this->queueAt("b").pending == 3);
}

// A host that reads the whole table again hears from the store, but its copy of the jobs does not change until the end.
TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_pendingAskedDuringLongScan_isRefusedOnceTooOld")
{
    this->run({ "b" }, feedDelay);
    for (Duration time(0); time < maxCountAge; time += std::chrono::milliseconds(100)) {
        this->now += std::chrono::milliseconds(100);
        this->send("b", StoreContact { true });
    }
    CHECK(this->queueAt("b").status == ReplyStatus::Refused);
}

TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_refusedQueueQuery_isAnsweredCountedAndLogged")
{
    this->host("b");
    this->send("b", RefuseQueueQuery { ReplyToken { 7 }, "/q/", ReplyStatus::Refused, ReplyReason::JobsNotRead });
    REQUIRE(!this->replies.empty());
    CHECK(this->replies.back().token == ReplyToken { 7 });
    CHECK(this->replies.back().status == ReplyStatus::Refused);
    CHECK(this->replies.back().retryAfter > Duration(0));
    const auto summary = std::get<SchedulerSummary>(this->host("b").ask(SchedulerSummaryQuery {}, this->now));
    CHECK(summary.replies[ReplyReason::JobsNotRead] == 1);
    CHECK(this->log.back().event == DecisionEvent::JobRefused);
    CHECK(this->log.back().outcome == "jobs-not-read");
}

TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_jobLookedUpBeforeJobsAreRead_isReadById")
{
    this->send("b", LookUpJob { ReplyToken { 7 }, "desk.example", "/q/00000000000000a1" });
    CHECK(this->replies.back().status == ReplyStatus::JobFound);
    this->isDisconnectedFromStore["b"] = true;
    this->send("b", LookUpJob { ReplyToken { 8 }, "desk.example", "/q/00000000000000a2" });
    CHECK(this->replies.back().status == ReplyStatus::Refused);
    CHECK(this->replies.back().retryAfter > Duration(0));
}

TEST_CASE_METHOD(QueueQueryFixture, "Scheduler_jobCancelledBeforeJobsAreRead_isReadById")
{
    this->send("b", RequestCancellation { ReplyToken { 7 }, "desk.example", "/q/00000000000000a1" });
    CHECK(this->replies.back().status == ReplyStatus::Cancelled);
    CHECK(this->store.find({ StoredRowKind::Cancellation, "00000000000000a1" }));
    this->isDisconnectedFromStore["b"] = true;
    this->send("b", RequestCancellation { ReplyToken { 8 }, "desk.example", "/q/00000000000000a2" });
    CHECK(this->replies.back().status == ReplyStatus::Refused);
    CHECK(this->replies.back().retryAfter > Duration(0));
}

} // namespace dragonflytray
