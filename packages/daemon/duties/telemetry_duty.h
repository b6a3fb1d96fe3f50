#pragma once

// The duty that keeps metrics and renders them.

#include "daemon/messages.h"

namespace dragonflytray {

// TelemetryDuty owns the board of metrics.
class TelemetryDuty {
public:
    explicit TelemetryDuty(Rings& rings);

    // run() returns once the ring of telemetry messages is closed and empty.
    void run();

private:
    void on(MetricsSnapshot message);
    void on(MetricsQuestion message);

    Rings& rings;
    MetricsBoard board;
};

} // namespace dragonflytray
