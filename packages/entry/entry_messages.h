#pragma once

// The typed messages between the duties of a scheduler daemon, and the rings that carry them.

#include "entry/protocols.h"
#include "telemetry/telemetry.h"

namespace dragonflytray {

// AskQueue is a caller's question about a queue.
struct AskQueue {
    ReplyToken token {};
    QueueQuery query;
};

// Towards the scheduling duty.
using SchedulingMessage = std::variant<SchedulerCommand, AskQueue>;

// QueueAnswered answers AskQueue.
struct QueueAnswered {
    ReplyToken token {};
    QueueView view;
};

// HostReadiness says whether this host should get new connections.
struct HostReadiness {
    bool isReady { false };
};

// BeginDrain announces the end of the process to callers. Their connections end once no new ones are accepted.
struct BeginDrain {
    Duration acceptFor { 0 }; // new connections
};

// EndDrain answers the calls that are still open.
struct EndDrain {
};

// MetricsRendered answers MetricsWanted.
struct MetricsRendered {
    ReplyToken token {};
    std::string text;
};

// Towards the front duty.
using FrontMessage = std::variant<ReplyToClient, QueueAnswered, HostReadiness, BeginDrain, EndDrain, MetricsRendered>;

// Towards the worker duty.
using WorkerCall = std::variant<PollWorker, StartTask, StopTask, SetTaskSpeed>;

// Towards the store duty.
using StoreCall = std::variant<WriteStoredRows, ReadJobRows, ReadRosters, FollowWorkers>;

// MetricsWanted asks for the text of all metrics.
struct MetricsWanted {
    ReplyToken token {};
};

// Towards the journal duty.
using JournalMessage = std::variant<LogDecision, MetricsSnapshot, MetricsWanted>;

// HandedOver tells the main thread that every lease is given up.
struct HandedOver {
};

// CallersEnded tells the main thread that no connection of a caller is left.
struct CallersEnded {
};

// EntryRings joins the duties. One quarter of each is kept for answers, holds and ends.
struct EntryRings {
    // Messages. A burst of submissions fills the first; the others carry a few messages a task.
    static constexpr std::size_t capacity = 2048;
    static constexpr std::size_t reserved = capacity / 4;

    BoundedRing<SchedulingMessage> scheduling { { capacity, reserved } };
    BoundedRing<FrontMessage> front { { capacity, reserved } };
    BoundedRing<WorkerCall> workers { { capacity, reserved } };
    BoundedRing<StoreCall> store { { capacity, reserved } };
    BoundedRing<JournalMessage> journal { { capacity, reserved } };
    BoundedRing<HandedOver> handedOver { { 4, 0 } };
    BoundedRing<CallersEnded> callersEnded { { 4, 0 } };
};

} // namespace dragonflytray
