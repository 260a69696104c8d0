/// @file
/// A zone of fake targets and the entry instances that place on them, driven by a queue of events.
#pragma once

#include "Fleet.h"

#include <eelgrasscleat/Placement/Placer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// What goes wrong in a trace.
enum class Fault
{
    None,
    FailAll, ///< One target fails every task at once.
    FailHalf, ///< One target fails every second task at once.
    LoseRack, ///< All targets of one rack fall silent.
    LeaveThird, ///< A third of the targets leaves together.
};

/// One kind of load and faults.
struct Trace
{
    std::string name;
    std::vector<std::uint32_t> zones; ///< Targets of each zone.
    std::uint32_t seeds = 3; ///< How many of the common seeds are run.
    Fleet fleet = Fleet::Growing;
    double load = 0.7; ///< Share of the zone's capacity, slots times speed.
    Duration length = std::chrono::seconds(25); ///< Until the last arrival.
    std::uint32_t largestJob = 8; ///< Tasks; sizes are uniform from 1.
    std::uint32_t burst = 0; ///< Tasks of a job that comes in addition every 5 s.
    double stragglers = 0; ///< Share of tasks that take 20x.
    double hintSpread = 1.3; ///< Hints are off by up to this factor either way.
    double patient = 0; ///< Share of jobs that are not urgent.
    Fault fault = Fault::None;
};

/// What a policy made of a trace.
struct Figures
{
    std::vector<double> responses; ///< Of tasks that were done, as multiples of the ideal.
    std::vector<double> patientResponses; ///< The same for tasks that are not urgent.
    std::vector<double> jobs; ///< Of jobs of which all tasks were done, as multiples of the ideal.
    std::uint64_t tasks = 0;
    std::uint64_t wastedMessages = 0; ///< A refused start and its refusal are two.
    std::uint64_t badStarts = 0; ///< Starts sent to a target that fails, is silent or is leaving.
    std::uint64_t unfinished = 0; ///< Tasks still queued when the run was ended.
};

/// Makes the placer of one instance.
/// @param slowness of each target in the order of setTarget()
/// @param instance rank of the instance
using PlacerFactory =
    std::function<std::unique_ptr<Placer>(const std::vector<double> &slowness, std::uint32_t instance)>;

/// Slots of each target, and entry instances of each zone.
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kInstances = 3;
/// Between an entry instance and a target, there and back.
constexpr Duration kRoundTrip = std::chrono::milliseconds(1);

/// Runs one zone and adds what it made to @p figures.
void runZone(
    const Trace &trace, std::uint32_t targets, std::uint64_t seed, const PlacerFactory &makePlacer, Figures &figures);

} // namespace Eelgrasscleat
