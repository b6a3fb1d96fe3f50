#include "dispatch/simulation/simulated_link.h"

#include <algorithm>
#include <deque>

namespace dragonflytray {

namespace {

    struct OrderUnderWay {
        Instant decidedAt;
        Instant answeredAt;
        bool isInTime { false };
    };

} // namespace

SimulatedLinkResult simulateLink(const SimulatedLinkOptions& options, std::optional<DeliveryWindow> window)
{
    constexpr Duration step = std::chrono::milliseconds(1);
    const auto transmission = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(options.orderBytes) / options.bytesPerSecond));
    const double offeredPerStep = options.offeredLoad * toSeconds(step) / toSeconds(transmission);
    const Instant begin { std::chrono::hours(1) };
    SimulatedLinkResult result;
    std::deque<OrderUnderWay> underWay;
    Instant linkFreeAt = begin;
    double waiting = 0;
    for (Instant now = begin; now < begin + options.length; now += step) {
        while (!underWay.empty() && underWay.front().answeredAt <= now) {
            const OrderUnderWay order = underWay.front();
            underWay.pop_front();
            const Duration delay = order.answeredAt - order.decidedAt;
            result.delivered += order.isInTime ? 1 : 0;
            result.late += order.isInTime ? 0 : 1;
            if (order.isInTime)
                result.worstDelay = std::max(result.worstDelay, delay);
            if (window)
                window->ended(options.orderBytes, order.isInTime ? DeliveryOutcome::Delivered : DeliveryOutcome::Late, delay);
        }
        waiting += offeredPerStep;
        while (waiting >= 1 && (!window || window->hasRoom())) {
            waiting -= 1;
            ++result.offered;
            linkFreeAt = std::max(linkFreeAt, now) + transmission;
            const Instant arrival = linkFreeAt + options.propagation;
            underWay.push_back({ now, arrival + options.propagation, arrival <= now + options.validity });
            if (window)
                window->sent(options.orderBytes);
        }
    }
    result.goodput = static_cast<double>(result.delivered) * toSeconds(transmission) / toSeconds(options.length);
    return result;
}

} // namespace dragonflytray
