// The capacity of a worker may change while it runs tasks, and only the list shows it.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string job = "00000000000000a1";
    const std::string otherJob = "00000000000000a2";

    // PlacementFixture has one worker, "w1", with 16 cores.
    struct PlacementFixture : SchedulerFixture {
        PlacementFixture()
        {
            this->addWorker("w1", 16);
            this->run({ "a" }, std::chrono::seconds(3));
        }

        // listCapacity() lists the worker with another number of cores.
        void listCapacity(std::int64_t cores)
        {
            ListedWorker entry = this->workers.at(WorkerId("w1")).entry();
            entry.capacity.millicores = cores * 1000;
            this->send("a", WorkersListed { { entry }, {}, false, this->store.version() });
        }

        // maxRunsWithin() runs the host and returns the greatest number of runs on the worker meanwhile.
        std::size_t maxRunsWithin(Duration time)
        {
            constexpr Duration interval = std::chrono::milliseconds(20);
            std::size_t runs = 0;
            for (const Instant end = this->now + time; this->now < end;) {
                this->run({ "a" }, interval);
                runs = std::max(runs, this->workers.at(WorkerId("w1")).running().size());
            }
            return runs;
        }
    };

} // namespace

TEST_CASE_METHOD(PlacementFixture, "Placement_listedCapacityShrinks_startsOnlyWhatFits")
{
    REQUIRE(this->submit("a", job, { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);
    REQUIRE(this->maxRunsWithin(std::chrono::milliseconds(200)) == 2);
    this->listCapacity(GENERATE(4, 7, 11));
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(6, 4) }) == ReplyStatus::Accepted);
    CHECK(this->maxRunsWithin(std::chrono::seconds(4)) <= 2);
    CHECK(this->starts.size() >= 3);
    this->listCapacity(16);
    this->maxRunsWithin(std::chrono::seconds(10));
    CHECK(this->phaseOf(job) == JobPhase::Completed);
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_listedCapacityGrowsAgain_startsAsMuchAsFits")
{
    this->listCapacity(4);
    REQUIRE(this->submit("a", job, { stepOfTasks(8, 4) }) == ReplyStatus::Accepted);
    CHECK(this->maxRunsWithin(std::chrono::milliseconds(500)) == 1);
    this->listCapacity(16);
    CHECK(this->maxRunsWithin(std::chrono::milliseconds(300)) == 4);
}

TEST_CASE_METHOD(PlacementFixture, "Placement_capacityShrinksBelowUse_startsNothingBeforeItFits")
{
    this->taskDuration = std::chrono::seconds(3);
    REQUIRE(this->submit("a", job, { stepOfTasks(4, 4) }) == ReplyStatus::Accepted);
    REQUIRE(this->maxRunsWithin(std::chrono::milliseconds(200)) == 4);
    this->listCapacity(8);
    REQUIRE(this->submit("a", otherJob, { stepOfTasks(1, 1) }) == ReplyStatus::Accepted);
    this->maxRunsWithin(std::chrono::seconds(2));
    CHECK(this->starts.size() == 4);
    this->maxRunsWithin(std::chrono::seconds(4));
    CHECK(this->phaseOf(otherJob) == JobPhase::Completed);
}

} // namespace dragonflytray
