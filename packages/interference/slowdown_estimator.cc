#include "interference/slowdown_estimator.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    constexpr std::size_t baselineCoefficientCount = 2;
    constexpr std::size_t coefficientsPerClass = 2;
    constexpr double halfLoad = 0.5; // load is measured from here, which keeps effect and slope nearly uncorrelated
    constexpr double baselinePriorVariance = 4; // of the log p99 and of its slope

    std::size_t firstCoefficient(std::size_t classIndex)
    {
        return baselineCoefficientCount + coefficientsPerClass * classIndex;
    }

} // namespace

SlowdownEstimator::SlowdownEstimator(Options options)
    : options(options)
    , coefficients(baselineCoefficientCount, 0)
    , covariance(baselineCoefficientCount * baselineCoefficientCount, 0)
{
    require(options.noiseDeviation > 0, "SlowdownEstimator: noiseDeviation must be positive");
    require(options.maxCoefficient > options.priorEffect, "SlowdownEstimator: maxCoefficient must exceed priorEffect");
    for (std::size_t i = 0; i < baselineCoefficientCount; ++i)
        this->covarianceAt(i, i) = baselinePriorVariance;
}

void SlowdownEstimator::observe(const LatencySample& sample)
{
    require(std::isfinite(sample.logLatency) && std::isfinite(sample.load) && sample.count > 0, "SlowdownEstimator: a sample has a value that is not finite or a count of 0");
    if (!this->hasSample) {
        this->coefficients[0] = sample.logLatency;
        this->lastSampleAt = sample.when;
        this->hasSample = true;
    }
    this->addNewClasses(sample);
    if (sample.when > this->lastSampleAt) {
        this->drift(sample.when - this->lastSampleAt);
        this->lastSampleAt = sample.when;
    }
    for (const Exposure& exposure : sample.exposures) {
        if (auto index = this->indexOfClass(exposure.batchClass))
            this->effectiveWindows[*index] += std::min(exposure.averageTasks, 1.0);
    }
    this->update(this->regressors(sample), sample);
    this->clampCoefficients();
}

EffectEstimate SlowdownEstimator::effect(const BatchClassName& batchClass, double load) const
{
    const double offset = load - halfLoad;
    auto index = this->indexOfClass(batchClass);
    if (!index) {
        const double slopeDeviation = this->options.priorLoadDeviation * offset;
        return { this->options.priorEffect, std::hypot(this->options.priorDeviation, slopeDeviation), 0 };
    }
    const std::size_t effect = firstCoefficient(*index);
    const std::size_t slope = effect + 1;
    const double mean = this->coefficients[effect] + this->coefficients[slope] * offset;
    const double variance = this->covarianceAt(effect, effect) + 2 * offset * this->covarianceAt(effect, slope) + offset * offset * this->covarianceAt(slope, slope);
    return { std::clamp(mean, -this->options.maxCoefficient, this->options.maxCoefficient), std::sqrt(std::max(variance, 0.0)), this->effectiveWindows[*index] };
}

std::optional<std::size_t> SlowdownEstimator::indexOfClass(const BatchClassName& batchClass) const
{
    auto found = std::find(this->classNames.begin(), this->classNames.end(), batchClass);
    if (found == this->classNames.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->classNames.begin());
}

void SlowdownEstimator::addNewClasses(const LatencySample& sample)
{
    for (const Exposure& exposure : sample.exposures) {
        if (this->classNames.size() < this->options.maxClasses && !this->indexOfClass(exposure.batchClass))
            this->addClass(exposure.batchClass);
    }
}

void SlowdownEstimator::addClass(const BatchClassName& batchClass)
{
    const std::size_t before = this->coefficients.size();
    const std::size_t after = before + coefficientsPerClass;
    std::vector<double> grown(after * after, 0);
    for (std::size_t row = 0; row < before; ++row)
        std::copy_n(this->covariance.begin() + static_cast<std::ptrdiff_t>(row * before), before, grown.begin() + static_cast<std::ptrdiff_t>(row * after));
    this->covariance = std::move(grown);
    this->classNames.push_back(batchClass);
    this->effectiveWindows.push_back(0);
    this->coefficients.push_back(this->options.priorEffect);
    this->coefficients.push_back(0);
    for (std::size_t i = before; i < after; ++i)
        this->covarianceAt(i, i) = this->priorVariance(i);
}

