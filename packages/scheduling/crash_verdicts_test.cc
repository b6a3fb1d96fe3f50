// A crash counts for what it shows: nothing beside the loss of other workers, and no proof unless its run was alone.

#include "scheduling/crash_verdicts.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // CrashVerdictsFixture charges one task.
    struct CrashVerdictsFixture {
        static TaskId taskOf(const char* job) { return { JobId(job), 0, 0, 0 }; }

        void charge(bool isAlone)
        {
            this->verdicts.charge({ .run = { taskOf("a"), 1 }, .suspect = taskOf("a"), .worker = WorkerId("w0"), .earliest = this->now, .latest = this->now, .isAlone = isAlone, .dueAt = this->now + this->options.noticeTimeout });
        }

        void lose(std::size_t count, Instant at, bool isExplained)
        {
            for (std::size_t number = 1; number <= count; ++number)
                this->verdicts.contactLost({ .worker = WorkerId("w" + std::to_string(number)), .earliest = at, .latest = at, .isExplained = isExplained });
        }

        void confirm(std::size_t count)
        {
            for (std::size_t number = 1; number <= count; ++number)
                this->verdicts.confirmLoss(WorkerId("w" + std::to_string(number)));
        }

        CrashVerdict verdict()
        {
            const auto judged = this->verdicts.takeDue(this->now + this->options.noticeTimeout);
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
    CHECK(this->verdicts.takeDue(this->now + this->options.noticeTimeout - Duration(1)).empty());
    CHECK(this->verdicts.isPending(taskOf("a")));
    CHECK(this->verdict() == CrashVerdict::Proven);
    CHECK_FALSE(this->verdicts.isPending(taskOf("a")));
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_runWasNotAlone_isPossible")
{
    this->charge(false);
    CHECK(this->verdict() == CrashVerdict::Possible);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_workersLostAtSameTime_noProofAndCoincidentFromThreeOn")
{
    this->charge(true);
    const std::size_t lost = GENERATE(1, 2, 3);
    this->lose(lost, this->now + std::chrono::milliseconds(50), false);
    this->confirm(lost);
    CHECK(this->verdict() == (lost > 2 ? CrashVerdict::Coincident : CrashVerdict::Possible));
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_workersLostAtOtherTime_isProven")
{
    this->charge(true);
    this->lose(10, this->now + std::chrono::milliseconds(500), false);
    CHECK(this->verdict() == CrashVerdict::Proven);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_workersLostAgainLater_isCoincident")
{
    this->charge(true);
    this->lose(10, this->now, false);
    this->confirm(10);
    this->lose(10, this->now + std::chrono::seconds(1), false);
    CHECK(this->verdict() == CrashVerdict::Coincident);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_eachLossIsAtOnceAfterStart_isPossible")
{
    this->charge(true);
    this->lose(10, this->now, true);
    this->confirm(10);
    CHECK(this->verdict() == CrashVerdict::Possible);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_othersFellSilentAboutTheBrokenConnection_isProven")
{
    this->charge(true);
    for (int number = 1; number <= 10; ++number)
        this->verdicts.contactLost({ .worker = WorkerId("w" + std::to_string(number)), .earliest = this->now - std::chrono::seconds(1), .latest = this->now + std::chrono::seconds(1) });
    this->confirm(10);
    CHECK(this->verdict() == CrashVerdict::Proven);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_othersAreStillSilent_isPossible")
{
    this->charge(true);
    this->lose(10, this->now, false);
    CHECK(this->verdict() == CrashVerdict::Possible);
}

TEST_CASE_METHOD(CrashVerdictsFixture, "CrashVerdicts_othersWereOnlySilent_isProven")
{
    this->charge(true);
    this->lose(10, this->now, false);
    for (int number = 1; number <= 10; ++number)
        this->verdicts.contactRegained(WorkerId("w" + std::to_string(number)));
    CHECK(this->verdict() == CrashVerdict::Proven);
}

} // namespace dragonflytray
