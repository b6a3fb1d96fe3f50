#include "entry/outbox.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // A ring with room for two messages, which nobody empties yet.
    struct OutboxFixture {
        IoLoop loop;
        BoundedRing<SchedulingMessage> ring { { 2, 0 } };
        Outbox outbox { this->loop, this->ring };

        // sendTicks() sends ticks that are told apart by their time.
        void sendTicks(int count)
        {
            for (int i = 0; i < count; ++i)
                this->outbox.send(SchedulerTick { i });
        }

        WallTime take()
        {
            const auto message = this->ring.popWithin(std::chrono::milliseconds(500));
            return message ? std::get<SchedulerTick>(std::get<SchedulerCommand>(*message)).wallTime : -1;
        }
    };

} // namespace

TEST_CASE_METHOD(OutboxFixture, "Outbox_ringFull_deliversLaterInOrder")
{
    this->sendTicks(5);
    REQUIRE(this->outbox.isWaiting());
    DutyThread thread({ .name = "loop" }, [this] { this->loop.run(); });
    for (WallTime expected = 0; expected < 5; ++expected)
        CHECK(this->take() == expected);
    this->loop.stop();
}

TEST_CASE_METHOD(OutboxFixture, "Outbox_ringHasRoom_deliversAtOnce")
{
    this->sendTicks(2);
    CHECK_FALSE(this->outbox.isWaiting());
    CHECK(this->take() == 0);
}

} // namespace dragonflytray
