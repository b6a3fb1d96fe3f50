#pragma once

// Runners in memory: each serves one endpoint, holds a number of slots and refuses what is over them.
//
// `POST /v1/run`, `GET /v1/watch?cursor=N`, `POST /faults`, `GET /statistics`.

#include "testing/faults.h"
#include <map>
#include <set>

namespace dragonflytray {

// RunnerStandin serves the requests of one runner on one loop. It remembers the ids of the requests it
// ran, so that a test can see a request that was run twice.
class RunnerStandin {
public:
    struct Options {
        Endpoint endpoint;
        std::string name;
        int slots { 8 };
        bool hasGuards { true }; // refuse what is over the slots
        Duration serviceTime { std::chrono::milliseconds(20) };
        Duration watchInterval { std::chrono::milliseconds(200) };
    };

    RunnerStandin(IoLoop& loop, Options options);

    // start() listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start() { return this->server.start(); }

private:
    void take(HttpRequest request, std::shared_ptr<HttpReply> reply);
    void run(const HttpRequest& request, std::shared_ptr<HttpReply> reply);
    void finish(const HttpRequest& request, std::shared_ptr<HttpReply> reply);
    void watch(const HttpRequest& request, std::shared_ptr<HttpReply> reply);
    void sendWatchMessage(std::shared_ptr<HttpReply> reply, std::uint64_t cursor);
    HttpResponse statistics() const;

    IoLoop& loop;
    Options options;
    FaultSwitch faults;
    HttpServer server;
    std::map<std::string, int> runs; // by request id
    int inFlight { 0 };
    int highestInFlight { 0 };
    std::uint64_t refused { 0 };
};

} // namespace dragonflytray
