#pragma once

// The number of bytes of orders that a leader may have under way to all workers together. The window follows the measured time
// of delivery, so that an order is decided only if it can be delivered while it is valid. It answers an offered load above the
// capacity of the leader's link or processor: decisions wait in their order of importance instead of expiring behind each other.
//
// A round ends once as many bytes have ended as were sent before it began. The window grows after a round in which it was used up
// and most bytes were delivered in time, and shrinks after one in which most were late; the round after that changes nothing, since
// its orders were sent into the larger window. A few workers that are slow or silent do not shrink it. The fast growth of the
// beginning ends once most bytes of a round take more than half of the target, since twice the window would take twice as long.
//
// The target covers the round trip and the work of both ends, which take time however little is under way: a window
// whose target is less than that shrinks to its minimum.
//
// Example:
//
//     DeliveryWindow window({ .targetDelay = std::chrono::milliseconds(250) });
//     if (window.hasRoom()) {
//         window.sent(bytes);
//         ...
//         window.ended(bytes, DeliveryOutcome::Delivered, delay);
//     }

#include "base/base.h"
#include <cstddef>
#include <cstdint>

namespace dragonflytray {

// DeliveryOutcome is how the delivery of an order ended.
enum class DeliveryOutcome {
    Delivered, // the worker has answered
    Late, // it was not sent, or arrived, while it was valid
    Unknown, // no answer, or none that says anything about the link
};

inline constexpr NameTable deliveryOutcomeNames { std::to_array<NameEntry<DeliveryOutcome>>({
    { DeliveryOutcome::Delivered, "delivered" },
    { DeliveryOutcome::Late, "late" },
    { DeliveryOutcome::Unknown, "unknown" },
}) };
static_assert(deliveryOutcomeNames.isWhole(DeliveryOutcome::Unknown));

// DeliveryWindow bounds the bytes under way. Not thread-safe. All functions take constant time.
class DeliveryWindow {
public:
    struct Options {
        Duration targetDelay { std::chrono::milliseconds(500) }; // from the decision to the answer
        std::size_t initialBytes { 64 << 10 };
        std::size_t minBytes { 8 << 10 }; // some orders, so that recovery is noticed
        std::size_t maxBytes { 8 << 20 };
        double growth { 1.25 }; // factor a round
        double initialGrowth { 2 }; // until most of a round took more than half of the target for the first time
        double reduction { 0.6 }; // factor after a late round
    };

    explicit DeliveryWindow(Options options);

    // sent() adds an order to those under way. The last one may exceed the window.
    void sent(std::size_t bytes);

    // ended() takes an order of `bytes` away. `delay` is the time since sent(); it counts only for DeliveryOutcome::Delivered.
    void ended(std::size_t bytes, DeliveryOutcome outcome, Duration delay);

    // reset() forgets the orders under way, for example at a change of the leader.
    void reset();

    // hasRoom() says whether another order may be sent.
    bool hasRoom() const { return this->underWay < this->window; }

    std::size_t bytesUnderWay() const { return this->underWay; }
    std::size_t bytes() const { return this->window; }

private:
    void endRound();

    Options options;
    std::size_t window { 0 };
    std::size_t underWay { 0 };
    std::size_t inTime { 0 }; // bytes of this round
    std::size_t late { 0 };
    std::size_t early { 0 }; // bytes of `inTime` that took at most half of the target
    bool wasUsedUp { false }; // in this round
    bool isInitialGrowth { true };
    bool isRecovering { false }; // the last round has shrunk the window
    std::uint64_t totalSent { 0 }; // bytes since the last reset()
    std::uint64_t totalEnded { 0 };
    std::uint64_t roundEnd { 0 }; // totalEnded at which the round ends; 0: the first one has not begun
};

} // namespace dragonflytray
