#include "base/bounded_ring.h"

#include <catch2/catch.hpp>
#include <thread>

namespace dragonflytray {
namespace {

    struct BoundedRingFixture {
        BoundedRing<int> ring { { .capacity = 4, .reserved = 1 } };

        void fillOrdinaryRoom()
        {
            for (int i = 0; i < 3; ++i)
                REQUIRE(this->ring.tryPush(int(i)));
        }
    };

    TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing_ordinaryRoomFull_refusesAndCounts")
    {
        this->fillOrdinaryRoom();

        CHECK_FALSE(this->ring.tryPush(3));
        CHECK(this->ring.statistics().refused == 1);
        CHECK(this->ring.statistics().highWater == 3);
    }

    TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing_ordinaryRoomFull_stillTakesReservedMessage")
    {
        this->fillOrdinaryRoom();

        CHECK(this->ring.tryPush(3, RingRoom::Reserved));
        CHECK_FALSE(this->ring.tryPush(4, RingRoom::Reserved));
    }

    TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing_manyWraps_keepsOrder")
    {
        for (int i = 0; i < 20; ++i) {
            REQUIRE(this->ring.tryPush(int(i)));
            CHECK(this->ring.tryPop() == i);
        }
        CHECK_FALSE(this->ring.tryPop().has_value());
    }

    TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing_emptyToFull_callsWakeOnce")
    {
        int wakes = 0;
        this->ring.setWake([&] { ++wakes; });

        this->fillOrdinaryRoom();

        CHECK(wakes == 1);
    }

    TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing_closedByAnotherThread_wakesWaitingConsumer")
    {
        std::thread closer([this] { this->ring.close(); });

        CHECK_FALSE(this->ring.popWithin(std::chrono::hours(1)).has_value());
        closer.join();
    }

} // namespace
} // namespace dragonflytray
