#include "daemon/duties/telemetry_duty.h"

#include "daemon/duties/decision_loop.h"

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::seconds(1);

} // namespace

TelemetryDuty::TelemetryDuty(Rings& rings)
    : rings(rings)
{
}

void TelemetryDuty::run()
{
    runDecisions(
        this->rings.telemetry, tickInterval, [this](TelemetryMessage message) { std::visit([this](auto value) { this->on(std::move(value)); }, std::move(message)); }, [](Instant) {});
}

void TelemetryDuty::on(MetricsSnapshot message)
{
    this->board.update(std::move(message));
}

void TelemetryDuty::on(MetricsQuestion message)
{
    (void)this->rings.callers.tryPush(MetricsReady { message.token, this->board.render() }, RingRoom::Reserved);
}

} // namespace dragonflytray
