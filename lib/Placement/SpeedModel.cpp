/// @file
/// Estimators in log space: a scalar Kalman filter for target slowness and moving averages for task sizes.
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Deviations of samples are clamped to this many standard deviations.
constexpr double kMaxDeviations = 3;
/// Variance that each sample adds to a target's slowness. Suits targets whose speed seldom changes: 0.01% of the
/// variance of a standard deviation of 0.3.
constexpr double kDriftVariance = 1e-5;
/// Minimum weight of a new sample in a customer's moving averages.
constexpr double kMinSizeGain = 1.0 / 32;
/// The same for the line through hints and run times, and for the variance between tasks.
constexpr double kMinLineGain = 1.0 / 128;
/// Number of samples that the initial line counts for.
constexpr double kPriorSamples = 16;
/// Minimum variance of a size, about the variation of run times caused by scheduling alone.
constexpr double kMinSizeVariance = 0.002;

} // namespace

static double clampOutlier(double deviation, double variance)
{
    const double limit = kMaxDeviations * std::sqrt(variance);
    return std::clamp(deviation, -limit, limit);
}

double SpeedEstimate::optimisticLogSlowness() const
{
    return m_mean - std::sqrt(m_variance);
}

void SpeedEstimate::addSample(double logRatio, double noiseVariance)
{
    const double spread = m_variance + noiseVariance;
    const double gain = m_variance / spread;
    m_mean += gain * clampOutlier(logRatio - m_mean, spread);
    m_variance = (1 - gain) * m_variance + kDriftVariance;
}

void SizeModel::LogEstimate::addSample(double value)
{
    const double gain = std::max(kMinSizeGain, 1.0 / (samples + 1.0));
    const double deviation = samples == 0 ? value - mean : clampOutlier(value - mean, variance);
    mean += gain * deviation;
    // The first deviation reflects the error of the initial mean, not the variance.
    if (samples > 0) {
        variance += std::min(gain, 0.25) * (deviation * deviation - variance);
    }
    variance = std::max(variance, kMinSizeVariance);
    ++samples;
}

double SizeModel::HintLine::slope() const
{
    return std::clamp(covariance / hintVariance, 0.0, 1.0);
}

double SizeModel::HintLine::expectedLogRun(double logHint) const
{
    return samples == 0 ? logHint : meanRun + slope() * (logHint - meanHint);
}

void SizeModel::HintLine::addSample(double logHint, double logRun)
{
    if (samples == 0) {
        meanHint = logHint;
        meanRun = logHint;
    }
    const double gain = std::max(kMinLineGain, 1.0 / (samples + kPriorSamples));
    const double residual = clampOutlier(logRun - expectedLogRun(logHint), residualVariance);
    const double hintDeviation = logHint - meanHint;
    const double runDeviation = expectedLogRun(logHint) + residual - meanRun;
    // The mean hint needs no prior. It moves along the line.
    const double hintStep = std::max(kMinLineGain, 1.0 / (samples + 1)) * hintDeviation;
    meanHint += hintStep;
    meanRun += slope() * hintStep + gain * residual;
    hintVariance = (1 - gain) * (hintVariance + gain * hintDeviation * hintDeviation);
    covariance = (1 - gain) * (covariance + gain * hintDeviation * runDeviation);
    hintVariance = std::max(hintVariance, kMinSizeVariance);
    residualVariance += gain * (residual * residual - residualVariance);
    residualVariance = std::max(residualVariance, kMinSizeVariance);
    ++samples;
}

double SizeModel::expectedLogRun(Duration hint) const
{
    if (hint.count() <= 0) {
        return m_runTime.mean;
    }
    return m_hintLine.expectedLogRun(std::log(static_cast<double>(hint.count())));
}

double SizeModel::noiseVariance(Duration hint) const
{
    return hint.count() > 0 ? m_hintLine.residualVariance : m_runTime.variance;
}

void SizeModel::addTaskVariance(double variance)
{
    const double limit = kMaxDeviations * kMaxDeviations * m_taskVariance;
    m_taskVariance += kMinLineGain * (std::min(variance, limit) - m_taskVariance);
    m_taskVariance = std::max(m_taskVariance, kMinSizeVariance);
}

WeightedMean SizeModel::hintBias() const
{
    return { m_hintLine.meanRun - m_hintLine.meanHint, std::min<double>(m_hintLine.samples, 1 / kMinLineGain) };
}

void SizeModel::changeReference(double logSlowness)
{
    m_hintLine.meanRun += logSlowness;
    m_runTime.mean += logSlowness;
}

void SizeModel::addSample(Duration hint, double logRun)
{
    m_runTime.addSample(logRun);
    if (hint.count() > 0) {
        m_hintLine.addSample(std::log(static_cast<double>(hint.count())), logRun);
    }
}

} // namespace Eelgrasscleat
