#pragma once

// The state from which interference within one data centre is estimated and mitigated.

#include "interference/exposure_history.h"
#include "interference/interference_commands.h"
#include "interference/interference_effects.h"
#include "interference/interference_queries.h"
#include "interference/policy.h"
#include <array>
#include <map>

namespace dragonflytray {

// Interference estimates how batch tasks slow the services beside them and decides which tasks to throttle or evict.
// Not thread-safe: one duty owns it. Deterministic. A tick is linear in workers and tasks; a measurement is linear in the
// history of its worker and quadratic in the classes of its service; everything else is logarithmic or linear in one
// worker.
//
// Invariants, checked whenever a mitigation step is applied: the mitigation level of a task changes by one transition at
// a time, and only mitigationCooldown after the previous change; a worker has at most one eviction within
// mitigationCooldown (the check itself requires only that more than measurementLag lies between them); only tasks recorded
// on a worker are throttled or evicted.
class Interference {
public:
    struct Options {
        InterferencePolicyKind policy { InterferencePolicyKind::PairModel };
        InterferencePolicyOptions policyOptions {};
        SlowdownEstimator::Options estimator {};
        ExposureHistory::Options history {};
        Duration measurementLag { std::chrono::seconds(30) }; // age of a measurement when it arrives, normally at most
        Duration mitigationCooldown { std::chrono::seconds(60) }; // longer than the lag, so that the effect of a step is measured before the next
        Duration placementCooldown { std::chrono::minutes(5) }; // a class is not placed where one of its tasks was evicted
        double throttledCpuShare { 0.5 }; // fraction of the declared processors, between 0 and 1
        std::size_t maxServices { 64 }; // services with estimates; tasks beside any other are judged by the prior
    };

    explicit Interference(Options options);

    // handle() applies one command and returns the resulting actions in order.
    InterferenceEffects handle(const InterferenceCommand& command, Instant now);

    // ask() answers one query without changing the state.
    InterferenceView ask(const InterferenceQuery& query, Instant now) const;

private:
    using Handler = void (Interference::*)(const InterferenceCommand&, Instant, InterferenceEffects&);
    static const std::array<Handler, interferenceCommandNames.size()> handlers;

    struct Task {
        std::uint32_t attempt { 0 };
        BatchClassName batchClass;
        Duration costSinceCheckpoint { 0 };
        MitigationLevel level { MitigationLevel::Unthrottled };
        Instant levelSince; // when the level was reached; Instant::min() if it never changed
    };
    struct Runner {
        double load { 0.5 }; // fraction of its slots in use; 0.5 until measured
        Instant placedAt;
        Instant loadMeasuredAt { Instant::min() }; // end of the window that gave the load
    };
    struct Worker {
        explicit Worker(ExposureHistory::Options options)
            : history(options)
        {
        }

        std::map<JobId, Task> tasks;
        std::map<ServiceName, Runner> runners;
        ExposureHistory history;
        std::map<BatchClassName, Instant> placementCooldownUntil;
        Instant lastEvictionAt { Instant::min() };
    };

    void taskPlaced(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void taskRemoved(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void runnerPlaced(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void runnerRemoved(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void latencyMeasured(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void changeConfiguration(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);
    void tick(const InterferenceCommand& command, Instant now, InterferenceEffects& effects);

    InterferenceView placementPenalty(const InterferenceQuery& query, Instant now) const;
    InterferenceView slowdownEstimates(const InterferenceQuery& query, Instant now) const;
    InterferenceView summary(const InterferenceQuery& query, Instant now) const;

    // Helpers of the handlers.
    Worker& findOrAddWorker(const HostName& name);
    void removeTask(const HostName& worker, const JobId& job, Instant now);
    std::optional<SampleRejection> reasonToReject(const LatencyMeasured& measured, Instant now) const;
    bool hasCooledDown(const Task& task, Instant now) const;
    WorkerSnapshot snapshotOf(const Worker& worker, Instant now) const;
    void applyMitigation(const HostName& name, Worker& worker, const MitigationStep& step, Instant now, InterferenceEffects& effects);
    void recordEviction(Worker& worker, const BatchClassName& batchClass, Instant now) const;
    double cpuShareAt(MitigationLevel level) const;
    void setLevel(Worker& worker, const JobId& job, MitigationLevel level, Instant now);
    void dropExpired(Worker& worker, Instant now) const;

    Options options;
    std::unique_ptr<InterferencePolicy> policy;
    ConfigurationVersion version { 0 };
    Objective objective;
    std::map<HostName, Worker> workers; // those with a task, a runner, a history or a placement cooldown
    std::map<JobId, HostName> placements; // worker of each task
    std::map<ServiceName, SlowdownEstimator> estimators;
    std::uint64_t samples { 0 };
    EnumArray<MitigationAction, std::uint64_t, mitigationActionNames.size()> mitigationCounts;
    SampleRejectionCounts rejections;
};

} // namespace dragonflytray
