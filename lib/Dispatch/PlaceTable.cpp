/// @file
/// Counts of places by task size.
#include <eelgrasscleat/Dispatch/PlaceTable.h>

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

double PlaceTable::size(std::size_t index) const
{
    return static_cast<double>(m_largestMilliCores) * static_cast<double>(index + 1) / static_cast<double>(kSizes);
}

void PlaceTable::add(std::uint32_t freeMilliCores)
{
    for (std::size_t i = 0; i < kSizes && size(i) > 0; ++i) {
        m_counts[i] += static_cast<std::uint32_t>(freeMilliCores / size(i));
    }
}

double PlaceTable::places(double milliCores) const
{
    if (m_largestMilliCores == 0 || milliCores > m_largestMilliCores) {
        return 0;
    }
    if (milliCores <= size(0)) {
        return m_counts[0] * size(0) / std::max(milliCores, 1.0);
    }
    const auto above = static_cast<std::size_t>(std::ceil(milliCores / size(0))) - 1;
    const std::size_t upper = std::min(above, kSizes - 1);
    const double share = (milliCores - size(upper - 1)) / size(0);
    return m_counts[upper - 1] + share * (static_cast<double>(m_counts[upper]) - m_counts[upper - 1]);
}

} // namespace Eelgrasscleat
