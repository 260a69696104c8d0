/// @file
/// Online estimators of target speeds and task sizes, both as logarithms of run times in microseconds.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <cstdint>

namespace Eelgrasscleat
{

/// Estimates the slowness of a target: the logarithm of its run time relative to a reference target of its service.
class SpeedEstimate
{
public:
    /// @param driftVariance process noise added with each sample; larger values track speed changes faster
    explicit SpeedEstimate(double driftVariance = kDefaultDriftVariance)
        : m_driftVariance(driftVariance)
    {
    }

    /// @returns the mean minus one standard deviation, so that targets with few samples are explored.
    [[nodiscard]] double optimisticLogSlowness() const;
    [[nodiscard]] double logSlowness() const
    {
        return m_mean;
    }
    /// Updates the estimate with a sample. Outliers, such as stragglers, are clamped to the expected range.
    /// @param logRatio logarithm of the run time minus that of the expected run time on the reference target
    /// @param noiseVariance variance of the expected run time
    void addSample(double logRatio, double noiseVariance);

private:
    /// Suits targets whose speed seldom changes: per sample 0.01% of the variance of a standard deviation of 0.3.
    static constexpr double kDefaultDriftVariance = 1e-5;

    double m_driftVariance;
    double m_mean = 0;
    double m_variance = 0.25; ///< Standard deviation 0.5: most targets are within a factor of 1.65 of each other.
};

/// Estimates the run time of a customer's tasks on the reference target, with and without the caller's hint.
class SizeModel
{
public:
    /// @returns the expected logarithm of the run time on the reference target.
    /// @param hint run time given by the caller; 0 if unknown
    [[nodiscard]] double expectedLogRun(Duration hint) const;
    /// @returns the variance of expectedLogRun().
    [[nodiscard]] double noiseVariance(Duration hint) const;
    /// Updates the estimates with a run time.
    /// @param logRun logarithm of the run time divided by the target's slowness
    void addSample(Duration hint, double logRun);

private:
    /// Moving mean and variance of the logarithm of the run time, or of its ratio to the hint.
    struct LogEstimate
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;

        void addSample(double value);
    };

    [[nodiscard]] bool isHintReliable(Duration hint) const;

    LogEstimate m_hintRatio { 0, 0.1, 0 };
    LogEstimate m_runTime { 12.2, 0.75, 0 }; ///< exp(12.2) us = 0.2 s.
};

} // namespace Eelgrasscleat
