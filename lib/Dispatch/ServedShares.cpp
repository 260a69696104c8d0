/// @file
/// Decaying totals and the comparison of a priority's share with the mean.
#include "ServedShares.h"

#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Averaging time of the shares: the length of a burst.
constexpr Duration kAveragingTime = std::chrono::seconds(4);
/// Least share of the mean share that each priority is to get.
constexpr double kLeastShareOfMean = 0.8;

} // namespace

ServedShares::Totals ServedShares::decayed(const Totals &totals, Instant now)
{
    const auto age = static_cast<double>((now - totals.at).count()) / static_cast<double>(kAveragingTime.count());
    const double factor = std::exp(-age);
    return { totals.decided * factor, totals.inTime * factor, now };
}

void ServedShares::decided(std::uint32_t priority, double work, bool inTime, Instant now)
{
    Totals &totals = m_totals[priority];
    totals = decayed(totals, now);
    totals.decided += work;
    totals.inTime += inTime ? work : 0;
}

bool ServedShares::isBehind(std::uint32_t priority, Instant now) const
{
    const auto found = m_totals.find(priority);
    if (found == m_totals.end()) {
        return false;
    }
    double decided = 0;
    double inTime = 0;
    for (const auto &it : m_totals) {
        const Totals totals = decayed(it.second, now);
        decided += totals.decided;
        inTime += totals.inTime;
    }
    const Totals own = decayed(found->second, now);
    return own.inTime * decided < kLeastShareOfMean * inTime * own.decided;
}

} // namespace Eelgrasscleat
