#include "daemon/duties/peer_duty.h"

namespace dragonflytray {

PeerDuty::PeerDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , exchange({ .endpoint = settings.peers }, [&rings](PeerHeartbeat heartbeat) {
        (void)rings.membership.tryPush(MembershipCommand(PeerHeard { std::move(heartbeat) }));
    })
{
    rings.peers.setWake([this] {
        this->exchange.post([this] {
            while (auto message = this->rings.peers.tryPop())
                this->exchange.send(*message);
        });
    });
}

} // namespace dragonflytray
