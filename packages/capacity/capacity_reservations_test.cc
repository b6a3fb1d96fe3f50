#include "capacity/capacity.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct CapacityReservationsFixture {
        CapacityReservations reservations;
        HostName worker { "w1" };

        CapacityReservationsFixture() { this->reservations.setWorker(this->worker, { .processors = 8, .memoryGigabytes = 16, .accelerators = 1 }); }
    };

    TEST_CASE_METHOD(CapacityReservationsFixture, "CapacityReservations_needExceedsFreeCapacity_isRefused")
    {
        REQUIRE(this->reservations.reserve(this->worker, JobId("a"), { 6, 4, 0 }));

        CHECK_FALSE(this->reservations.reserve(this->worker, JobId("b"), { 3, 4, 0 }));
        CHECK(this->reservations.freeCapacity(this->worker) == Capacity { 2, 12, 1 });
    }

    TEST_CASE_METHOD(CapacityReservationsFixture, "CapacityReservations_sameJobTwice_isRefused")
    {
        REQUIRE(this->reservations.reserve(this->worker, JobId("a"), { 1, 1, 0 }));

        CHECK_FALSE(this->reservations.reserve(this->worker, JobId("a"), { 1, 1, 0 }));
    }

    TEST_CASE_METHOD(CapacityReservationsFixture, "CapacityReservations_released_restoresFreeCapacity")
    {
        REQUIRE(this->reservations.reserve(this->worker, JobId("a"), { 6, 4, 1 }));

        this->reservations.release(JobId("a"));

        CHECK(this->reservations.freeCapacity(this->worker) == Capacity { 8, 16, 1 });
        CHECK(this->reservations.size() == 0);
        CHECK(this->reservations.isIdle(this->worker));
    }

} // namespace
} // namespace dragonflytray
