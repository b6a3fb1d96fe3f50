// Handlers of the commands that deliver the list of workers and their answers.

#include "scheduling/scheduler.h"

namespace dragonflytray {

void Scheduler::workersListed(const SchedulerCommand& command, CommandContext& context)
{
    this->dispatcher.storeAnswered(context.now);
    this->dispatcher.workersListed(std::get<WorkersListed>(command), context.now);
    this->dispatcher.tick(context);
}

void Scheduler::pollEnded(const SchedulerCommand& command, CommandContext& context)
{
    this->dispatcher.pollEnded(std::get<PollEnded>(command), context);
    this->checkFencing(context);
}

void Scheduler::taskCallEnded(const SchedulerCommand& command, CommandContext& context)
{
    this->dispatcher.taskCallEnded(std::get<TaskCallEnded>(command), context);
    this->checkFencing(context);
}

void Scheduler::agentContact(const SchedulerCommand& command, CommandContext& context)
{
    const auto& contact = std::get<AgentContact>(command);
    this->dispatcher.agentContact(contact.agent, contact.isAnswering, context);
}

} // namespace dragonflytray
