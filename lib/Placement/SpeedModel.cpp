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
/// Minimum weight of a new sample in a customer's moving averages.
constexpr double kMinSizeGain = 1.0 / 32;
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
    m_variance = (1 - gain) * m_variance + m_driftVariance;
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

bool SizeModel::isHintReliable(Duration hint) const
{
    return hint.count() > 0 && m_hintRatio.variance <= m_runTime.variance;
}

double SizeModel::expectedLogRun(Duration hint) const
{
    if (!isHintReliable(hint)) {
        return m_runTime.mean;
    }
    return m_hintRatio.mean + std::log(static_cast<double>(hint.count()));
}

double SizeModel::noiseVariance(Duration hint) const
{
    return isHintReliable(hint) ? m_hintRatio.variance : m_runTime.variance;
}

void SizeModel::addSample(Duration hint, double logRun)
{
    m_runTime.addSample(logRun);
    if (hint.count() > 0) {
        m_hintRatio.addSample(logRun - std::log(static_cast<double>(hint.count())));
    }
}

} // namespace Eelgrasscleat
