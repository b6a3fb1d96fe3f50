#pragma once

// The duty towards workers: one contact at a time for each, over HTTP.

#include "daemon/messages.h"
#include "daemon/settings.h"

namespace dragonflytray {

// WorkerDuty owns the connections to workers.
class WorkerDuty {
public:
    WorkerDuty(const Settings& settings, Rings& rings);

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    void contact(ContactWorker message);

    Rings& rings;
    IoLoop loop;
    HttpClient client;
};

} // namespace dragonflytray
