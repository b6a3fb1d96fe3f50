#pragma once

// The duty towards callers and operators: HTTP in, typed calls out, replies back.

#include "daemon/messages.h"
#include "daemon/settings.h"
#include <unordered_map>

namespace dragonflytray {

// CallerDuty owns the HTTP server and every open reply. Its methods run on its own loop, but for
// start(), run() and stop().
class CallerDuty {
public:
    CallerDuty(const Settings& settings, Rings& rings);

    // start() listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start();

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    void take(HttpRequest request, std::shared_ptr<HttpReply> reply);
    void forward(CallerCall call, ReplyToken token);
    void handle(CallerMessage message);

    void deliver(SubmitRequest call);
    void deliver(OpenWatch call);
    void deliver(SubmitJob call);
    void deliver(CancelJob call);
    void deliver(ApplyDeclaration call);
    void deliver(const RoutingQuery& query, ReplyToken token);
    void deliver(const BatchQuery& query, ReplyToken token);
    void deliver(const MembershipQuery& query, ReplyToken token);
    void deliver(HealthQuery query, ReplyToken token);
    void refuseFull(ReplyToken token);

    void on(ReplyToCaller message);
    void on(ReplyToSubmitter message);
    void on(ReplyToOperator message);
    void on(ViewReady message);
    void on(MetricsReady message);
    void on(WatchPart message);
    void on(WatchEnded message);
    void on(ReadinessChanged message);
    void on(BeginShutdown message);
    void reply(ReplyToken token, HttpResponse response);
    void closeListener();
    void reportMetrics();

    Rings& rings;
    Duration shutdownGrace;
    IoLoop loop;
    HttpServer server;
    std::unordered_map<ReplyToken, std::shared_ptr<HttpReply>> replies;
    std::unordered_map<ReplyToken, bool> watches; // true once the head was written
    std::uint64_t lastToken { 0 };
    bool isReady { false };
    bool isStopping { false };
};

} // namespace dragonflytray
