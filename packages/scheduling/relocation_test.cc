// A long-running task is stopped on a draining worker only if there is room for it elsewhere that no other task needs. A task
// that is stopped without room waits, although it could run until its worker leaves.

#include "scheduling/scheduler_fixture.h"

namespace dragonflytray {

namespace {

    constexpr const char* id = "00000000000000a1";
    constexpr Duration stopAndStart = std::chrono::seconds(1);

    StepDefinition longRunningTasks(std::uint32_t count)
    {
        StepDefinition step = stepOfTasks(count, 4);
        step.isLongRunning = true;
        return step;
    }

    // RelocationFixture has host "a" as the leader of worker "w1", which has room for four tasks.
    struct RelocationFixture : SchedulerFixture {
        RelocationFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        void submitTasks(std::uint32_t count)
        {
            REQUIRE(this->submit("a", id, { longRunningTasks(count) }) == ReplyStatus::Accepted);
            this->run({ "a" }, std::chrono::milliseconds(500));
            REQUIRE(this->runningOf(id).size() == count);
        }

        void addRoom(const std::string& worker, std::int64_t cores)
        {
            this->addWorker(worker, cores).list(this->now);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        void drain(const std::string& worker) { this->workers.at(WorkerId(worker)).drain(this->now); }

        std::size_t runningOn(const std::string& worker) const { return this->workers.at(WorkerId(worker)).running().size(); }
    };

} // namespace

TEST_CASE_METHOD(RelocationFixture, "Relocation_roomForAll_allTasksMove")
{
    this->submitTasks(4);
    this->addRoom("w2", 16);
    this->drain("w1");
    this->run({ "a" }, stopAndStart);
    CHECK(this->runningOn("w1") == 0);
    CHECK(this->runningOn("w2") == 4);
}

TEST_CASE_METHOD(RelocationFixture, "Relocation_roomForOneTask_othersGoOnRunning")
{
    this->submitTasks(4);
    this->addRoom("w2", 4);
    this->drain("w1");
    this->run({ "a" }, stopAndStart);
    CHECK(this->runningOn("w1") == 3);
    CHECK(this->runningOn("w2") == 1);
}

TEST_CASE_METHOD(RelocationFixture, "Relocation_workerLeavesSoonAndNoRoom_endsAreKnownBeforeItLeaves")
{
    this->submitTasks(4);
    this->drain("w1");
    this->run({ "a" }, std::chrono::milliseconds(2900));
    CHECK(this->runningOn("w1") == 0);
    this->crashWorker(WorkerId("w1"));
    this->workers.at(WorkerId("w1")).unlist(this->now);
    this->addWorker("w2", 16).list(this->now);
    this->run({ "a" }, stopAndStart);
    CHECK(this->runningOn("w2") == 4);
}

TEST_CASE_METHOD(RelocationFixture, "Relocation_stoppedTaskIsNotStartedYet_itsRoomIsNotCountedAgain")
{
    this->dispatcherOptions.maxRelocationsPerPass = 1;
    this->restartHost("a");
    this->run({ "a" }, std::chrono::seconds(15));
    this->submitTasks(4);
    this->addRoom("w2", 4);
    this->drain("w1");
    this->run({ "a" }, stopAndStart);
    CHECK(this->runningOn("w1") == 3);
    CHECK(this->runningOn("w2") == 1);
}

TEST_CASE_METHOD(RelocationFixture, "Relocation_twoWorkersDrainAndRoomForOneTask_oneIsStopped")
{
    this->addRoom("w2", 16);
    this->submitTasks(8);
    this->addRoom("w3", 4);
    this->drain("w1");
    this->drain("w2");
    this->run({ "a" }, stopAndStart);
    CHECK(this->runningOf(id).size() == 8);
    CHECK(this->runningOn("w3") == 1);
}

TEST_CASE_METHOD(RelocationFixture, "Relocation_longRunningTaskLeavesTheRoomToShortOnes_noTaskIsStoppedForIt")
{
    this->submitTasks(4);
    this->addRoom("w2", 4);
    this->taskDuration = std::chrono::milliseconds(100);
    REQUIRE(this->submit("a", "00000000000000a2", { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a" }, std::chrono::milliseconds(500));
    REQUIRE(this->submit("a", "00000000000000a3", { longRunningTasks(1) }) == ReplyStatus::Accepted);
    this->drain("w1");
    this->run({ "a" }, std::chrono::milliseconds(500));
    CHECK(this->runningOn("w1") == 4);
}

} // namespace dragonflytray
