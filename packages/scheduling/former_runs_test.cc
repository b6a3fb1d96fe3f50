// A task may run again only once its worker has named its runs and the end of a former one can't be missing here.

#include "scheduling/former_runs.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // FormerRunsFixture has one task on each of two workers, and one on a worker that is not known.
    struct FormerRunsFixture {
        FormerRunsFixture()
        {
            this->formerRuns.inherit(this->first, { this->firstTask }, this->leaseEnd);
            this->formerRuns.inherit(this->second, { this->secondTask }, this->leaseEnd + std::chrono::seconds(1));
            this->formerRuns.inherit(WorkerId(), { this->otherTask }, this->leaseEnd + std::chrono::seconds(2));
        }

        const Instant leaseEnd { std::chrono::hours(1) }; // on the first worker
        const WorkerId first { "i-1" };
        const WorkerId second { "i-2" };
        const TaskId firstTask { JobId("00000000000000a1"), 0, 0, 0 };
        const TaskId secondTask { JobId("00000000000000a1"), 0, 0, 1 };
        const TaskId otherTask { JobId("00000000000000a1"), 0, 0, 2 };
        FormerRuns formerRuns;
    };

} // namespace

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_workerNotAccounted_tasksAreKept", "[takeover]")
{
    this->formerRuns.reportComposed(1);
    this->formerRuns.reportStored(1, 5);
    CHECK_FALSE(this->formerRuns.release(9));
    CHECK(this->formerRuns.tasks().size() == 3);
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_reportComposedBeforeAnswer_tasksAreKept", "[takeover]")
{
    this->formerRuns.reportComposed(1);
    this->formerRuns.workerAccounted(this->first);
    this->formerRuns.reportStored(1, 5);
    CHECK_FALSE(this->formerRuns.release(9));
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_reportAfterAnswerNotFollowed_tasksAreKept", "[takeover]")
{
    this->formerRuns.workerAccounted(this->first);
    this->formerRuns.reportComposed(2);
    this->formerRuns.reportStored(2, 5);
    CHECK_FALSE(this->formerRuns.release(4));
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_reportAfterAnswerFollowed_onlyTasksOfThatWorkerAreFree", "[takeover]")
{
    this->formerRuns.workerAccounted(this->first);
    this->formerRuns.reportComposed(2);
    this->formerRuns.reportStored(3, 5); // the store may hold a later report only
    CHECK(this->formerRuns.release(5));
    CHECK(this->formerRuns.tasks() == std::set<TaskId> { this->secondTask, this->otherTask });
    CHECK(this->formerRuns.tasksOn(this->first).empty());
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_leasesOfOneWorkerExpire_onlyItsTasksAreFree", "[takeover]")
{
    CHECK_FALSE(this->formerRuns.expire(this->leaseEnd - std::chrono::milliseconds(1)));
    CHECK(this->formerRuns.expire(this->leaseEnd));
    CHECK(this->formerRuns.tasks() == std::set<TaskId> { this->secondTask, this->otherTask });
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_runOfUnknownWorkerAdopted_taskIsFree", "[takeover]")
{
    this->formerRuns.runAdopted(this->otherTask);
    this->formerRuns.runAdopted(this->secondTask); // may run on the second worker, too
    CHECK(this->formerRuns.tasks() == std::set<TaskId> { this->firstTask, this->secondTask });
}

TEST_CASE_METHOD(FormerRunsFixture, "FormerRuns_taskOnTwoWorkersAndOneAccounted_taskIsKept", "[takeover]")
{
    this->formerRuns.inherit(this->second, { this->firstTask }, this->leaseEnd);
    this->formerRuns.workerAccounted(this->first);
    this->formerRuns.reportComposed(2);
    this->formerRuns.reportStored(2, 5);
    CHECK(this->formerRuns.release(5));
    CHECK(this->formerRuns.tasks().contains(this->firstTask));
}

} // namespace dragonflytray
