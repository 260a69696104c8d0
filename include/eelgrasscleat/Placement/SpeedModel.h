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
    double m_mean = 0;
    double m_variance = 0.25; ///< Standard deviation 0.5: most targets are within a factor of 1.65 of each other.
};

/// A mean and how much it counts.
struct WeightedMean
{
    double mean = 0;
    double weight = 0;
};

/// Estimates the run time of a customer's tasks on the reference target, with and without the caller's hint. Hints that
/// are far off are pulled towards the mean: a task with a long one is seldom as long as it says.
class SizeModel
{
public:
    /// @returns the expected logarithm of the run time on the reference target.
    /// @param hint run time given by the caller; 0 if unknown
    [[nodiscard]] double expectedLogRun(Duration hint) const;
    /// @returns the variance of the logarithm of run times about expectedLogRun().
    [[nodiscard]] double noiseVariance(Duration hint) const;
    /// Updates the estimates with a run time.
    /// @param logRun logarithm of the run time divided by the target's slowness
    void addSample(Duration hint, double logRun);
    /// @returns the variance between the tasks of one step of a job, which have the same hint.
    [[nodiscard]] double taskVariance() const
    {
        return m_taskVariance;
    }
    /// Updates taskVariance().
    void addTaskVariance(double variance);
    /// @returns the mean logarithm of the ratio of run times to hints, weighted by its number of samples, as far as it
    /// is known.
    [[nodiscard]] WeightedMean hintBias() const;
    /// Expresses the estimates as run times on another reference target.
    /// @param logSlowness logarithm of the new reference target's slowness, relative to the present one
    void changeReference(double logSlowness);

private:
    /// Moving mean and variance of the logarithm of the run time.
    struct LogEstimate
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;

        void addSample(double value);
    };

    /// Moving regression of the logarithm of run times on that of their hints.
    struct HintLine
    {
        double meanHint = 0;
        double meanRun = 0;
        double hintVariance = 0.16;
        double covariance = 0.16; ///< Slope 1: hints are trusted until run times tell otherwise.
        double residualVariance = 0.1;
        std::uint32_t samples = 0;

        [[nodiscard]] double slope() const;
        [[nodiscard]] double expectedLogRun(double logHint) const;
        void addSample(double logHint, double logRun);
    };

    HintLine m_hintLine;
    LogEstimate m_runTime { 12.2, 0.75, 0 }; ///< exp(12.2) us = 0.2 s.
    double m_taskVariance = 0.02;
};

} // namespace Eelgrasscleat
