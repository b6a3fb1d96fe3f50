#pragma once

// The duty towards workers: it carries out polls, starts, stops and changes of speed, itself or through agents.

#include "entry/agent_client.h"
#include "entry/outbox.h"
#include "entry/worker_caller.h"

namespace dragonflytray {

// WorkerCallDuty runs an event loop on a thread of its own until stop().
class WorkerCallDuty {
public:
    WorkerCallDuty(EntryRings& rings, const WorkerProtocol& protocol);

    void run() { this->loop.run(); }
    void stop() { this->loop.stop(); }

private:
    void perform(WorkerCall call);
    void deliver(const PollWorker& call);
    template <typename TaskCall>
    void deliver(const TaskCall& call);

    IoLoop loop;
    Outbox outbox;
    WorkerCaller caller;
    AgentClient agents;
};

} // namespace dragonflytray
