#include "scheduling/former_runs.h"

#include <algorithm>

namespace dragonflytray {

void FormerRuns::inherit(const WorkerId& worker, const std::set<TaskId>& tasks, Instant leaseEnd)
{
    if (tasks.empty())
        return;
    WorkerTasks& entry = this->workers[worker];
    entry.tasks.insert(tasks.begin(), tasks.end());
    entry.leaseEnd = std::max(entry.leaseEnd, leaseEnd);
    this->allTasks.insert(tasks.begin(), tasks.end());
}

void FormerRuns::runAdopted(const TaskId& task)
{
    const auto unknown = this->workers.find(WorkerId());
    if (unknown != this->workers.end() && unknown->second.tasks.erase(task) > 0)
        this->collectTasks();
}

void FormerRuns::workerAccounted(const WorkerId& worker)
{
    if (const auto found = this->workers.find(worker); found != this->workers.end())
        found->second.isAccounted = true;
}

void FormerRuns::reportComposed(std::uint64_t report)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.isAccounted && worker.report == 0)
            worker.report = report;
    }
}

void FormerRuns::reportStored(std::uint64_t report, RowVersion version)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.report != 0 && worker.report <= report && worker.reportVersion == 0)
            worker.reportVersion = version;
    }
}

template <typename Condition>
bool FormerRuns::dropWorkers(Condition condition)
{
    const bool isAnyDropped = std::erase_if(this->workers, [&](const auto& entry) { return condition(entry.second); }) > 0;
    if (isAnyDropped)
        this->collectTasks();
    return isAnyDropped;
}

bool FormerRuns::release(RowVersion followedVersion)
{
    return this->dropWorkers([=](const WorkerTasks& worker) { return worker.reportVersion != 0 && worker.reportVersion <= followedVersion; });
}

bool FormerRuns::expire(Instant now)
{
    return this->dropWorkers([=](const WorkerTasks& worker) { return now >= worker.leaseEnd; });
}

void FormerRuns::clear()
{
    this->workers.clear();
    this->allTasks.clear();
}

std::set<TaskId> FormerRuns::tasksOn(const WorkerId& worker) const
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() ? std::set<TaskId> {} : found->second.tasks;
}

void FormerRuns::collectTasks()
{
    this->allTasks.clear();
    for (const auto& [id, worker] : this->workers)
        this->allTasks.insert(worker.tasks.begin(), worker.tasks.end());
}

} // namespace dragonflytray
