#include "daemon/duties/platform_duty.h"

namespace dragonflytray {

PlatformDuty::PlatformDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , client(this->loop, { .endpoint = settings.platform, .timeout = settings.limits.platformTimeout })
{
    drainOnWake(this->loop, rings.platform, [this](PlatformMessage message) { this->perform(std::move(message)); });
}

void PlatformDuty::perform(PlatformMessage message)
{
    this->client.perform(message.work, [this, origin = message.origin](PlatformResult result) { this->deliver(origin, std::move(result)); });
}

void PlatformDuty::deliver(PlatformOrigin origin, PlatformResult result)
{
    const bool isDelivered = std::visit([&](auto value) {
        using Result = std::decay_t<decltype(value)>;
        if (origin == PlatformOrigin::Membership)
            return this->rings.membership.tryPush(MembershipCommand(std::move(value)), RingRoom::Reserved);
        if constexpr (std::is_constructible_v<RoutingCommand, Result&&>) {
            if (origin == PlatformOrigin::Routing)
                return this->rings.requests.tryPush(RoutingCommand(std::move(value)), RingRoom::Reserved);
        }
        if constexpr (std::is_constructible_v<BatchCommand, Result&&>) {
            if (origin == PlatformOrigin::Batch)
                return this->rings.batch.tryPush(BatchCommand(std::move(value)), RingRoom::Reserved);
        }
        return false;
    },
        std::move(result));
    if (!isDelivered)
        logError(LogPart::Platform, "A result was dropped because a ring is full.");
}

} // namespace dragonflytray
