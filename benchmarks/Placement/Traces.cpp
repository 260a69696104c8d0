/// @file
/// Definitions of the traces and policies.
#include "Traces.h"

#include "Baselines.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace Eelgrasscleat
{

namespace
{

constexpr std::array<std::uint64_t, 3> kSeeds { 11, 12, 13 };

} // namespace

Trace todayTrace(Fleet fleet)
{
    Trace trace;
    trace.name = fleet == Fleet::Even ? "today, even fleet" : "today, growing fleet";
    trace.zones = { 50 };
    trace.fleet = fleet;
    return trace;
}

Trace smallZonesTrace()
{
    Trace trace = todayTrace(Fleet::Growing);
    trace.name = "zones of 17, jobs to 15";
    trace.zones = { 17, 17, 16 };
    trace.largestJob = 15;
    return trace;
}

static Trace faultTrace(const std::string &name, Fault fault, double load)
{
    Trace trace = todayTrace(Fleet::Growing);
    trace.name = name;
    trace.fault = fault;
    trace.load = load;
    return trace;
}

std::vector<Trace> otherTraces()
{
    // With a third of the targets gone, 70% of the former capacity would be more than all that is left.
    constexpr double kLoadWithTargetsLost = 0.5;
    const Trace today = todayTrace(Fleet::Growing);
    std::vector<Trace> traces;

    Trace bursts = today;
    bursts.name = "bursts of 60 tasks at 50%";
    bursts.load = 0.5;
    bursts.burst = 60;
    bursts.seeds = 2;
    traces.push_back(bursts);

    Trace stragglers = today;
    stragglers.name = "stragglers, 1% at 20x";
    stragglers.load = 0.6;
    stragglers.stragglers = 0.01;
    stragglers.seeds = 2;
    traces.push_back(stragglers);

    Trace hints = today;
    hints.name = "hints wrong by 0.1x to 10x";
    hints.hintSpread = 10;
    traces.push_back(hints);

    Trace mixed = today;
    mixed.name = "half of the jobs patient";
    mixed.patient = 0.5;
    mixed.seeds = 2;
    traces.push_back(mixed);

    traces.push_back(smallZonesTrace());

    Trace large = today;
    large.name = "zone of 600, jobs to 550";
    large.zones = { 600 };
    large.largestJob = 550;
    large.length = std::chrono::seconds(6);
    large.seeds = 1;
    traces.push_back(large);

    traces.push_back(faultTrace("a target fails all", Fault::FailAll, today.load));
    traces.push_back(faultTrace("a target fails half", Fault::FailHalf, today.load));
    traces.push_back(faultTrace("a rack lost, at 50%", Fault::LoseRack, kLoadWithTargetsLost));
    traces.push_back(faultTrace("a third leaves, at 50%", Fault::LeaveThird, kLoadWithTargetsLost));
    return traces;
}

std::vector<Policy> baselinePolicies()
{
    const auto wrap = [](std::unique_ptr<Placer> (*make)()) {
        return [make](const std::vector<double> & /*slowness*/, std::uint32_t /*instance*/) { return make(); };
    };
    return {
        { "random", wrap(makeRandomPlacer) },
        { "round robin", wrap(makeRoundRobinPlacer) },
        { "least outstanding", wrap(makeLeastOutstandingPlacer) },
        { "power of two", wrap(makePowerOfTwoPlacer) },
    };
}

Policy adaptivePolicy(double messageWeight)
{
    return { "adaptive", [messageWeight](const std::vector<double> & /*slowness*/, std::uint32_t /*instance*/) {
                return makeAdaptivePlacer(AdaptivePlacerSettings { messageWeight });
            } };
}

Policy omniscientPolicy()
{
    const auto knowledge = std::make_shared<std::shared_ptr<ZoneKnowledge>>();
    return { "omniscient", [knowledge](const std::vector<double> &slowness, std::uint32_t instance) {
                // The first instance of a run starts a new zone.
                if (instance == 0) {
                    const std::vector<std::uint32_t> running(slowness.size());
                    *knowledge = std::make_shared<ZoneKnowledge>(ZoneKnowledge { slowness, running });
                }
                return makeOmniscientPlacer(*knowledge);
            } };
}

Figures runTrace(const Trace &trace, const Policy &policy)
{
    Figures figures;
    for (std::uint32_t n = 0; n < trace.seeds; ++n) {
        for (std::size_t zone = 0; zone < trace.zones.size(); ++zone) {
            runZone(trace, trace.zones[zone], 100 * kSeeds.at(n) + zone, policy.makePlacer, figures);
        }
    }
    return figures;
}

double lowerBound(const Trace &trace, double share)
{
    const std::vector<double> slowness = slownessOfFleet(trace.fleet, trace.zones.front());
    const double capacity = std::accumulate(
        slowness.begin(), slowness.end(), 0.0, [](double sum, double value) { return sum + 1 / value; });
    const double wanted = share * trace.load * capacity;
    double filled = 0;
    for (const double value : slowness) {
        filled += 1 / value;
        if (filled >= wanted) {
            return value;
        }
    }
    return slowness.back();
}

} // namespace Eelgrasscleat
