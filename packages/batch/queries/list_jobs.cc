#include "batch/batch.h"

namespace dragonflytray {

BatchView Batch::listJobs(const BatchQuery& query, Instant) const
{
    const auto& listQuery = std::get<ListJobsQuery>(query);
    JobList list;
    for (const auto& [id, entry] : this->jobs) {
        if (!listQuery.state || entry.job.state == *listQuery.state)
            list.jobs.push_back(entry.job);
    }
    return list;
}

} // namespace dragonflytray