std::vector<double> SlowdownEstimator::regressors(const LatencySample& sample) const
{
    const double offset = sample.load - halfLoad;
    std::vector<double> result(this->coefficients.size(), 0);
    result[0] = 1;
    result[1] = offset;
    for (const Exposure& exposure : sample.exposures) {
        if (auto index = this->indexOfClass(exposure.batchClass)) {
            result[firstCoefficient(*index)] += exposure.averageTasks;
            result[firstCoefficient(*index) + 1] += exposure.averageTasks * offset;
        }
    }
    return result;
}

double SlowdownEstimator::priorVariance(std::size_t coefficient) const
{
    if (coefficient < baselineCoefficientCount)
        return baselinePriorVariance;
    const bool isSlope = (coefficient - baselineCoefficientCount) % coefficientsPerClass == 1;
    const double deviation = isSlope ? this->options.priorLoadDeviation : this->options.priorDeviation;
    return deviation * deviation;
}

void SlowdownEstimator::drift(Duration elapsed)
{
    const double seconds = toSeconds(elapsed);
    for (std::size_t i = 0; i < this->coefficients.size(); ++i) {
        const double deviation = i < baselineCoefficientCount ? this->options.baselineDrift : this->options.effectDrift;
        this->covarianceAt(i, i) += deviation * deviation * seconds;
        // The variance of a coefficient that is not measured would grow without bound, so it is limited to the prior.
        // Scaling the row and the column alike keeps the matrix positive semidefinite.
        const double ratioToPrior = this->covarianceAt(i, i) / this->priorVariance(i);
        if (ratioToPrior <= 1)
            continue;
        const double scale = 1 / std::sqrt(ratioToPrior);
        for (std::size_t j = 0; j < this->coefficients.size(); ++j) {
            this->covarianceAt(i, j) *= scale;
            this->covarianceAt(j, i) *= scale;
        }
    }
    const double decay = std::exp2(-seconds / toSeconds(this->options.windowHalfLife));
    for (double& windows : this->effectiveWindows)
        windows *= decay;
}

void SlowdownEstimator::update(const std::vector<double>& regressors, const LatencySample& sample)
{
    const std::size_t size = this->coefficients.size();
    std::vector<double> covarianceTimesRegressors(size, 0);
    double predicted = 0;
    for (std::size_t i = 0; i < size; ++i) {
        predicted += regressors[i] * this->coefficients[i];
        for (std::size_t j = 0; j < size; ++j)
            covarianceTimesRegressors[i] += this->covarianceAt(i, j) * regressors[j];
    }
    double variance = this->options.noiseDeviation * this->options.noiseDeviation + this->options.samplingVariance / static_cast<double>(sample.count);
    for (std::size_t i = 0; i < size; ++i)
        variance += regressors[i] * covarianceTimesRegressors[i];
    const double maxError = this->options.outlierDeviations * std::sqrt(variance);
    const double error = std::clamp(sample.logLatency - predicted, -maxError, maxError);
    for (std::size_t i = 0; i < size; ++i)
        this->coefficients[i] += covarianceTimesRegressors[i] / variance * error;
    for (std::size_t i = 0; i < size; ++i) {
        for (std::size_t j = 0; j < size; ++j)
            this->covarianceAt(i, j) -= covarianceTimesRegressors[i] * covarianceTimesRegressors[j] / variance;
        // Rounding may make a small variance negative.
        this->covarianceAt(i, i) = std::max(this->covarianceAt(i, i), 0.0);
    }
}

void SlowdownEstimator::clampCoefficients()
{
    for (std::size_t i = baselineCoefficientCount; i < this->coefficients.size(); ++i) {
        require(std::isfinite(this->coefficients[i]), "SlowdownEstimator: a coefficient is not finite");
        this->coefficients[i] = std::clamp(this->coefficients[i], -this->options.maxCoefficient, this->options.maxCoefficient);
    }
}

} // namespace dragonflytray
