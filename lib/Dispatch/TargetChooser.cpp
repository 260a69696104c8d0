/// @file
/// Choice by expected end: the slowest target on which the task still meets its job's objective, so that fast ones stay
/// free for tasks that need them; the fastest one where none does.
#include "TargetChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Eelgrasscleat
{

namespace
{

/// Weight of room left unused against speed: half a percent of run time for each free core keeps large gaps for wide
/// tasks without giving up a speed class, which differ by 40% and more.
constexpr double kFitWeight = 0.005;
/// A task counts as in time on a target if it would be with this much longer a run: the spread of callers' estimates.
constexpr double kRunMargin = 1.35;
/// Time of orders and reports around a run: two round trips and their processing.
constexpr Duration kOrderOverhead = std::chrono::milliseconds(15);
/// Cost of a target on which the task would be late: above that of any on which it is in time.
constexpr double kLateCost = 1000;
/// How much longer a task is expected to take where it did not end well before: it is tried elsewhere first.
constexpr double kRetryPenalty = 3;
/// How much longer a task is expected to take away from its data: from the platform's description of racks.
constexpr double kForeignRackPenalty = 1.5;

} // namespace

bool TargetChooser::isUsable(const OwnedTarget &target, Instant now) const
{
    const TargetLedger &ledger = target.ledger;
    const bool known = ledger.inspected && ledger.reachable && !ledger.fenced && ledger.hasClock();
    if (!known || !target.accepting || ledger.target().draining || ledger.pausedUntil > now) {
        return false;
    }
    switch (m_health.state(target.healthIndex)) {
    case HealthState::Serving:
        return true;
    case HealthState::Probing:
        return false;
    case HealthState::Ejected:
        return m_health.nextProbeAt(target.healthIndex) <= now;
    }
    return false;
}

bool TargetChooser::suits(const DispatchTarget &target, const ServiceName &service, const JobStep &step)
{
    if (target.service != service || !step.demand.fitsIn(target.capacity)) {
        return false;
    }
    return step.requiredLabel.empty()
        || std::find(target.labels.begin(), target.labels.end(), step.requiredLabel) != target.labels.end();
}

bool TargetChooser::anyFits(const ServiceName &service, const JobStep &step) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &it) {
        return suits(it.second->ledger.target(), service, step);
    });
}

static std::uint32_t runsOfStep(const TargetLedger &ledger, const TaskName &task)
{
    return static_cast<std::uint32_t>(std::count_if(ledger.runs().begin(), ledger.runs().end(), [&](const auto &it) {
        return it.first.task.job == task.job && it.first.task.step == task.step;
    }));
}

/// @param run expected run time on the reference target
/// @param slowness of a target, relative to that one
static double speedCost(const BoardJob &job, Duration run, double slowness, Instant now)
{
    const auto time = std::chrono::duration_cast<Duration>(run * slowness * kRunMargin) + kOrderOverhead;
    return now + time <= job.objective ? 1 / slowness : kLateCost * slowness;
}

OwnedTarget *TargetChooser::choose(const BoardJob &job, const TaskName &task, Duration run, Instant now) const
{
    const JobStep &step = job.request.steps[task.step];
    const BoardTask &entry = job.steps[task.step][task.index];
    OwnedTarget *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &it : m_targets) {
        OwnedTarget &target = *it.second;
        const TargetLedger &ledger = target.ledger;
        if (!suits(ledger.target(), job.request.service, step) || !isUsable(target, now)) {
            continue;
        }
        const ResourceDemand room = ledger.room();
        if (!step.demand.fitsIn(room) || (step.perTargetLimit > 0 && runsOfStep(ledger, task) >= step.perTargetLimit)) {
            continue;
        }
        const double leftCores = (room.milliCores - step.demand.milliCores) / 1000.0;
        double cost = speedCost(job, run, std::exp(ledger.speed.logSlowness()), now) * (1 + kFitWeight * leftCores);
        if (ledger.target().name == entry.lastTarget) {
            cost *= kRetryPenalty;
        }
        if (!step.preferredRack.empty() && ledger.target().rack != step.preferredRack) {
            cost *= kForeignRackPenalty;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = &target;
        }
    }
    return best;
}

} // namespace Eelgrasscleat
