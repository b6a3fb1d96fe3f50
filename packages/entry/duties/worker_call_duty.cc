#include "entry/duties/worker_call_duty.h"

namespace dragonflytray {

WorkerCallDuty::WorkerCallDuty(EntryRings& rings, const WorkerProtocol& protocol)
    : outbox(this->loop, rings.scheduling)
    , caller(this->loop, protocol, {})
    , agents(this->loop, { .onEnded = [this](SchedulerCommand end) { this->outbox.send(std::move(end)); }, .onUnsent = [this](const WorkerCall& call) { std::visit([this](const auto& value) { this->deliver(value); }, call); } })
{
    drainOnWake(this->loop, rings.workers, [this](WorkerCall call) { this->perform(std::move(call)); });
}

void WorkerCallDuty::perform(WorkerCall call)
{
    const Endpoint agent = std::visit([](const auto& value) { return value.to.agent; }, call);
    if (agent.port != 0)
        return this->agents.send(agent, std::move(call));
    std::visit([this](const auto& value) { this->deliver(value); }, call);
}

void WorkerCallDuty::deliver(const PollWorker& call)
{
    this->caller.poll(call, [this](PollEnded end) { this->outbox.send(std::move(end)); });
}

template <typename TaskCall>
void WorkerCallDuty::deliver(const TaskCall& call)
{
    this->caller.perform(call, [this](TaskCallEnded end) { this->outbox.send(std::move(end)); });
}

} // namespace dragonflytray
