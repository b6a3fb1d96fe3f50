#include "scheduling/job_types.h"

#include <algorithm>

namespace dragonflytray {

TaskResources& TaskResources::operator+=(const TaskResources& other)
{
    this->millicores += other.millicores;
    this->megabytes += other.megabytes;
    this->accelerators += other.accelerators;
    return *this;
}

TaskResources& TaskResources::operator-=(const TaskResources& other)
{
    this->millicores -= other.millicores;
    this->megabytes -= other.megabytes;
    this->accelerators -= other.accelerators;
    return *this;
}

bool TaskResources::fitsIn(const TaskResources& available) const
{
    return this->millicores <= available.millicores && this->megabytes <= available.megabytes && this->accelerators <= available.accelerators;
}

const QueueRule* SchedulingConfiguration::findQueue(std::string_view host, std::string_view path) const
{
    const QueueRule* best = nullptr;
    for (const QueueRule& queue : this->queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

bool JobDefinition::isLongRunning() const
{
    return std::any_of(this->steps.begin(), this->steps.end(), [](const StepDefinition& step) { return step.isLongRunning; });
}

} // namespace dragonflytray
