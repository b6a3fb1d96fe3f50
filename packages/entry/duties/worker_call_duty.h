#pragma once

// The duty towards workers: it carries out polls, starts, stops and changes of speed.

#include "dispatch/dispatch.h"
#include "entry/outbox.h"
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
    using Lane = CallLane<TaskRunId, TaskCall>;

    void perform(const PollWorker& call);
    void perform(const StartTask& call);
    void perform(const StopTask& call);
    void perform(const SetTaskSpeed& call);
    // enqueue() adds a call to the lane of its endpoint; a call that the lane drops ends as not sent. advance() sends what the lane
    // allows.
    void enqueue(CallImportance importance, TaskCall call);
    void advance(const Endpoint& endpoint);
    void endUnsent(TaskCall call, WorkerCallStatus status);

    const WorkerProtocol& protocol;
    IoLoop loop;
    Outbox outbox;
    HttpClient client;
    std::map<Endpoint, Lane> lanes; // that are not idle
};

} // namespace dragonflytray
