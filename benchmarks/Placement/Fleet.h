/// @file
/// Speeds of the targets of a fleet that was bought over years, and quantiles of what was measured on it.
#pragma once

#include <cstdint>
#include <vector>

namespace Eelgrasscleat
{

/// Ages of a fleet: five purchases, each 1.41x as fast as the one before, so 4x from the first to the last.
enum class Fleet
{
    Even, ///< Each purchase as large as the one before.
    Growing, ///< Each purchase twice as large as the one before.
};

/// @returns the slowness of each target, relative to the fastest.
std::vector<double> slownessOfFleet(Fleet fleet, std::uint32_t targets);

/// @returns the @p share quantile; 0 if there are no values.
double quantile(std::vector<double> values, double share);

} // namespace Eelgrasscleat
