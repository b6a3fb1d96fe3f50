#pragma once

// Outbox hands answers to the scheduling duty in order and keeps those for which its ring has no room: an answer that
// were dropped would leave its call open for ever.
//
// Example:
//
//     Outbox outbox(loop, rings.scheduling);
//     outbox.send(StoreContact { true });

#include "entry/entry_messages.h"
#include "transport/transport.h"
#include <deque>

namespace dragonflytray {

// Outbox belongs to the thread of `loop`. It holds no more messages than its duty has calls in flight.
class Outbox {
public:
    Outbox(IoLoop& loop, BoundedRing<SchedulingMessage>& ring)
        : loop(loop)
        , ring(ring)
    {
    }

    // send() delivers `command` now, or as soon as the ring has room. Never blocks.
    void send(SchedulerCommand command)
    {
        this->waiting.emplace_back(std::move(command));
        if (this->waiting.size() == 1)
            this->deliver();
    }

    // isWaiting() says whether something is not delivered yet.
    bool isWaiting() const { return !this->waiting.empty(); }

private:
    static constexpr Duration retryDelay = std::chrono::milliseconds(5); // a full ring is emptied in some of these

    void deliver()
    {
        while (!this->waiting.empty() && this->ring.tryPush(std::move(this->waiting.front()), RingRoom::Reserved))
            this->waiting.pop_front();
        if (!this->waiting.empty())
            this->loop.after(retryDelay, [this] { this->deliver(); });
    }

    IoLoop& loop;
    BoundedRing<SchedulingMessage>& ring;
    std::deque<SchedulingMessage> waiting;
};

} // namespace dragonflytray
