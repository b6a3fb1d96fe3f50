#pragma once

// Calls to workers over pooled connections: polls at once, the calls about runs of one worker through its CallLane.
//
// Example:
//
//     WorkerCaller caller(loop, protocol);
//     caller.poll(call, [](PollEnded end) { ... });
//     caller.perform(stop, [](TaskCallEnded end) { ... });

#include "dispatch/dispatch.h"
#include "entry/entry_messages.h"
#include <functional>
#include <limits>

namespace dragonflytray {

inline constexpr Duration workerCallTimeout = std::chrono::milliseconds(900); // of a call, besides the wait of a poll; a round trip between regions takes under 100 ms

// WorkerCaller belongs to the thread of its loop. Each call ends exactly once, also one that could not be sent.
class WorkerCaller {
public:
    using PollCompletion = std::function<void(PollEnded)>;
    using TaskCompletion = std::function<void(TaskCallEnded)>;

    struct Options {
        std::size_t heldBytes { std::numeric_limits<std::size_t>::max() }; // of all calls that have not ended; further ones are not sent
        std::size_t connections { std::numeric_limits<std::size_t>::max() }; // to all workers
    };

    WorkerCaller(IoLoop& loop, const WorkerProtocol& protocol, Options options);

    void poll(const PollWorker& call, PollCompletion completion);
    void perform(const StartTask& call, TaskCompletion completion);
    void perform(const StopTask& call, TaskCompletion completion);
    void perform(const SetTaskSpeed& call, TaskCompletion completion);

private:
    // TaskCall is a start, a stop or a change of speed that waits for a connection or an answer.
    struct TaskCall {
        TaskCallEnded end; // as it will be reported
        Endpoint endpoint;
        HttpRequest request;
        std::optional<Instant> expiresAt; // the call is not sent after this
        TaskCompletion completion;
        std::size_t heldBytes { 0 };
    };
    using Lane = CallLane<TaskRunId, TaskCall>;

    // enqueue() adds a call to the lane of its endpoint; a call that the lane drops ends as not sent. advance() sends what the lane
    // allows.
    void enqueue(CallImportance importance, TaskCall call);
    void advance(const Endpoint& endpoint);
    void endUnsent(TaskCall call, WorkerCallStatus status);

    // hold() counts the memory of a call if it is within the limit; release() takes it off again.
    bool hold(std::size_t bytes);
    void release(std::size_t bytes) { this->held -= bytes; }

    const WorkerProtocol& protocol;
    const Options options;
    HttpClient client;
    std::size_t held { 0 }; // bytes
    std::map<Endpoint, Lane> lanes; // that are not idle
};

} // namespace dragonflytray
