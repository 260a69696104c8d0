/// @file
/// The users' mix of jobs on simulated availability zones, with and without faults of the network.
#pragma once

#include "LoadedZone.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Eelgrasscleat
{

/// Plays all types of jobs at @p factor times the users' load, and the five seconds after it.
inline void runMixedLoad(LoadedZone &zone, double factor, int seconds)
{
    for (const JobType &it : { kUrgentWide, kShort, kLong }) {
        zone.submitLoad(it, factor, std::chrono::seconds(seconds));
    }
    zone.run(std::chrono::seconds(seconds + 5));
}

/// Simulates the users' normal load in several zones with network faults. @returns the total counts by priority.
inline std::map<std::uint32_t, LoadedZone::Tally> runWithFaults(const NetworkFaults &faults)
{
    std::map<std::uint32_t, LoadedZone::Tally> sums;
    for (std::uint64_t seed = 100; seed < 106; ++seed) {
        LoadedZone zone(seed);
        zone.fleet.faults = faults;
        runMixedLoad(zone, 0.6, 20);
        CPPUNIT_ASSERT(zone.fleet.violations().empty());
        for (const auto &it : zone.tallies) {
            LoadedZone::Tally &sum = sums[it.first];
            sum.submitted += it.second.submitted;
            sum.inTime += it.second.inTime;
            sum.complete += it.second.complete;
        }
    }
    return sums;
}

} // namespace Eelgrasscleat
