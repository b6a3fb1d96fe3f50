#pragma once

// The state behind the decisions about interference of one data centre.

#include "interference/exposure_history.h"
#include "interference/interference_commands.h"
#include "interference/interference_effects.h"
#include "interference/interference_queries.h"
#include "interference/policy.h"
#include <array>
#include <map>

namespace dragonflytray {

// Interference owns what is known about who disturbs whom. Not thread-safe: one duty owns it.
// Deterministic. A tick is linear in workers and tasks; a measurement is linear in the history of its
// worker and quadratic in the classes of its service; everything else is logarithmic or linear in one
// worker.
//
// Invariants, checked in every command: a task climbs one rung at a time and rests on it for the
// hysteresis; a worker sees at most one eviction within the hysteresis; only tasks that are there are
// throttled or evicted.
class Interference {
public:
    struct Options {
        InterferencePolicyKind policy { InterferencePolicyKind::PairModel };
        InterferencePolicyOptions policyOptions {};
        SlowdownEstimator::Options estimator {};
        ExposureHistory::Options history {};
        Duration lag { std::chrono::seconds(30) }; // of measurements, at most as a rule
        Duration hysteresis { std::chrono::seconds(60) }; // longer than the lag
        Duration avoidance { std::chrono::minutes(5) }; // a class stays away from where it was evicted
        double throttledShare { 0.5 };
        std::size_t serviceLimit { 64 }; // services learned about; others are left alone
    };

    explicit Interference(Options options);

    // handle() changes the state by one command and returns what has to be done.
    InterferenceEffects handle(const InterferenceCommand& command, Instant now);

    // ask() answers one query from the state.
    InterferenceView ask(const InterferenceQuery& query, Instant now) const;

private:
    using Handler = void (Interference::*)(const InterferenceCommand&, Instant, InterferenceEffects&);
    static const std::array<Handler, interferenceCommandNames.size()> handlers;

    struct Task {
        std::uint32_t attempt { 0 };
        BatchClassName batchClass;
        Duration costSinceCheckpoint { 0 };
        MitigationLevel rung { MitigationLevel::Unthrottled };
        Instant rungSince; // when the rung was reached; Instant::min() for a task that never left Free
    };
    struct Runner {
        double load { 0.5 };
        Instant since;
        Instant loadMeasured { Instant::min() };
    };
    struct Worker {
        explicit Worker(ExposureHistory::Options options)
            : history(options)
        {
        }

        std::map<JobId, Task> tasks;
        std::map<ServiceName, Runner> runners;
        ExposureHistory history;
        std::map<BatchClassName, Instant> avoidedUntil;
        Instant lastEviction { Instant::min() };
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

    // Shared steps of the handlers.
    Worker& workerOf(const HostName& name);
    void removeTask(const HostName& worker, const JobId& job, Instant now);
    std::optional<SampleRejection> reasonToReject(const LatencyMeasured& measured, Instant now) const;
    bool hasRested(const Task& task, Instant now) const;
    WorkerSnapshot situationOf(const Worker& worker, Instant now) const;
    void takeStep(const HostName& name, Worker& worker, const MitigationStep& step, Instant now, InterferenceEffects& effects);
    void noteEviction(Worker& worker, const BatchClassName& batchClass, Instant now) const;
    double shareOn(MitigationLevel rung) const;
    void setRung(Worker& worker, const JobId& job, MitigationLevel rung, Instant now);
    void forget(Worker& worker, Instant now) const;

    Options options;
    std::unique_ptr<InterferencePolicy> policy;
    ConfigurationVersion version { 0 };
    Objective objective;
    std::map<HostName, Worker> workers;
    std::map<JobId, HostName> placements; // worker of each task
    std::map<ServiceName, SlowdownEstimator> estimators;
    std::uint64_t samples { 0 };
    EnumArray<MitigationAction, std::uint64_t, mitigationActionNames.size()> moves;
    SampleRejectionCounts rejections;
};

} // namespace dragonflytray
