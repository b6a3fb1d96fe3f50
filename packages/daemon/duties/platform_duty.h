#pragma once

// The duty towards the platform's table, object store and host list.

#include "daemon/messages.h"
#include "daemon/settings.h"
#include "platform/platform.h"

namespace dragonflytray {

// PlatformDuty owns the connections to the platform.
class PlatformDuty {
public:
    PlatformDuty(const Settings& settings, Rings& rings);

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    void perform(PlatformMessage message);
    void deliver(PlatformOrigin origin, PlatformResult result);

    Rings& rings;
    IoLoop loop;
    PlatformClient client;
};

} // namespace dragonflytray
