// Commands that bring the list of workers and their answers.

#include "scheduling/scheduler.h"

namespace dragonflytray {

void Scheduler::workersListed(const SchedulerCommand& command, Turn& turn)
{
    this->dispatcher.workersListed(std::get<WorkersListed>(command));
    this->dispatcher.tick(turn);
}

void Scheduler::holdEnded(const SchedulerCommand& command, Turn& turn)
{
    this->dispatcher.holdEnded(std::get<HoldEnded>(command), turn);
    this->checkFence(turn);
}

void Scheduler::taskCallEnded(const SchedulerCommand& command, Turn& turn)
{
    this->dispatcher.taskCallEnded(std::get<TaskCallEnded>(command), turn);
    this->checkFence(turn);
}

} // namespace dragonflytray
