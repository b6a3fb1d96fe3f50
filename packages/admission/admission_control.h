#pragma once

// Whether a new job is accepted or refused at once.
//
// It answers work that can't succeed while capacity is short: without a refusal, its callers would learn that only at the end of their
// deadline. A refusal has a cost for callers, so it is used only for work that misses its late limit for certain:
//
// - Only work of more urgent priorities counts as preceding, and only while its objective has not ended, since work that misses its
//   objective comes after all other. Work of the same priority never counts: which of it comes first depends on shares and objectives.
// - Only tasks that wait for room count, and only if none of the job's tasks needs less than they do, so that no gap which is too small
//   for them lets it pass. What runs may end at any moment.
// - The whole capacity of the service is taken to work for this job, without gaps, limits of memory, labels or failures.
// - Run times are taken to be Options::minRunTimeShare of what was expected, for the preceding work and for the job.
//
// What it can't exclude is capacity that is added later, and preceding work that is cancelled.

#include "admission/forecast.h"

namespace dragonflytray {

// JobDemand is what a new job needs.
struct JobDemand {
    ServiceName service;
    int priority { 0 };
    Duration criticalPath { 0 }; // expected run time of the longest chain of its steps
    double coreMilliseconds { 0 }; // of all its tasks, by expected run times
    std::int64_t minMillicores { 0 }; // that each of its tasks needs
    std::int64_t minMegabytes { 0 }; // the same
    Duration lateLimit { 0 }; // after which its completion counts for nothing
};

// ForecastView is what a host knows of the forecast of a cell.
struct ForecastView {
    const Forecast* forecast { nullptr }; // null: none
    Epoch highestEpoch { 0 }; // of all leaders of the cell that the host knows of
    Instant receivedAt;
};

// AdmissionOutcome is a decision and its reason. Only Hopeless is a refusal.
enum class AdmissionOutcome {
    InTime,
    NoForecast,
    OldForecast,
    FormerEpoch, // the forecast is that of a leader with a successor
    NoCapacity, // the forecast knows no workers of the service; they may be unknown or evacuated
    Hopeless,
};

inline constexpr NameTable admissionOutcomeNames { std::to_array<NameEntry<AdmissionOutcome>>({
    { AdmissionOutcome::InTime, "in-time" },
    { AdmissionOutcome::NoForecast, "no-forecast" },
    { AdmissionOutcome::OldForecast, "old-forecast" },
    { AdmissionOutcome::FormerEpoch, "former-epoch" },
    { AdmissionOutcome::NoCapacity, "no-capacity" },
    { AdmissionOutcome::Hopeless, "hopeless" },
}) };
static_assert(admissionOutcomeNames.isWhole(AdmissionOutcome::Hopeless));

// AdmissionDecision is the decision about one job.
struct AdmissionDecision {
    AdmissionOutcome outcome { AdmissionOutcome::InTime };
    Duration earliestEnd { 0 }; // from now, in the best case; 0 unless the outcome is InTime or Hopeless
    Duration retryAfter { 0 }; // of Hopeless: the time, in whole seconds, after which the same forecast would let the job succeed
};

// AdmissionControl decides. Pure: the times are passed in. Immutable, thus thread-safe.
class AdmissionControl {
public:
    struct Options {
        Duration maxForecastAge { std::chrono::seconds(2) }; // four renewals of the leader's lease
        double minRunTimeShare { 0.5 }; // callers' estimates are wrong by a factor of up to about two
    };

    explicit AdmissionControl(Options options)
        : options(options)
    {
    }

    // decide() returns the decision about a job. `wallTime` is the time on the clock of this host in milliseconds since the Unix epoch.
    // A forecast is old by either clock, so that one that was received late does not count. A job that is too large for the whole capacity
    // gets its late limit as retry time: sooner, the same capacity would give the same answer. Linear in the forecast of the service.
    AdmissionDecision decide(const JobDemand& demand, const ForecastView& view, std::int64_t wallTime, Instant now) const;

private:
    // earliestStart() is the time from now until the preceding work can have been started or has passed its objective.
    Duration earliestStart(const JobDemand& demand, const ServiceForecast& service, Duration age) const;

    Options options;
};

} // namespace dragonflytray
