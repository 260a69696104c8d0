/// @file
/// Buckets by speed class with a bitmap of non-empty buckets.
#include "SpeedClassIndex.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Logarithmic width of a class: 5%.
constexpr double kClassWidth = 0.05;
/// Class of the reference target. The classes range from 24 times faster to 22 times slower.
constexpr double kReferenceClass = 64;

} // namespace

SpeedClass speedClassOf(double logSlowness)
{
    const double speedClass = std::round(logSlowness / kClassWidth + kReferenceClass);
    return static_cast<SpeedClass>(std::clamp(speedClass, 0.0, kLastResortClass - 1.0));
}

double slownessOf(SpeedClass speedClass)
{
    return std::exp((speedClass - kReferenceClass) * kClassWidth);
}

void SpeedClassIndex::insert(TargetIndex target, SpeedClass speedClass)
{
    if (target >= m_positions.size()) {
        m_positions.resize(target + 1);
    }
    std::vector<TargetIndex> &members = m_classes.at(speedClass);
    m_positions[target] = static_cast<std::uint32_t>(members.size());
    members.push_back(target);
    m_occupied[speedClass / kWordBits] |= std::uint64_t(1) << speedClass % kWordBits;
}

void SpeedClassIndex::erase(TargetIndex target, SpeedClass speedClass)
{
    std::vector<TargetIndex> &members = m_classes.at(speedClass);
    const std::uint32_t position = m_positions.at(target);
    assert(members.at(position) == target && "target is not in this class");
    members[position] = members.back();
    m_positions[members[position]] = position;
    members.pop_back();
    if (members.empty()) {
        m_occupied[speedClass / kWordBits] &= ~(std::uint64_t(1) << speedClass % kWordBits);
    }
}

std::optional<SpeedClass> SpeedClassIndex::fastest(SpeedClass from) const
{
    std::uint64_t mask = ~std::uint64_t(0) << from % kWordBits;
    for (std::uint32_t n = from / kWordBits; n < m_occupied.size(); ++n) {
        const std::uint64_t word = m_occupied[n] & mask;
        if (word != 0) {
            return n * kWordBits + static_cast<SpeedClass>(std::countr_zero(word));
        }
        mask = ~std::uint64_t(0);
    }
    return std::nullopt;
}

std::optional<SpeedClass> SpeedClassIndex::slowestBefore(SpeedClass end) const
{
    for (std::uint32_t n = (end + kWordBits - 1) / kWordBits; n > 0; --n) {
        const std::uint32_t first = (n - 1) * kWordBits;
        const std::uint32_t bits = std::min(end - first, kWordBits);
        const std::uint64_t mask = bits == kWordBits ? ~std::uint64_t(0) : (std::uint64_t(1) << bits) - 1;
        const std::uint64_t word = m_occupied.at(n - 1) & mask;
        if (word != 0) {
            return first + static_cast<SpeedClass>(std::bit_width(word)) - 1;
        }
    }
    return std::nullopt;
}

TargetIndex SpeedClassIndex::pick(SpeedClass speedClass, RandomSource &random) const
{
    const std::vector<TargetIndex> &members = m_classes.at(speedClass);
    assert(!members.empty() && "class is empty");
    return members[drawBelow(random, members.size())];
}

} // namespace Eelgrasscleat
