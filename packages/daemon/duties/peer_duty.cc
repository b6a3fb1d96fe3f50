#include "daemon/duties/peer_duty.h"

namespace dragonflytray {

PeerDuty::PeerDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , exchange({ .endpoint = settings.peers }, [this](PeerMessage message) { std::visit([this](auto value) { this->deliver(std::move(value)); }, std::move(message)); })
{
    rings.peers.setWake([this] {
        this->exchange.post([this] {
            while (auto message = this->rings.peers.tryPop())
                std::visit([this](const auto& value) { this->exchange.send(value); }, *message);
        });
    });
}

void PeerDuty::deliver(PeerHeartbeat heartbeat)
{
    (void)this->rings.membership.tryPush(MembershipCommand(HeartbeatReceived { std::move(heartbeat) }));
}

void PeerDuty::deliver(ShareReport report)
{
    (void)this->rings.shares.tryPush(ShareReportReceived { std::move(report) });
}

void PeerDuty::deliver(ShareGrant grant)
{
    (void)this->rings.shares.tryPush(ShareGrantReceived { std::move(grant) });
}

} // namespace dragonflytray
