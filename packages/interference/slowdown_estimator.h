#pragma once

// SlowdownEstimator learns what each batch class does to the p99 of one service.
//
// The model is additive in the logarithm: log p99 = baseline(load) + sum over classes of
// exposure x effect(load), both linear in the load. It is fitted by recursive least squares whose
// coefficients drift as a random walk, so old measurements fade and an effect that is no longer
// measured becomes uncertain again.
//
// Example:
//
//     SlowdownEstimator estimator({});
//     estimator.observe({ .when = windowEnd, .logLatency = std::log(p99), .count = 400, .load = 0.6, .exposures = exposures });
//     EffectEstimate effect = estimator.effect(BatchClassName("train"), 0.8);

#include "model/model.h"
#include <optional>
#include <vector>

namespace dragonflytray {

// Exposure is how much of one class ran beside a service: 1 for one full task all the time.
struct Exposure {
    BatchClassName batchClass;
    double weight { 0 };
};

// LatencySample is one measurement matched to who ran then.
struct LatencySample {
    Instant when;
    double logLatency { 0 }; // natural logarithm of the p99 in milliseconds
    std::uint64_t count { 1 }; // requests in the window
    double load { 0 };
    std::vector<Exposure> exposures;
};

// EffectEstimate is the log-slowdown that one full task of a class causes.
struct EffectEstimate {
    double mean { 0 };
    double deviation { 0 }; // standard deviation
    double weight { 0 }; // decayed number of windows behind it
};

// SlowdownEstimator holds the coefficients of one service. Not thread-safe. observe() takes time quadratic in
// the number of classes, effect() is linear in it. Estimates are always finite and within the bound.
class SlowdownEstimator {
public:
    struct Options {
        std::size_t classLimit { 32 }; // further classes are taken for noise
        double priorEffect { 0.1 }; // log-slowdown of a class that was never measured
        double priorDeviation { 0.5 };
        double priorLoadDeviation { 0.5 }; // of the change of an effect over the whole range of load
        double effectDrift { 0.005 }; // standard deviation gained by a coefficient in one second's square root
        double baselineDrift { 0.005 };
        double noiseDeviation { 0.15 }; // of the logarithm of a p99 over very many requests
        double tailNoise { 3 }; // added variance is this over the number of requests
        double outlierDeviations { 4 }; // an error beyond this many standard deviations is cut down to it
        double bound { 4 }; // of every coefficient, as an absolute value
        Duration weightHalfLife { std::chrono::minutes(10) };
    };

    explicit SlowdownEstimator(Options options);

    // observe() takes one sample into account. A sample older than the last one is used without decay.
    void observe(const LatencySample& sample);

    // effect() is the estimate for a class at a load; the prior for a class that was never seen.
    EffectEstimate effect(const BatchClassName& batchClass, double load) const;

    // classes() lists the classes seen so far, in the order of their first measurement.
    const std::vector<BatchClassName>& classes() const { return this->names; }

private:
    std::optional<std::size_t> indexOfClass(const BatchClassName& batchClass) const;
    void addClass(const BatchClassName& batchClass);
    void learnNewClasses(const LatencySample& sample);
    std::vector<double> regressors(const LatencySample& sample) const;
    double priorVariance(std::size_t coefficient) const;
    void drift(Duration elapsed);
    void update(const std::vector<double>& regressors, const LatencySample& sample);
    void limitCoefficients();
    double& covarianceAt(std::size_t row, std::size_t column) { return this->covariance[row * this->coefficients.size() + column]; }
    double covarianceAt(std::size_t row, std::size_t column) const { return this->covariance[row * this->coefficients.size() + column]; }

    Options options;
    std::vector<BatchClassName> names;
    std::vector<double> weights; // decayed windows of each class
    std::vector<double> coefficients; // baseline, its slope, then effect and slope of each class
    std::vector<double> covariance; // row by row
    Instant last;
    bool hasSample { false };
};

} // namespace dragonflytray
