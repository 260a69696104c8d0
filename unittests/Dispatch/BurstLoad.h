/// @file
/// Plays bursts of load on one owner's targets, of which a third are large and slow, and counts what callers get.
#pragma once

#include "LoadedZone.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Outcomes of the jobs of all kinds, by priority, over several seeds.
struct BurstResult
{
    std::map<std::uint32_t, LoadedZone::Tally> kinds;

    /// @returns the share of a kind's jobs that completed in time.
    [[nodiscard]] double inTimeShare(std::uint32_t priority) const
    {
        const LoadedZone::Tally &kind = kinds.at(priority);
        return static_cast<double>(kind.inTime) / kind.submitted;
    }
    /// @returns the share of a kind's jobs that completed, late ones included.
    [[nodiscard]] double servedShare(std::uint32_t priority) const
    {
        const LoadedZone::Tally &kind = kinds.at(priority);
        return static_cast<double>(kind.complete) / kind.submitted;
    }
    /// @returns the share of all jobs that completed in time.
    [[nodiscard]] double meanInTimeShare() const
    {
        double inTime = 0;
        double submitted = 0;
        for (const auto &it : kinds) {
            inTime += it.second.inTime;
            submitted += it.second.submitted;
        }
        return inTime / submitted;
    }
};

/// The normal load of the users' site of 48 targets on a third of them for 8 s, and @p factor times that in the 4 s
/// from the third second on.
inline BurstResult playBurst(double factor)
{
    const LoadShape shape { .fleet = { { 0.7, 0.7, 1.7 }, { 16000, 16000, 24000 } },
                            .minMilliCores = 5400,
                            .milliCoresRange = 2800 };
    constexpr std::uint64_t kSeeds = 8;
    constexpr std::size_t kTargets = 16;
    BurstResult result;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedZone zone(seed, kTargets, shape);
        for (const JobType &it : { kUrgentWide, kShort, kLong }) {
            zone.submitLoad(it, 1, std::chrono::seconds(8));
        }
        zone.run(std::chrono::seconds(3));
        for (const JobType &it : { kUrgentWide, kShort, kLong }) {
            zone.submitLoad(it, factor - 1, std::chrono::seconds(4));
        }
        zone.run(std::chrono::seconds(10));
        CPPUNIT_ASSERT(zone.fleet.violations().empty());
        for (const auto &it : zone.tallies) {
            LoadedZone::Tally &sum = result.kinds[it.first];
            sum.submitted += it.second.submitted;
            sum.inTime += it.second.inTime;
            sum.complete += it.second.complete;
            sum.refused += it.second.refused;
            sum.abandoned += it.second.abandoned;
            const auto &times = it.second.untilRefusal;
            sum.untilRefusal.insert(sum.untilRefusal.end(), times.begin(), times.end());
        }
    }
    return result;
}

/// No kind of job may get less of the mean share of jobs in time: the aim for every load.
constexpr double kLeastShareOfMean = 0.8;

/// Asserts that a kind's share of jobs in time is at least @p share of the mean.
inline void assertShareOfMean(const BurstResult &result, std::uint32_t priority, double share)
{
    const double kind = result.inTimeShare(priority);
    const double mean = result.meanInTimeShare();
    CPPUNIT_ASSERT_MESSAGE("priority " + std::to_string(priority) + ": " + std::to_string(kind) + ", mean "
                               + std::to_string(mean),
                           kind >= share * mean);
}

/// @returns the time after which the given share of the refused jobs of all kinds had been refused.
inline Duration refusalTime(const BurstResult &result, double share)
{
    std::vector<Duration> times;
    for (const auto &it : result.kinds) {
        times.insert(times.end(), it.second.untilRefusal.begin(), it.second.untilRefusal.end());
    }
    if (times.empty()) {
        return {};
    }
    std::sort(times.begin(), times.end());
    return times[std::min(times.size() - 1, static_cast<std::size_t>(share * static_cast<double>(times.size())))];
}

} // namespace Eelgrasscleat
