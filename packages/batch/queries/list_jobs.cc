#include "batch/batch.h"

namespace dragonflytray {

BatchView Batch::listJobs(const BatchQuery& query, Instant) const
{
    const auto& asked = std::get<ListJobsQuery>(query);
    JobList list;
    for (const auto& [id, entry] : this->jobs) {
        if (!asked.state || entry.job.state == *asked.state)
            list.jobs.push_back(entry.job);
    }
    return list;
}

} // namespace dragonflytray
