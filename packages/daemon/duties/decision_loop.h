#pragma once

// The loop of a decision duty: wait for a message or for the next tick, whichever comes first.

#include "base/base.h"

namespace dragonflytray {

// runDecisions() calls `handle` for each message of `inbox` and `tick` once an interval, until the ring
// is closed and empty. The thread sleeps on the ring in between.
template <typename Message, typename Handle, typename Tick>
void runDecisions(BoundedRing<Message>& inbox, Duration interval, Handle handle, Tick tick)
{
    Instant nextTick = BootClock::now();
    while (!inbox.isDrained()) {
        const Instant now = BootClock::now();
        if (now >= nextTick) {
            tick(now);
            nextTick = now + interval;
        }
        if (auto message = inbox.popWithin(std::max(nextTick - now, Duration(0))))
            handle(std::move(*message));
    }
}

} // namespace dragonflytray
