#include "batch/batch.h"

#include <algorithm>
#include <functional>

namespace dragonflytray {

namespace {

    constexpr std::uint32_t maxDoublings = 6; // of a backoff or quarantine
    constexpr std::size_t jitterSteps = 1000;

} // namespace

// Usage above the declared need raises the job's reservation and quota charge, and the expected usage of its class.
void Batch::applyMeasuredUsage(JobEntry& entry, const Capacity& usage)
{
    Capacity& need = entry.job.need;
    const Capacity raised { std::max(need.processors, usage.processors), std::max(need.memoryGigabytes, usage.memoryGigabytes), std::max(need.accelerators, usage.accelerators) };
    if (raised == need || need.processors <= 0 || need.memoryGigabytes <= 0)
        return;
    UsageRatio& ratio = this->usageRatios[entry.job.batchClass];
    ratio.processors = std::max(ratio.processors, raised.processors / need.processors);
    ratio.memory = std::max(ratio.memory, raised.memoryGigabytes / need.memoryGigabytes);
    need = raised;
    this->capacityReservations.forceReserve(entry.heldOn, entry.job.id, need);
    this->charge(entry, need.processors);
}

// Quarantines a worker after `quarantineThreshold` failures without a success between them. Only failures of jobs that
// failed on no other worker count.
void Batch::recordWorkerFailure(Worker& worker, const Job& job, Instant now)
{
    const bool hasFailedOnlyHere = std::all_of(job.failedOn.begin(), job.failedOn.end(), [&](const HostName& name) { return name == worker.host.name; });
    if (!hasFailedOnlyHere || ++worker.consecutiveFailures < this->options.quarantineThreshold)
        return;
    const std::uint32_t doublings = std::min(worker.consecutiveFailures - this->options.quarantineThreshold, maxDoublings);
    worker.quarantinedUntil = now + this->options.initialQuarantine * (1 << doublings);
}

void Batch::recordWorkerSuccess(Worker& worker)
{
    worker.consecutiveFailures = 0;
    worker.quarantinedUntil = Instant();
}

Job Batch::jobAfterFailedAttempt(const JobEntry& entry, const Worker& worker) const
{
    Job job = entry.job;
    job.state = JobState::Queued;
    job.reason = "the last attempt failed";
    const bool isWorkersFault = worker.consecutiveFailures >= this->options.quarantineThreshold;
    if (isWorkersFault) {
        job.reason = "the last attempt failed on a worker that fails everything";
        return job;
    }
    ++job.failures;
    if (std::find(job.failedOn.begin(), job.failedOn.end(), worker.host.name) == job.failedOn.end())
        job.failedOn.push_back(worker.host.name);
    const BatchClassDeclaration* batchClass = this->inForce.declaration ? this->inForce.declaration->findBatchClass(job.batchClass) : nullptr;
    if (batchClass && job.failures >= batchClass->attemptLimit) {
        job.state = JobState::Failed;
        job.reason = "out of attempts";
    } else if (job.failedOn.size() >= this->options.parkingThreshold) {
        job.state = JobState::Parked;
        job.reason = "failed on " + std::to_string(job.failedOn.size()) + " healthy workers";
    }
    return job;
}

// Exponential backoff, of which the upper half is jitter. The jitter is a hash of job and attempt rather than random, so
// that runs are reproducible.
Duration Batch::retryBackoff(const Job& job) const
{
    const std::uint32_t doublings = std::min(job.failures, maxDoublings);
    const std::size_t jitter = std::hash<std::string>()(job.id.value() + "/" + std::to_string(job.attempt)) % jitterSteps;
    const Duration maxBackoff = this->options.initialRetryBackoff * (1 << doublings);
    return maxBackoff / 2 + maxBackoff / (2 * jitterSteps) * static_cast<Duration::rep>(jitter);
}

// Sets the number of processors that a job uses of its team's quota.
void Batch::charge(JobEntry& entry, double processors)
{
    double& used = this->teamProcessors[entry.job.team];
    used += processors - entry.chargedProcessors;
    entry.chargedProcessors = processors;
}

} // namespace dragonflytray
