/// @file
/// Selects the slowest target on which the task still meets its job's latency objective, which keeps fast targets free
/// for the tasks that need them, or the fastest target if the objective can't be met.
#include "TargetSelector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Eelgrasscleat
{

namespace
{

/// Relative cost of each core left unused. Half a percent of run time per core keeps large gaps for wide tasks, but
/// never outweighs the difference between speed classes, which is 40% or more.
constexpr double kUnusedCoreWeight = 0.005;
/// A task meets its objective on a target only if it still does with its expected run time multiplied by this. Covers
/// the spread of callers' estimates.
constexpr double kRunTimeFactor = 1.35;
/// Time that commands and reports add to a run: two round trips and their processing.
constexpr Duration kCommandOverhead = std::chrono::milliseconds(15);
/// Cost of a target on which the task would miss its objective: above that of any target on which it meets it.
constexpr double kMissedObjectiveCost = 1000;
/// Cost factor of the target of the task's last unsuccessful run, so that the retry prefers other targets.
constexpr double kRetryPenalty = 3;
/// Cost factor of a rack without the step's data: the slowdown given in the platform's description of racks.
constexpr double kOtherRackPenalty = 1.5;
/// Cost factor of a target with other runs for a task that may crash it: an idle target of any speed is preferred.
constexpr double kSharedTargetPenalty = 10;

} // namespace

bool TargetSelector::isUsable(const OwnedTarget &target, Instant now) const
{
    const TargetTracker &tracker = target.tracker;
    const bool known =
        tracker.inspected && tracker.reachable && !tracker.fenced && tracker.hasClock() && tracker.isDescribed();
    if (!known || !target.accepting || tracker.target().draining || tracker.pausedUntil > now) {
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

bool TargetSelector::isSuitable(const DispatchTarget &target, const ServiceName &service, const JobStep &step)
{
    if (target.service != service || !step.demand.fitsIn(target.capacity)) {
        return false;
    }
    return step.requiredLabel.empty()
        || std::find(target.labels.begin(), target.labels.end(), step.requiredLabel) != target.labels.end();
}

bool TargetSelector::hasSuitableTarget(const ServiceName &service, const JobStep &step) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &it) {
        return isSuitable(it.second->tracker.target(), service, step);
    });
}

static std::uint32_t runsOfStep(const TargetTracker &tracker, const TaskName &task)
{
    return static_cast<std::uint32_t>(std::count_if(tracker.runs().begin(), tracker.runs().end(), [&](const auto &it) {
        return it.first.task.job == task.job && it.first.task.step == task.step;
    }));
}

/// @param run expected run time on the reference target
/// @param slowness run time on the target, relative to the reference target
/// @returns the cost of running the task on the target; lower is better
static double speedCost(const ActiveJob &job, Duration run, double slowness, Instant now)
{
    const auto time = std::chrono::duration_cast<Duration>(run * slowness * kRunTimeFactor) + kCommandOverhead;
    return now + time <= job.objectiveAt ? 1 / slowness : kMissedObjectiveCost * slowness;
}

OwnedTarget *
TargetSelector::select(const ActiveJob &job, const TaskName &task, bool isolate, Duration run, Instant now) const
{
    const JobStep &step = job.request.steps[task.step];
    const TaskEntry &entry = job.entry(task);
    OwnedTarget *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &it : m_targets) {
        OwnedTarget &target = *it.second;
        const TargetTracker &tracker = target.tracker;
        if (!isSuitable(tracker.target(), job.request.service, step) || !isUsable(target, now)) {
            continue;
        }
        if (tracker.hasIsolatedRun()) {
            continue;
        }
        const ResourceDemand available = tracker.freeCapacity();
        if (!step.demand.fitsIn(available)
            || (step.perTargetLimit > 0 && runsOfStep(tracker, task) >= step.perTargetLimit)) {
            continue;
        }
        const double unusedCores = (available.milliCores - step.demand.milliCores) / 1000.0;
        double cost =
            speedCost(job, run, std::exp(tracker.speed.logSlowness()), now) * (1 + kUnusedCoreWeight * unusedCores);
        if (tracker.target().name == entry.lastTarget) {
            cost *= kRetryPenalty;
        }
        if (isolate && !tracker.runs().empty()) {
            cost *= kSharedTargetPenalty;
        }
        if (!step.preferredRack.empty() && tracker.target().rack != step.preferredRack) {
            cost *= kOtherRackPenalty;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = &target;
        }
    }
    return best;
}

} // namespace Eelgrasscleat
