/// @file
/// The loads and faults that all policies are measured with, and the policies themselves.
#pragma once

#include "Zone.h"

#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// A policy with its name in the table.
struct Policy
{
    std::string name;
    PlacerFactory makePlacer;
};

/// Targets and slots as today and at 70% of their capacity; each deployment has its own fleet.
Trace todayTrace(Fleet fleet);
/// The same targets as three zones of 17, with larger jobs: bursts often fill a zone.
Trace smallZonesTrace();
/// @returns the other traces: bursts, stragglers, faults, wrong hints, mixed urgency, a zone of 600 targets.
std::vector<Trace> otherTraces();

/// @returns random, round robin, least outstanding and power of two.
std::vector<Policy> baselinePolicies();
/// @returns the product's own policy.
Policy adaptivePolicy(double messageWeight);
/// @returns the policy that knows all speeds and slots.
Policy omniscientPolicy();

/// Runs all zones of a trace with each seed; every policy gets the same seeds.
Figures runTrace(const Trace &trace, const Policy &policy);

/// @returns a response that no policy can beat at the trace's load: the @p share quantile when work fills the fastest
/// targets first and never waits.
double lowerBound(const Trace &trace, double share);

} // namespace Eelgrasscleat
