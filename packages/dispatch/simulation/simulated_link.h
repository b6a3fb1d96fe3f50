#pragma once

// A link that sends one order after the other, and a sender that decides orders whenever its window has room.
//
// Example:
//
//     const SimulatedLinkResult result = simulateLink({ .offeredLoad = 5 }, DeliveryWindow({}));

#include "dispatch/delivery_window.h"
#include <optional>

namespace dragonflytray {

// SimulatedLinkOptions describe the link, the orders and what is offered.
struct SimulatedLinkOptions {
    double bytesPerSecond { 250e3 };
    Duration propagation { std::chrono::milliseconds(30) }; // of an order, and of its answer
    std::size_t orderBytes { 1700 };
    Duration validity { std::chrono::seconds(1) }; // from the decision to the arrival
    double offeredLoad { 1 }; // share of bytesPerSecond
    Duration length { std::chrono::seconds(30) };
};

// SimulatedLinkResult is what became of the orders.
struct SimulatedLinkResult {
    std::size_t offered { 0 };
    std::size_t delivered { 0 }; // in time
    std::size_t late { 0 }; // were sent and arrived too late
    Duration worstDelay { 0 }; // from the decision to the answer, of those in time
    double goodput { 0 }; // delivered in time, as a share of what the link can carry
};

// simulateLink() offers orders at a steady rate; those without room wait for a decision. Without a window every order is decided
// when it is offered. Linear in the orders.
SimulatedLinkResult simulateLink(const SimulatedLinkOptions& options, std::optional<DeliveryWindow> window);

} // namespace dragonflytray
