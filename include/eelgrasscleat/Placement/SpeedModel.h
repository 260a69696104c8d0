/// @file
/// Learned speeds of targets and learned sizes of tasks, both as logarithms of run times in microseconds.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <cstdint>

namespace Eelgrasscleat
{

/// Slowness of one target for its service: the logarithm of its run time relative to the reference target.
class SpeedEstimate
{
public:
    /// @param driftVariance variance that the slowness gains with each sample: the larger, the sooner a changed speed
    /// is followed
    explicit SpeedEstimate(double driftVariance = kSteadyDriftVariance)
        : m_driftVariance(driftVariance)
    {
    }

    /// @returns the estimate less one standard deviation, so that a little known target gets tried.
    [[nodiscard]] double optimisticLogSlowness() const;
    [[nodiscard]] double logSlowness() const
    {
        return m_mean;
    }
    /// Takes in one sample; one far outside the expected spread, such as a straggler's, counts as one at its edge.
    /// @param logRatio logarithm of the run time less the task's expected one on the reference target
    /// @param noiseVariance variance of the task's expected size
    void learn(double logRatio, double noiseVariance);

private:
    /// Drift of targets whose speed seldom changes: a hundredth of a percent of a squared deviation of 0.3 a sample.
    static constexpr double kSteadyDriftVariance = 1e-5;

    double m_driftVariance;
    double m_mean = 0;
    double m_variance = 0.25; ///< Standard deviation 0.5: most targets are within 1.65x of each other.
};

/// What the tasks of one customer take on the reference target, with the caller's hint and without.
class SizeModel
{
public:
    /// @returns the expected logarithm of the run time on the reference target.
    [[nodiscard]] double expectedLogRun(Duration hint) const;
    /// @returns the variance of what expectedLogRun() gives.
    [[nodiscard]] double noiseVariance(Duration hint) const;
    /// Takes in one run time, already divided by its target's slowness.
    void learn(Duration hint, double logRun);

private:
    /// Mean and spread of the run time, or of its ratio to the hint.
    struct Correction
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;

        void learn(double value);
    };

    [[nodiscard]] bool trustsHint(Duration hint) const;

    Correction m_toHint { 0, 0.1, 0 };
    Correction m_plain { 12.2, 0.75, 0 }; ///< exp(12.2) us = 0.2 s.
};

} // namespace Eelgrasscleat
