/// @file
/// Index of targets by speed class, which finds the fastest without a scan of all targets.
#pragma once

#include <eelgrasscleat/Placement/HealthTracker.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// A class of targets whose speeds differ by at most a few percent; 0 is the fastest.
using SpeedClass = std::uint32_t;

constexpr SpeedClass kSpeedClasses = 128;
/// Class of targets that are used only if no other target has a free slot.
constexpr SpeedClass kLastResortClass = kSpeedClasses - 1;

/// @returns the class of a slowness, given as a logarithm relative to the reference target.
SpeedClass speedClassOf(double logSlowness);
/// @returns the slowness at the center of a class, relative to the reference target.
double slownessOf(SpeedClass speedClass);

/// A set of targets, each in one class. All operations run in constant time.
class SpeedClassIndex
{
public:
    void insert(TargetIndex target, SpeedClass speedClass);
    void erase(TargetIndex target, SpeedClass speedClass);
    /// @returns the fastest class at or after @p from that has a target.
    [[nodiscard]] std::optional<SpeedClass> fastest(SpeedClass from = 0) const;
    /// @returns the slowest class before @p end that has a target.
    [[nodiscard]] std::optional<SpeedClass> slowestBefore(SpeedClass end) const;
    /// @returns a random target of a non-empty class.
    [[nodiscard]] TargetIndex pick(SpeedClass speedClass, RandomSource &random) const;

private:
    static constexpr std::uint32_t kWordBits = 64;

    std::array<std::vector<TargetIndex>, kSpeedClasses> m_classes;
    std::array<std::uint64_t, kSpeedClasses / kWordBits> m_occupied {};
    std::vector<std::uint32_t> m_positions; ///< Position of each target within its class.
};

} // namespace Eelgrasscleat
