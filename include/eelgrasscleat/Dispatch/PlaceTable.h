/// @file
/// How many more tasks an owner's targets can run at the same time, by the size of the tasks. A sum of free cores
/// doesn't tell: two halves of a task's demand on two targets are no place for it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Eelgrasscleat
{

/// Places on a set of targets. Bounded in size, so that it can be part of each status.
class PlaceTable
{
public:
    /// Number of task sizes that are counted, evenly spaced up to the capacity of the largest target.
    static constexpr std::size_t kSizes = 16;
    using Counts = std::array<std::uint32_t, kSizes>;

    PlaceTable() = default;
    /// @param largestMilliCores capacity of the largest target
    explicit PlaceTable(std::uint32_t largestMilliCores)
        : m_largestMilliCores(largestMilliCores)
    {
    }
    PlaceTable(std::uint32_t largestMilliCores, const Counts &counts)
        : m_largestMilliCores(largestMilliCores)
        , m_counts(counts)
    {
    }

    /// Adds the free capacity of a target.
    void add(std::uint32_t freeMilliCores);
    /// @returns the estimated number of tasks of @p milliCores each that can be started now, interpolated between the
    /// counted sizes; 0 for tasks that are larger than any target.
    [[nodiscard]] double places(double milliCores) const;
    [[nodiscard]] std::uint32_t largestMilliCores() const
    {
        return m_largestMilliCores;
    }
    /// @returns the number of places for tasks of i + 1 sixteenths of the largest target, by i.
    [[nodiscard]] const Counts &counts() const
    {
        return m_counts;
    }
    bool operator==(const PlaceTable &) const = default;

private:
    [[nodiscard]] double size(std::size_t index) const;

    std::uint32_t m_largestMilliCores = 0;
    Counts m_counts {};
};

} // namespace Eelgrasscleat
