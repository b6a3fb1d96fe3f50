#pragma once

// Workers in memory: each runs tasks under leases and stops what is not renewed. It fences old epochs and
// old attempts, and ends the process if its capacity is ever passed.
//
// `POST /v1/contact`, `POST /faults`, `GET /journal`.

#include "testing/faults.h"
#include <map>
#include <nlohmann/json.hpp>

namespace dragonflytray {

// WorkerStandin serves one worker on one loop.
class WorkerStandin {
public:
    struct Options {
        Endpoint endpoint;
        std::string name;
        Capacity capacity { 64, 250, 0 };
        double timeScale { 0.001 }; // run time of a task: its declared run time times this
    };

    WorkerStandin(IoLoop& loop, Options options);

    // start() listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start();

private:
    struct Task {
        std::uint32_t attempt { 0 };
        TaskPhase phase { TaskPhase::Running };
        Capacity need;
        std::string payload;
        std::string checkpoint;
        Instant startedAt;
        Instant endsAt;
        Instant leaseEnd;
    };

    void take(HttpRequest request, std::shared_ptr<HttpReply> reply);
    HttpResponse contact(const HttpRequest& request);
    void startTask(const nlohmann::json& start, Duration lease);
    void stopTask(const nlohmann::json& stop);
    void renewTask(const nlohmann::json& renewal, Duration lease);
    void advance();
    void note(const std::string& event, const std::string& job, std::uint32_t attempt);
    Capacity used() const;

    IoLoop& loop;
    Options options;
    FaultSwitch faults;
    HttpServer server;
    std::uint64_t epoch { 0 };
    std::map<std::string, Task> tasks; // the last attempt of each job
    nlohmann::json journal = nlohmann::json::array();
};

} // namespace dragonflytray
