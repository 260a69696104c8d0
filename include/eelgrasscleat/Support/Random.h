/// @file
/// Randomness as an argument: decision parts draw only from a source that the caller passes in.
#pragma once

#include <cstdint>
#include <random>

namespace Eelgrasscleat
{

/// Source of random numbers; a fixed seed replays a run.
using RandomSource = std::mt19937_64;

/// @param random source to draw from
/// @param bound upper bound, above 0
/// @returns a number from 0 to @p bound - 1.
inline std::uint64_t drawBelow(RandomSource &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

} // namespace Eelgrasscleat
