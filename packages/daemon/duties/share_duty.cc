#include "daemon/duties/share_duty.h"

#include "daemon/duties/decision_loop.h"
#include <random>

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    constexpr Duration reportInterval = std::chrono::milliseconds(500);

    // makeIncarnation() differs from that of any earlier process, also of one with the same settings.
    Incarnation makeIncarnation(std::uint64_t seed)
    {
        constexpr int wordBits = 32;
        std::random_device device;
        const std::uint64_t drawn = (static_cast<std::uint64_t>(device()) << wordBits) | device();
        return std::max<Incarnation>(1, drawn ^ seed);
    }

} // namespace

ShareDuty::ShareDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , shares({ .self = settings.host, .dataCentre = settings.dataCentre, .peerEndpoint = settings.peers, .incarnation = makeIncarnation(settings.seed) })
{
}

void ShareDuty::run()
{
    runDecisions(
        this->rings.shares, tickInterval, [this](const SharesCommand& command) { this->decide(command); }, [this](Instant now) { this->tick(now); });
}

void ShareDuty::decide(const SharesCommand& command)
{
    for (SharesEffect& effect : this->shares.handle(command, BootClock::now()))
        std::visit([this](auto value) { this->carryOut(std::move(value)); }, std::move(effect));
}

void ShareDuty::carryOut(ChangeShares effect)
{
    (void)this->rings.requests.tryPush(RoutingCommand(std::move(effect)), RingRoom::Reserved);
}

void ShareDuty::carryOut(SendShareReport effect)
{
    (void)this->rings.peers.tryPush(std::move(effect), RingRoom::Reserved);
}

void ShareDuty::carryOut(SendShareGrant effect)
{
    (void)this->rings.peers.tryPush(std::move(effect), RingRoom::Reserved);
}

void ShareDuty::tick(Instant now)
{
    this->decide(SharesTick {});
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    this->reportMetrics(now);
}

void ShareDuty::reportMetrics(Instant now) const
{
    const auto summary = std::get<SharesSummary>(this->shares.ask(SharesSummaryQuery {}, now));
    double slots = 0;
    for (const SlotShare& share : summary.shares)
        slots += share.slots;
    MetricsSnapshot snapshot { "shares", {} };
    snapshot.metrics.push_back({ "dragonflytray_share_slots", MetricKind::Gauge, {}, slots });
    snapshot.metrics.push_back({ "dragonflytray_share_is_usable", MetricKind::Gauge, {}, summary.isUsable ? 1.0 : 0.0 });
    snapshot.metrics.push_back({ "dragonflytray_share_lapses_total", MetricKind::Counter, {}, static_cast<double>(summary.expirations) });
    snapshot.metrics.push_back({ "dragonflytray_share_pauses_total", MetricKind::Counter, {}, static_cast<double>(summary.pauses) });
    appendRingMetrics(snapshot.metrics, "shares", this->rings.shares);
    (void)this->rings.telemetry.tryPush(std::move(snapshot));
}

} // namespace dragonflytray
