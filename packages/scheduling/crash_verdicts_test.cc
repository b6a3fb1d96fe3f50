// A crash counts for what it shows: nothing beside the loss of other workers, and no proof unless its run was alone.

#include "scheduling/crash_verdicts.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // CrashVerdictsFixture has a cell of 40 workers, of which two may be lost beside a crash that counts.
    struct CrashVerdictsFixture {
        static TaskId taskOf(const char* job) { return { JobId(job), 0, 0, 0 }; }

        void charge(bool isAlone)
        {
            this->verdicts.charge({ .run = { taskOf("a"), 1 }, .suspect = taskOf("a"), .worker = WorkerId("w0"), .earliest = this->now, .latest = this->now, .isAlone = isAlone, .dueAt = this->now + this->options.noticeTimeout });
        }

        void lose(std::size_t count, Instant at, const char* exposedJob)
        {
            for (std::size_t number = 1; number <= count; ++number)
                this->verdicts.contactLost({ WorkerId("w" + std::to_string(number)), at, at, { JobId(exposedJob) } });
        }

        CrashVerdict verdict()
        {
            const auto judged = this->verdicts.takeDue(this->now + this->options.noticeTimeout, 40);
            REQUIRE(judged.size() == 1);
            return judged.front().verdict;
        }

        Instant now { std::chrono::hours(1) };
        CrashVerdicts::Options options;
        CrashVerdicts verdicts { options };
    };

} // namespace

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_othersMayBeLostYet_suspectIsPending")
{
    this->charge(true);
    CHECK(this->verdicts.takeDue(this->now + this->options.noticeTimeout - Duration(1), 40).empty());
    CHECK(this->verdicts.isPending(taskOf("a")));
    CHECK(this->verdict() == CrashVerdict::Proven);
    CHECK_FALSE(this->verdicts.isPending(taskOf("a")));
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_runWasNotAlone_isPossible")
{
    this->charge(false);
    CHECK(this->verdict() == CrashVerdict::Possible);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_manyWorkersLostAtSameTime_isCoincident")
{
    this->charge(true);
    const std::size_t lost = GENERATE(2, 3);
    this->lose(lost, this->now + std::chrono::milliseconds(50), "b");
    CHECK(this->verdict() == (lost > 2 ? CrashVerdict::Coincident : CrashVerdict::Proven));
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_workersLostAtOtherTime_isProven")
{
    this->charge(true);
    this->lose(10, this->now + std::chrono::milliseconds(500), "b");
    CHECK(this->verdict() == CrashVerdict::Proven);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_workersLostWithRunsOfSameJob_isProven")
{
    this->charge(true);
    this->lose(10, this->now, "a");
    CHECK(this->verdict() == CrashVerdict::Proven);
}

} // namespace dragonflytray
