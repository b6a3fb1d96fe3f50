#include "interference/slowdown_estimator.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

namespace {

    constexpr std::size_t baselineCoefficients = 2;
    constexpr std::size_t coefficientsOfClass = 2;
    constexpr double middleLoad = 0.5; // slopes turn around it, so that effect and slope are hardly correlated
    constexpr double baselinePriorVariance = 4;

    std::size_t firstCoefficient(std::size_t classIndex)
    {
        return baselineCoefficients + coefficientsOfClass * classIndex;
    }

} // namespace

SlowdownEstimator::SlowdownEstimator(Options options)
    : options(options)
    , coefficients(baselineCoefficients, 0)
    , covariance(baselineCoefficients * baselineCoefficients, 0)
{
    require(options.noiseDeviation > 0, "SlowdownEstimator: the noise must be positive");
    require(options.bound > options.priorEffect, "SlowdownEstimator: the bound must exceed the prior");
    for (std::size_t i = 0; i < baselineCoefficients; ++i)
        this->covarianceAt(i, i) = baselinePriorVariance;
}

void SlowdownEstimator::observe(const LatencySample& sample)
{
    require(std::isfinite(sample.logLatency) && std::isfinite(sample.load) && sample.count > 0, "SlowdownEstimator: a sample is malformed");
    if (!this->hasSample) {
        this->coefficients[0] = sample.logLatency;
        this->last = sample.when;
        this->hasSample = true;
    }
    this->learnNewClasses(sample);
    if (sample.when > this->last) {
        this->drift(sample.when - this->last);
        this->last = sample.when;
    }
    for (const Exposure& exposure : sample.exposures) {
        if (auto index = this->indexOfClass(exposure.batchClass))
            this->weights[*index] += std::min(exposure.weight, 1.0);
    }
    this->update(this->regressors(sample), sample);
    this->limitCoefficients();
}

EffectEstimate SlowdownEstimator::effect(const BatchClassName& batchClass, double load) const
{
    const double offset = load - middleLoad;
    auto index = this->indexOfClass(batchClass);
    if (!index) {
        const double slopeDeviation = this->options.priorLoadDeviation * offset;
        return { this->options.priorEffect, std::hypot(this->options.priorDeviation, slopeDeviation), 0 };
    }
    const std::size_t effect = firstCoefficient(*index);
    const std::size_t slope = effect + 1;
    const double mean = this->coefficients[effect] + this->coefficients[slope] * offset;
    const double variance = this->covarianceAt(effect, effect) + 2 * offset * this->covarianceAt(effect, slope) + offset * offset * this->covarianceAt(slope, slope);
    return { std::clamp(mean, -this->options.bound, this->options.bound), std::sqrt(std::max(variance, 0.0)), this->weights[*index] };
}

std::optional<std::size_t> SlowdownEstimator::indexOfClass(const BatchClassName& batchClass) const
{
    auto found = std::find(this->names.begin(), this->names.end(), batchClass);
    if (found == this->names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->names.begin());
}

void SlowdownEstimator::learnNewClasses(const LatencySample& sample)
{
    for (const Exposure& exposure : sample.exposures) {
        if (this->names.size() < this->options.classLimit && !this->indexOfClass(exposure.batchClass))
            this->addClass(exposure.batchClass);
    }
}

void SlowdownEstimator::addClass(const BatchClassName& batchClass)
{
    const std::size_t before = this->coefficients.size();
    const std::size_t after = before + coefficientsOfClass;
    std::vector<double> grown(after * after, 0);
    for (std::size_t row = 0; row < before; ++row)
        std::copy_n(this->covariance.begin() + static_cast<std::ptrdiff_t>(row * before), before, grown.begin() + static_cast<std::ptrdiff_t>(row * after));
    this->covariance = std::move(grown);
    this->names.push_back(batchClass);
    this->weights.push_back(0);
    this->coefficients.push_back(this->options.priorEffect);
    this->coefficients.push_back(0);
    for (std::size_t i = before; i < after; ++i)
        this->covarianceAt(i, i) = this->priorVariance(i);
}

std::vector<double> SlowdownEstimator::regressors(const LatencySample& sample) const
{
    const double offset = sample.load - middleLoad;
    std::vector<double> result(this->coefficients.size(), 0);
    result[0] = 1;
    result[1] = offset;
    for (const Exposure& exposure : sample.exposures) {
        if (auto index = this->indexOfClass(exposure.batchClass)) {
            result[firstCoefficient(*index)] += exposure.weight;
            result[firstCoefficient(*index) + 1] += exposure.weight * offset;
        }
    }
    return result;
}

double SlowdownEstimator::priorVariance(std::size_t coefficient) const
{
    if (coefficient < baselineCoefficients)
        return baselinePriorVariance;
    const bool isSlope = (coefficient - baselineCoefficients) % coefficientsOfClass == 1;
    const double deviation = isSlope ? this->options.priorLoadDeviation : this->options.priorDeviation;
    return deviation * deviation;
}

void SlowdownEstimator::drift(Duration elapsed)
{
    const double seconds = toSeconds(elapsed);
    for (std::size_t i = 0; i < this->coefficients.size(); ++i) {
        const double deviation = i < baselineCoefficients ? this->options.baselineDrift : this->options.effectDrift;
        this->covarianceAt(i, i) += deviation * deviation * seconds;
        // Without a limit the covariance of what is never measured would grow for ever. Scaling the
        // row and the column alike keeps the matrix positive.
        const double excess = this->covarianceAt(i, i) / this->priorVariance(i);
        if (excess <= 1)
            continue;
        const double scale = 1 / std::sqrt(excess);
        for (std::size_t j = 0; j < this->coefficients.size(); ++j) {
            this->covarianceAt(i, j) *= scale;
            this->covarianceAt(j, i) *= scale;
        }
    }
    const double decay = std::exp2(-seconds / toSeconds(this->options.weightHalfLife));
    for (double& weight : this->weights)
        weight *= decay;
}

void SlowdownEstimator::update(const std::vector<double>& regressors, const LatencySample& sample)
{
    const std::size_t size = this->coefficients.size();
    std::vector<double> projected(size, 0); // covariance times regressors
    double predicted = 0;
    for (std::size_t i = 0; i < size; ++i) {
        predicted += regressors[i] * this->coefficients[i];
        for (std::size_t j = 0; j < size; ++j)
            projected[i] += this->covarianceAt(i, j) * regressors[j];
    }
    double variance = this->options.noiseDeviation * this->options.noiseDeviation + this->options.tailNoise / static_cast<double>(sample.count);
    for (std::size_t i = 0; i < size; ++i)
        variance += regressors[i] * projected[i];
    const double limit = this->options.outlierDeviations * std::sqrt(variance);
    const double error = std::clamp(sample.logLatency - predicted, -limit, limit);
    for (std::size_t i = 0; i < size; ++i)
        this->coefficients[i] += projected[i] / variance * error;
    for (std::size_t i = 0; i < size; ++i) {
        for (std::size_t j = 0; j < size; ++j)
            this->covarianceAt(i, j) -= projected[i] * projected[j] / variance;
        // Rounding may push a small variance below zero.
        this->covarianceAt(i, i) = std::max(this->covarianceAt(i, i), 0.0);
    }
}

void SlowdownEstimator::limitCoefficients()
{
    for (std::size_t i = baselineCoefficients; i < this->coefficients.size(); ++i) {
        require(std::isfinite(this->coefficients[i]), "SlowdownEstimator: a coefficient is not finite");
        this->coefficients[i] = std::clamp(this->coefficients[i], -this->options.bound, this->options.bound);
    }
}

} // namespace dragonflytray
