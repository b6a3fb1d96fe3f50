#pragma once

// A bounded ring joins two duties: producers push typed messages, one consumer pops them. The
// consumer waits on a condition variable or is woken through a hook; nobody spins. A full ring is
// reported to the producer, who decides what that means.
//
// Example:
//
//     BoundedRing<Message> ring({ .capacity = 1024, .reserved = 128 });
//     if (!ring.tryPush(Message { ... }))
//         refuse(RefusalReason::QueueFull);
//     std::optional<Message> next = ring.popWithin(std::chrono::milliseconds(50));

#include "base/boot_clock.h"
#include "base/precondition.h"
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflytray {

// RingRoom says which part of a ring's capacity a message may take.
enum class RingRoom {
    Ordinary, // new work; refused once only the reserved room is left
    Reserved, // completions, renewals and releases; may take the reserved room too
};

// RingStatistics is what a ring reports about itself.
struct RingStatistics {
    std::size_t depth { 0 };
    std::size_t highWater { 0 };
    std::uint64_t refused { 0 };
};

// BoundedRing is a queue of fixed capacity for many producers and one consumer. Thread-safe; pushing
// and popping take constant time and allocate nothing.
template <typename Message>
class BoundedRing {
public:
    struct Options {
        std::size_t capacity { 1024 }; // messages, reserved room included
        std::size_t reserved { 0 }; // messages that only RingRoom::Reserved may use
    };

    explicit BoundedRing(Options options)
        : options(options)
        , slots(options.capacity)
    {
        require(options.capacity > options.reserved, "BoundedRing: capacity must exceed the reserved room");
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    // setWake() names a hook that runs after a push into an empty ring, on the producer's thread. For
    // consumers that wait in an event loop. Must be called before the first push.
    void setWake(std::function<void()> hook) { this->wake = std::move(hook); }

    // tryPush() appends `message`, or returns false and counts a refusal when there is no room for it
    // or the ring is closed. Never blocks on the consumer.
    [[nodiscard]] bool tryPush(Message&& message, RingRoom room = RingRoom::Ordinary)
    {
        bool wasEmpty = false;
        {
            std::lock_guard lock(this->mutex);
            const std::size_t limit = room == RingRoom::Reserved ? this->options.capacity : this->options.capacity - this->options.reserved;
            if (this->isClosed || this->depth >= limit) {
                ++this->refused;
                return false;
            }
            wasEmpty = this->depth == 0;
            this->slots[(this->head + this->depth) % this->options.capacity] = std::move(message);
            ++this->depth;
            this->highWater = std::max(this->highWater, this->depth);
        }
        this->readable.notify_one();
        if (wasEmpty && this->wake)
            this->wake();
        return true;
    }

    // tryPop() takes the oldest message, or nothing when the ring is empty.
    std::optional<Message> tryPop()
    {
        std::lock_guard lock(this->mutex);
        return this->popLocked();
    }

    // popWithin() waits at most `limit` for a message; nothing on timeout or once closed and empty.
    std::optional<Message> popWithin(Duration limit)
    {
        std::unique_lock lock(this->mutex);
        this->readable.wait_for(lock, limit, [this] { return this->depth > 0 || this->isClosed; });
        return this->popLocked();
    }

    // close() refuses further messages and wakes the consumer, who may still drain what is left.
    void close()
    {
        {
            std::lock_guard lock(this->mutex);
            this->isClosed = true;
        }
        this->readable.notify_all();
    }

    // isDrained() says whether the ring is closed and empty.
    bool isDrained() const
    {
        std::lock_guard lock(this->mutex);
        return this->isClosed && this->depth == 0;
    }

    // statistics() is a snapshot of depth, high water and refusals.
    RingStatistics statistics() const
    {
        std::lock_guard lock(this->mutex);
        return { .depth = this->depth, .highWater = this->highWater, .refused = this->refused };
    }

private:
    std::optional<Message> popLocked()
    {
        if (this->depth == 0)
            return std::nullopt;
        std::optional<Message> message(std::move(this->slots[this->head]));
        this->slots[this->head] = Message();
        this->head = (this->head + 1) % this->options.capacity;
        --this->depth;
        return message;
    }

    const Options options;
    mutable std::mutex mutex;
    std::condition_variable readable;
    std::function<void()> wake;
    std::vector<Message> slots;
    std::size_t head { 0 };
    std::size_t depth { 0 };
    std::size_t highWater { 0 };
    std::uint64_t refused { 0 };
    bool isClosed { false };
};

} // namespace dragonflytray
