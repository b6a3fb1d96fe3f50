#include "peers/peer_encoding.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::uint32_t largestPort = 65535;
    constexpr std::uint32_t largestShare = 1 << 20; // slots; keeps sums far from overflow

    wire::Endpoint encode(const Endpoint& endpoint)
    {
        wire::Endpoint message;
        message.set_address(endpoint.address);
        message.set_port(endpoint.port);
        return message;
    }

    Endpoint decode(const wire::Endpoint& message)
    {
        return { message.address(), static_cast<std::uint16_t>(std::min(message.port(), largestPort)) };
    }

    template <typename Messages>
    void encode(const std::vector<SlotShare>& shares, Messages* messages)
    {
        for (const SlotShare& share : shares) {
            auto* message = messages->Add();
            message->set_runner(share.runner.value());
            message->set_slots(static_cast<std::uint32_t>(share.slots));
        }
    }

    template <typename Messages>
    std::vector<SlotShare> decodeShares(const Messages& messages)
    {
        std::vector<SlotShare> shares;
        for (const auto& message : messages)
            shares.push_back({ HostName(message.runner()), static_cast<int>(std::min(message.slots(), largestShare)) });
        return shares;
    }

} // namespace

wire::Heartbeat encode(const PeerHeartbeat& heartbeat)
{
    wire::Heartbeat message;
    message.set_host(heartbeat.host.value());
    message.set_data_centre(heartbeat.dataCentre.value());
    message.set_version(heartbeat.version);
    message.set_object_key(heartbeat.objectKey);
    message.set_is_leaving(heartbeat.isLeaving);
    return message;
}

PeerHeartbeat decode(const wire::Heartbeat& message)
{
    return { HostName(message.host()), DataCentreName(message.data_centre()), message.version(), message.object_key(), message.is_leaving() };
}

wire::ShareReport encode(const ShareReport& report)
{
    wire::ShareReport message;
    message.set_host(report.host.value());
    *message.mutable_endpoint() = encode(report.endpoint);
    message.set_incarnation(report.incarnation);
    message.set_sequence(report.sequence);
    message.set_epoch(report.epoch);
    message.set_grant_sequence(report.grantSequence);
    message.set_is_leaving(report.isLeaving);
    encode(report.held, message.mutable_held());
    encode(report.wanted, message.mutable_wanted());
    return message;
}

ShareReport decode(const wire::ShareReport& message)
{
    ShareReport report;
    report.host = HostName(message.host());
    report.endpoint = decode(message.endpoint());
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.epoch = message.epoch();
    report.grantSequence = message.grant_sequence();
    report.isLeaving = message.is_leaving();
    report.held = decodeShares(message.held());
    report.wanted = decodeShares(message.wanted());
    return report;
}

wire::ShareGrant encode(const ShareGrant& grant)
{
    wire::ShareGrant message;
    message.set_leader(grant.leader.value());
    *message.mutable_endpoint() = encode(grant.endpoint);
    message.set_epoch(grant.epoch);
    message.set_holder(grant.holder.value());
    message.set_incarnation(grant.incarnation);
    message.set_report_sequence(grant.reportSequence);
    message.set_sequence(grant.sequence);
    encode(grant.shares, message.mutable_shares());
    return message;
}

ShareGrant decode(const wire::ShareGrant& message)
{
    ShareGrant grant;
    grant.leader = HostName(message.leader());
    grant.endpoint = decode(message.endpoint());
    grant.epoch = message.epoch();
    grant.holder = HostName(message.holder());
    grant.incarnation = message.incarnation();
    grant.reportSequence = message.report_sequence();
    grant.sequence = message.sequence();
    grant.shares = decodeShares(message.shares());
    return grant;
}

} // namespace dragonflytray
