/// @file
/// Histogram of ratios with buckets on a logarithmic scale: bounded memory whatever the number of values.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <load.pb.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Eelgrasscleat
{

/// Histogram of ratios from 0.1 to 10,000; quantiles are exact to one bucket, which is 1% wide.
class RatioHistogram
{
public:
    void add(double ratio);
    /// @param fraction from 0 to 1
    /// @returns the upper bound of the bucket that holds the quantile, at most the largest value; 0 if empty.
    [[nodiscard]] double quantile(double fraction) const;
    [[nodiscard]] schema::RatioSummary summary() const;

private:
    static constexpr std::size_t BucketCount = 1160;

    static std::size_t bucketOf(double ratio);
    static double upperBound(std::size_t bucket);

    std::array<std::uint64_t, BucketCount> m_counts {};
    std::uint64_t m_total = 0;
    double m_max = 0;
};

} // namespace Eelgrasscleat
