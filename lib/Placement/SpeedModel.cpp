/// @file
/// Estimators in log space: a scalar Kalman filter for a target's slowness, a moving average for a customer's sizes.
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Samples beyond this many standard deviations are cut to it.
constexpr double kOutlierDeviations = 3;
/// Smallest weight of a new sample in a customer's moving averages.
constexpr double kSizeGain = 1.0 / 32;
/// Smallest variance of a size, about the spread of a run time by scheduling alone.
constexpr double kSizeVarianceFloor = 0.002;

} // namespace

static double cutOutlier(double deviation, double variance)
{
    const double limit = kOutlierDeviations * std::sqrt(variance);
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
    m_mean += gain * cutOutlier(logRatio - m_mean, spread);
    m_variance = (1 - gain) * m_variance + m_driftVariance;
}

void SizeModel::LogEstimate::addSample(double value)
{
    const double gain = std::max(kSizeGain, 1.0 / (samples + 1.0));
    const double deviation = samples == 0 ? value - mean : cutOutlier(value - mean, variance);
    mean += gain * deviation;
    // The first deviation tells the offset from the starting guess, not the spread.
    if (samples > 0) {
        variance += std::min(gain, 0.25) * (deviation * deviation - variance);
    }
    variance = std::max(variance, kSizeVarianceFloor);
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
