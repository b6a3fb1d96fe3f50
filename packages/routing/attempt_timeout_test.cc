#include "routing/attempt_timeout.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // A service with a latency of ten milliseconds.
    struct AttemptTimeoutEstimatorFixture {
        AttemptTimeoutEstimator timeouts;
        Request request;
        Duration remaining { std::chrono::seconds(2) };

        AttemptTimeoutEstimatorFixture()
        {
            this->request.service = ServiceName("checks");
            this->request.idempotency = Idempotency::Idempotent;
            this->observe(std::chrono::milliseconds(10));
        }

        void observe(Duration answerTime)
        {
            for (int i = 0; i < 100; ++i)
                this->timeouts.observe(this->request.service, answerTime);
        }
    };

    TEST_CASE_METHOD(AttemptTimeoutEstimatorFixture, "AttemptTimeoutEstimator_idempotentRequest_leavesRoomForAnotherAttempt")
    {
        CHECK(this->timeouts.timeoutFor(this->request, this->remaining) == std::chrono::milliseconds(100));
    }

    TEST_CASE_METHOD(AttemptTimeoutEstimatorFixture, "AttemptTimeoutEstimator_nonIdempotentRequest_waitsUntilItsDeadline")
    {
        this->request.idempotency = Idempotency::NonIdempotent;

        CHECK(this->timeouts.timeoutFor(this->request, this->remaining) == this->remaining);
    }

    TEST_CASE_METHOD(AttemptTimeoutEstimatorFixture, "AttemptTimeoutEstimator_answersTakeMostOfTheDeadline_areNotCutOff")
    {
        this->observe(std::chrono::milliseconds(1500));

        CHECK(this->timeouts.timeoutFor(this->request, this->remaining) == this->remaining);
    }

} // namespace
} // namespace dragonflytray
