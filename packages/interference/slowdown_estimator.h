#pragma once

// SlowdownEstimator estimates how much each batch class slows the p99 of one service that runs beside it.
//
// The model is additive in the logarithm: log p99 = baseline(load) + sum over classes of exposure x effect(load), with
// baseline and effects linear in the load. It is fitted by recursive least squares whose coefficients drift as a random
// walk, so that old measurements lose weight and an effect that is no longer measured becomes uncertain again.
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

// Exposure is how much of one class ran beside a service during a window.
struct Exposure {
    BatchClassName batchClass;
    double averageTasks { 0 }; // 1 for one unthrottled task during the whole window
};

// LatencySample is one measurement with the tasks that ran beside the service during its window.
struct LatencySample {
    Instant when; // end of the window
    double logLatency { 0 }; // natural logarithm of the p99 in milliseconds
    std::uint64_t count { 1 }; // requests in the window
    double load { 0 }; // 0 to 1
    std::vector<Exposure> exposures;
};

// EffectEstimate is the log-slowdown that one unthrottled task of a class causes.
struct EffectEstimate {
    double mean { 0 };
    double deviation { 0 }; // standard deviation
    double effectiveWindows { 0 }; // windows with the class, decayed by windowHalfLife
};

// SlowdownEstimator holds the coefficients of one service. Not thread-safe. observe() takes time quadratic in the number
// of classes, effect() linear. Estimates are always finite and at most maxCoefficient in absolute value.
class SlowdownEstimator {
public:
    struct Options {
        std::size_t maxClasses { 32 }; // further classes are ignored, so that their effect counts as noise
        double priorEffect { 0.1 }; // log-slowdown assumed for a class before it is measured
        double priorDeviation { 0.5 }; // standard deviation of priorEffect
        double priorLoadDeviation { 0.5 }; // standard deviation of the change of an effect from load 0 to load 1
        double effectDrift { 0.005 }; // standard deviation gained by a coefficient in one second; grows with the square root of time
        double baselineDrift { 0.005 }; // the same for the coefficients of the baseline
        double noiseDeviation { 0.15 }; // standard deviation of the log p99 of a window with very many requests
        double samplingVariance { 3 }; // variance that sampling adds to the log p99, multiplied by the number of requests
        double outlierDeviations { 4 }; // standard deviations to which a larger prediction error is clamped
        double maxCoefficient { 4 }; // absolute value of effects and of their slopes over the load
        Duration windowHalfLife { std::chrono::minutes(10) }; // of EffectEstimate::effectiveWindows
    };

    explicit SlowdownEstimator(Options options);

    // observe() updates the estimates with one sample. A sample older than the newest one is used without drift or decay.
    // Requires finite values and a count above 0.
    void observe(const LatencySample& sample);

    // effect() is the estimate for a class at a load; the prior if the class was never observed.
    EffectEstimate effect(const BatchClassName& batchClass, double load) const;

    // classes() lists the observed classes in the order of their first measurement.
    const std::vector<BatchClassName>& classes() const { return this->classNames; }

private:
    std::optional<std::size_t> indexOfClass(const BatchClassName& batchClass) const;
    void addClass(const BatchClassName& batchClass);
    void addNewClasses(const LatencySample& sample);
    std::vector<double> regressors(const LatencySample& sample) const;
    double priorVariance(std::size_t coefficient) const;
    void drift(Duration elapsed);
    void update(const std::vector<double>& regressors, const LatencySample& sample);
    void clampCoefficients();
    double& covarianceAt(std::size_t row, std::size_t column) { return this->covariance[row * this->coefficients.size() + column]; }
    double covarianceAt(std::size_t row, std::size_t column) const { return this->covariance[row * this->coefficients.size() + column]; }

    Options options;
    std::vector<BatchClassName> classNames;
    std::vector<double> effectiveWindows; // of each class
    std::vector<double> coefficients; // baseline at half load and its slope, then effect at half load and its slope for each class
    std::vector<double> covariance; // of the coefficients, square matrix in row-major order
    Instant lastSampleAt;
    bool hasSample { false };
};

} // namespace dragonflytray
