/// @file
/// Keeps 70% of an instance's slots busy and times choose, started and ended together.
#include "DecisionCost.h"

#include "Zone.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <vector>

namespace Eelgrasscleat
{

namespace
{

constexpr std::uint32_t kSmall = 50;
constexpr std::uint32_t kLarge = 600;
constexpr std::uint32_t kDecisions = 20000; ///< In one turn.
constexpr std::uint32_t kTurns = 21;

struct Running
{
    Placement placement;
    PlacementRequest request;
};

double processorMicroseconds()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

/// One instance at a steady load.
class SteadyLoad
{
public:
    explicit SteadyLoad(std::uint32_t targets)
        : m_placer(makeAdaptivePlacer(AdaptivePlacerSettings()))
        , m_slowness(slownessOfFleet(Fleet::Even, targets))
    {
        m_placer->setSlotShare(SlotShare { kInstances, 0 });
        for (std::uint32_t n = 0; n < targets; ++n) {
            const TargetInfo info { TargetName(std::to_string(n)),
                                    ServiceName("engrave-desk"),
                                    ZoneName("Regina"),
                                    "",
                                    kSlots,
                                    60,
                                    Requirements() };
            m_placer->setTarget(info, m_now);
        }
        const std::uint32_t busy = targets * kSlots * 7 / 10 / kInstances;
        for (std::uint32_t n = 0; n < busy; ++n) {
            start();
        }
    }

    /// @returns the microseconds of one decision.
    double turn()
    {
        const double before = processorMicroseconds();
        for (std::uint32_t n = 0; n < kDecisions; ++n) {
            finishOldest();
            start();
        }
        return (processorMicroseconds() - before) / kDecisions;
    }

private:
    void start()
    {
        PlacementRequest request;
        request.service = ServiceName("engrave-desk");
        request.customer = CustomerName("club");
        request.expectedRun = std::chrono::milliseconds(200);
        request.queued = 1000;
        const auto placement = m_placer->choose(request, m_now, m_random);
        if (!placement) {
            return;
        }
        m_placer->attemptStarted(*placement, m_now);
        m_running.push_back(Running { *placement, request });
    }

    void finishOldest()
    {
        if (m_running.empty()) {
            return;
        }
        const Running oldest = m_running.front();
        m_running.pop_front();
        m_now += std::chrono::microseconds(100);
        const double factor = m_slowness[std::stoul(oldest.placement.target.value)];
        const auto run = Duration(static_cast<Duration::rep>(200000 * factor));
        m_placer->attemptEnded(oldest.placement, oldest.request, PlacementOutcome::Done, run, m_now);
    }

    std::unique_ptr<Placer> m_placer;
    std::vector<double> m_slowness;
    RandomSource m_random { 7 };
    std::deque<Running> m_running;
    Instant m_now {};
};

} // namespace

DecisionCost measureDecisionCost()
{
    SteadyLoad small(kSmall);
    SteadyLoad large(kLarge);
    std::vector<double> smallTurns;
    std::vector<double> largeTurns;
    std::vector<double> ratios;
    for (std::uint32_t n = 0; n < kTurns; ++n) {
        smallTurns.push_back(small.turn());
        largeTurns.push_back(large.turn());
        ratios.push_back(largeTurns.back() / smallTurns.back());
    }
    return DecisionCost { quantile(smallTurns, 0.5), quantile(largeTurns, 0.5), quantile(ratios, 0.5) };
}

} // namespace Eelgrasscleat
