/// @file
/// Bucket n ends at Smallest * Growth^(n+1).
#include "RatioHistogram.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

static constexpr double Smallest = 0.1;
static constexpr double Growth = 1.01;

/// Upper bounds of the few buckets that a report shows.
static constexpr std::array<double, 9> ReportedBounds = { 1.05, 1.15, 1.3, 1.6, 2, 3, 5, 10, 100 };

std::size_t RatioHistogram::bucketOf(double ratio)
{
    if (ratio <= Smallest) {
        return 0;
    }
    const double position = std::log(ratio / Smallest) / std::log(Growth);
    return std::min(static_cast<std::size_t>(position), BucketCount - 1);
}

double RatioHistogram::upperBound(std::size_t bucket)
{
    return Smallest * std::pow(Growth, static_cast<double>(bucket + 1));
}

void RatioHistogram::add(double ratio)
{
    ++m_counts[bucketOf(ratio)];
    ++m_total;
    m_max = std::max(m_max, ratio);
}

double RatioHistogram::quantile(double fraction) const
{
    const double wanted = std::max(1.0, std::ceil(fraction * static_cast<double>(m_total)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        seen += m_counts[bucket];
        if (m_counts[bucket] > 0 && static_cast<double>(seen) >= wanted) {
            return std::min(upperBound(bucket), m_max);
        }
    }
    return m_max;
}

schema::RatioSummary RatioHistogram::summary() const
{
    schema::RatioSummary summary;
    summary.set_count(m_total);
    summary.set_p50(quantile(0.5));
    summary.set_p90(quantile(0.9));
    summary.set_p99(quantile(0.99));
    summary.set_p999(quantile(0.999));
    summary.set_max(m_max);
    std::size_t bucket = 0;
    for (const double bound : ReportedBounds) {
        std::uint64_t count = 0;
        for (; bucket < BucketCount && upperBound(bucket) <= bound; ++bucket) {
            count += m_counts[bucket];
        }
        auto *added = summary.add_buckets();
        added->set_up_to(bound);
        added->set_count(count);
    }
    std::uint64_t rest = 0;
    for (; bucket < BucketCount; ++bucket) {
        rest += m_counts[bucket];
    }
    summary.add_buckets()->set_count(rest);
    return summary;
}

} // namespace Eelgrasscleat
