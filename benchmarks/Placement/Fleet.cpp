/// @file
/// Speeds of fleets.
#include "Fleet.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Eelgrasscleat
{

std::vector<double> slownessOfFleet(Fleet fleet, std::uint32_t targets)
{
    constexpr std::array<double, 5> kEvenShares { 0.2, 0.2, 0.2, 0.2, 0.2 };
    constexpr std::array<double, 5> kGrowingShares { 16.0 / 31, 8.0 / 31, 4.0 / 31, 2.0 / 31, 1.0 / 31 };
    const auto &shares = fleet == Fleet::Even ? kEvenShares : kGrowingShares;
    std::vector<double> slowness;
    for (std::uint32_t n = 0; n < targets; ++n) {
        const double position = (n + 0.5) / targets;
        double sum = 0;
        std::size_t purchase = 0;
        while (purchase + 1 < shares.size() && position > sum + shares.at(purchase)) {
            sum += shares.at(purchase);
            ++purchase;
        }
        slowness.push_back(std::pow(2.0, purchase / 2.0));
    }
    return slowness;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = std::min(values.size() - 1, static_cast<std::size_t>(share * values.size()));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

} // namespace Eelgrasscleat
