#pragma once

// The duty towards callers: it serves their connections, the readiness probe and the metrics.

#include "entry/entry_messages.h"
#include "entry/entry_settings.h"
#include <unordered_map>

namespace dragonflytray {

// FrontDuty runs an event loop on a thread of its own until stop(). start() comes before run().
class FrontDuty {
public:
    FrontDuty(const EntrySettings& settings, EntryRings& rings, const CallerProtocol& protocol);

    // start() listens; a sentence that says why not.
    tl::expected<void, std::string> start();

    // run() returns after stop(), and logs the requests that have no whole answer then.
    void run();
    void stop() { this->loop.stop(); }

private:
    void logEnd() const;
    void serveCaller(HttpRequest request, std::shared_ptr<HttpReply> reply);
    void serveProbe(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
    void serveMetrics(std::shared_ptr<HttpReply> reply);
    ReplyToken keep(std::shared_ptr<HttpReply> reply);
    void answer(ReplyToken token, HttpResponse response);

    void on(const ReplyToClient& message);
    void on(const QueueAnswered& message);
    void on(const HostReadiness& message);
    void on(const BeginDrain& message);
    void on(const EndDrain& message);
    void on(const MetricsRendered& message);

    EntryRings& rings;
    const CallerProtocol& protocol;
    IoLoop loop;
    HttpServer callers;
    HttpServer probes;
    std::optional<HttpServer> metrics;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpReply>> replies; // by token
    std::uint64_t lastToken { 0 };
    bool isReady { false };
    bool isEnding { false }; // EndDrain was received; calls are refused
};

} // namespace dragonflytray
