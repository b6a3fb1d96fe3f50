#include "routing/routing.h"

namespace dragonflytray {

void Routing::callerGone(const RoutingCommand& command, Instant, RoutingEffects&)
{
    const ReplyToken token = std::get<CallerGone>(command).token;
    for (auto& [service, queue] : this->queues) {
        const std::size_t removed = std::erase_if(queue, [&](const Waiting& work) { return work.token == token; });
        this->waitingCount -= removed;
        this->refusals[RefusalReason::CallerGone] += removed;
    }
}

} // namespace dragonflytray
