/// @file
/// Learns how fast targets are from runs whose sizes are uncertain. Serves a load near capacity on targets of different
/// speeds, where a task that is taken for faster than it is on a slow target makes its job late. Contains no clock,
/// thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace Eelgrasscleat
{

/// Slowness that the targets of one kind have in common.
struct KindSpeed
{
    double logSlowness = 0; ///< Relative to the reference target.
    double variance = 0.25; ///< Standard deviation 0.5: most kinds are within a factor of 1.65 of each other.
    bool hasRuns = false; ///< Learned from runs.
};

/// Slowness of a target: that of its kind and its own deviation, which also covers a target that has become sick.
class TargetSpeed
{
public:
    explicit TargetSpeed(std::shared_ptr<KindSpeed> kind);

    /// @returns the logarithm of the run time relative to the reference target.
    [[nodiscard]] double logSlowness() const;
    /// @returns the run time relative to the reference target.
    [[nodiscard]] double slowness() const;
    /// Sets the kind, which changes with the target's description.
    void setKind(std::shared_ptr<KindSpeed> kind);

private:
    friend class SpeedTable;

    [[nodiscard]] double variance() const;
    [[nodiscard]] bool hasChanged(double deviations);
    void addRun(double innovation, double noiseVariance);

    std::shared_ptr<KindSpeed> m_kind;
    double m_deviation = 0;
    double m_variance;
    double m_slowerSum = 0; ///< Cumulative sums of the normalized deviations, for the detection of changes.
    double m_fasterSum = 0;
};

/// Run time of a task of a step that has ended.
struct MeasuredRun
{
    TargetSpeed *speed; ///< Of its target.
    double logRatio; ///< Logarithm of the run time minus that of the expected one on the reference target.
};

/// What the run times of a step tell of its size; all values are logarithms.
struct StepSize
{
    double error = 0; ///< Mean of the ratios of actual to expected run times on the reference target.
    double taskVariance = 0; ///< Variance between the tasks; 0 if there is only one.
};

/// The kinds of an owner's targets: those of one service with the same labels but for the rack and the same capacity.
class SpeedTable
{
public:
    /// @returns the kind of a target.
    [[nodiscard]] std::shared_ptr<KindSpeed> kindOf(const DispatchTarget &target);
    /// Updates the speeds by all tasks of a step. Tasks of a step err alike: each is compared with the others. It takes
    /// the whole step, since the tasks that end first are shorter than the others.
    /// @param sizeVariance variance of the errors of steps
    /// @param taskVariance variance between the tasks of a step
    static StepSize learn(const std::vector<MeasuredRun> &runs, double sizeVariance, double taskVariance);
    /// Attributes to the kinds what their targets have in common, so that a new target starts with it.
    /// @param speeds of all targets
    static void moveCommonDeviation(const std::vector<TargetSpeed *> &speeds);
    /// @param speeds of all targets
    /// @returns mean logarithm of the slowness of the targets, each counted as its kind; 0 without any
    [[nodiscard]] static double meanLogSlowness(const std::vector<TargetSpeed *> &speeds);
    /// Expresses all speeds relative to another reference target.
    /// @param logSlowness logarithm of its slowness, relative to the present one
    void changeReference(double logSlowness);

private:
    using Kind = std::tuple<ServiceName, std::vector<std::string>, std::uint32_t, std::uint32_t, std::uint32_t>;

    std::map<Kind, std::shared_ptr<KindSpeed>> m_kinds;
};

} // namespace Eelgrasscleat
