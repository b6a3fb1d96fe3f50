#pragma once

// The duty towards runners: attempts and watches over HTTP.

#include "daemon/messages.h"
#include "daemon/settings.h"
#include <unordered_set>

namespace dragonflytray {

// RunnerDuty owns the connections to runners.
class RunnerDuty {
public:
    RunnerDuty(const Settings& settings, Rings& rings);

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    void on(SendToRunner message);
    void on(StartWatch message);
    void on(CloseWatch message);
    bool relay(ReplyToken token, std::string part);

    Rings& rings;
    Duration watchSilence;
    IoLoop loop;
    HttpClient client;
    std::unordered_set<ReplyToken> watches;
};

} // namespace dragonflytray
