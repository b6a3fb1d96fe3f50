#pragma once

// The duty towards workers: it carries out polls, starts, stops and changes of speed.

#include "entry/outbox.h"
#include <deque>
#include <optional>

namespace dragonflytray {

// WorkerCallDuty runs an event loop on a thread of its own until stop().
class WorkerCallDuty {
public:
    WorkerCallDuty(EntryRings& rings, const WorkerProtocol& protocol);

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    // TaskCall is a start, a stop or a change of speed that waits for a connection or an answer.
    struct TaskCall {
        TaskCallEnded end; // as it will be reported
        Endpoint endpoint;
        HttpRequest request;
        std::optional<Instant> expiresAt; // the call is not sent after this
    };
    // Lane holds the task calls to one endpoint.
    struct Lane {
        std::deque<TaskCall> waiting;
        std::size_t inFlight { 0 };
    };

    void perform(const PollWorker& call);
    void perform(const StartTask& call);
    void perform(const StopTask& call);
    void perform(const SetTaskSpeed& call);
    void enqueue(TaskCall call);
    void advance(Lane& lane);

    const WorkerProtocol& protocol;
    IoLoop loop;
    Outbox outbox;
    HttpClient client;
    std::map<Endpoint, Lane> lanes;
};

} // namespace dragonflytray
