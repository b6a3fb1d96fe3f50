#pragma once

// A bounded message queue between threads: several producers push, one consumer pops. The consumer waits on a
// condition variable or is woken through a hook, so that no thread spins. When the ring is full, the push fails
// and the producer decides how to handle it.
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

// RingRoom says which part of a ring's capacity a message may use.
enum class RingRoom {
    Ordinary, // new work; refused when only the reserved capacity is left
    Reserved, // completions, renewals and releases; may also use the reserved capacity
};

// RingStatistics holds the fill level and the counters of a ring.
struct RingStatistics {
    std::size_t depth { 0 }; // messages in the ring
    std::size_t highWater { 0 }; // greatest depth so far
    std::uint64_t refused { 0 }; // pushes that failed since construction
};

// BoundedRing is a FIFO queue of fixed capacity for many producers and one consumer. Thread-safe; pushing
// and popping take constant time and don't allocate memory.
template <typename Message>
class BoundedRing {
public:
    struct Options {
        std::size_t capacity { 1024 }; // messages, including the reserved ones
        std::size_t reserved { 0 }; // messages of the capacity that only RingRoom::Reserved may use
    };

    explicit BoundedRing(Options options)
        : options(options)
        , slots(options.capacity)
    {
        require(options.capacity > options.reserved, "BoundedRing: capacity must exceed the reserved room");
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    // setWake() sets a hook that runs on the producer's thread after each push into an empty ring, for consumers
    // that wait in an event loop. Must be called before the first push.
    void setWake(std::function<void()> hook) { this->wake = std::move(hook); }

    // tryPush() appends `message`. It returns false and counts a refusal when the capacity open to `room` is
    // used up or the ring is closed. Never waits for the consumer to make room.
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

    // tryPop() removes and returns the oldest message, or returns nullopt when the ring is empty.
    std::optional<Message> tryPop()
    {
        std::lock_guard lock(this->mutex);
        return this->popLocked();
    }

    // popWithin() waits up to `limit` for a message. Returns nullopt on timeout, or if closed and empty.
    std::optional<Message> popWithin(Duration limit)
    {
        std::unique_lock lock(this->mutex);
        this->readable.wait_for(lock, limit, [this] { return this->depth > 0 || this->isClosed; });
        return this->popLocked();
    }

    // close() makes later pushes fail and wakes popWithin(); the remaining messages can still be popped.
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

    // statistics() returns a consistent snapshot.
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
        this->slots[this->head] = Message(); // drops what the moved-from message may still own
        this->head = (this->head + 1) % this->options.capacity;
        --this->depth;
        return message;
    }

    const Options options;
    mutable std::mutex mutex;
    std::condition_variable readable;
    std::function<void()> wake;
    std::vector<Message> slots;
    std::size_t head { 0 }; // index of the oldest message
    std::size_t depth { 0 };
    std::size_t highWater { 0 };
    std::uint64_t refused { 0 };
    bool isClosed { false };
};

} // namespace dragonflytray
