#include "batch/transitions.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct TransitionsFixture {
    };

    TEST_CASE_METHOD(TransitionsFixture, "Transitions_terminalState_allowsNothing")
    {
        for (const auto& from : jobStateNames) {
            for (const auto& to : jobStateNames) {
                if (isTerminal(from.value))
                    CHECK_FALSE(isAllowed(from.value, to.value));
            }
        }
    }

    TEST_CASE_METHOD(TransitionsFixture, "Transitions_queuedJob_neverRunsWithoutStarting")
    {
        CHECK_FALSE(isAllowed(JobState::Queued, JobState::Running));
        CHECK_FALSE(isAllowed(JobState::Queued, JobState::Finished));
        CHECK(isAllowed(JobState::Queued, JobState::Starting));
    }

} // namespace
} // namespace dragonflytray
