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
/// Time that commands and reports add to a run: two round trips and their processing.
constexpr Duration kCommandOverhead = std::chrono::milliseconds(15);
/// Cost of a target on which the task would miss its objective: above that of any target on which it meets it.
constexpr double kMissedObjectiveCost = 1000;
/// Longest wait for a faster target, as a share of the run time that it saves.
constexpr double kMaxWaitShare = 0.5;
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

bool TargetSelector::isBlocked(const OwnedTarget &target, Instant now) const
{
    const TargetTracker &tracker = target.tracker;
    return tracker.hasIsolatedRun() || tracker.hasRunLeasedBefore(now - m_maxLeaseAge);
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

/// When a job can complete if its task starts now on a target.
enum class Timeliness
{
    InTime, ///< Before the objective, even if the run takes kRunTimeFactor times as long as expected.
    BarelyInTime, ///< Before the objective if the run takes as long as expected.
    Late, ///< While the result is still of use.
    Useless,
};

/// @param run expected run time on the reference target
/// @param slowness run time on the target, relative to the reference target
/// @param overhead time that commands and reports add to the run
static Timeliness timeliness(const ActiveJob &job, Duration run, double slowness, Duration overhead, Instant now)
{
    const auto time = std::chrono::duration_cast<Duration>(run * slowness);
    const Instant end = now + time + overhead;
    if (end + std::chrono::duration_cast<Duration>(time * (kRunTimeFactor - 1)) <= job.objectiveAt) {
        return Timeliness::InTime;
    }
    if (end <= job.objectiveAt) {
        return Timeliness::BarelyInTime;
    }
    return end <= job.usefulUntil ? Timeliness::Late : Timeliness::Useless;
}

/// @returns the cost of running the task on the target; lower is better. A job that is surely in time leaves the fast
/// targets to those that need them.
static double speedCost(Timeliness timeliness, double slowness)
{
    switch (timeliness) {
    case Timeliness::InTime:
        return 1 / slowness;
    case Timeliness::BarelyInTime:
        return kMissedObjectiveCost * slowness;
    case Timeliness::Late:
        return kMissedObjectiveCost * kMissedObjectiveCost * slowness;
    case Timeliness::Useless:
        break;
    }
    return kMissedObjectiveCost * kMissedObjectiveCost * kMissedObjectiveCost * slowness;
}

/// Reads the state that changes when a run is started.
void TargetSelector::read(Candidate &candidate, Instant now) const
{
    const TargetTracker &tracker = candidate.target->tracker;
    candidate.available = tracker.freeCapacity();
    candidate.isBlocked = isBlocked(*candidate.target, now);
    candidate.runEnds.clear();
    for (const auto &it : tracker.runs()) {
        candidate.runEnds.push_back(tracker.expectedEnd(it.second, now));
    }
}

void TargetSelector::beginPass(Duration lossDelay, Instant now)
{
    m_commandOverhead = kCommandOverhead + lossDelay;
    m_candidates.clear();
    for (const auto &it : m_targets) {
        if (isUsable(*it.second, now)) {
            Candidate &added = m_candidates.emplace_back();
            added.target = it.second.get();
            added.slowness = it.second->tracker.speed.slowness();
            read(added, now);
        }
    }
}

void TargetSelector::runStarted(const OwnedTarget &target, Instant now)
{
    for (auto it = m_candidates.begin(); it != m_candidates.end(); ++it) {
        if (it->target != &target) {
            continue;
        }
        if (isUsable(target, now)) {
            read(*it, now);
        } else {
            m_candidates.erase(it); // The run probes an ejected target.
        }
        return;
    }
}

/// @param latestEnd time by which a run of the target must end
/// @returns the number of the target's runs that are expected to end by then.
static std::size_t countEnds(const std::vector<Instant> &runEnds, Instant latestEnd)
{
    return static_cast<std::size_t>(
        std::count_if(runEnds.begin(), runEnds.end(), [latestEnd](Instant end) { return end <= latestEnd; }));
}

/// @param slowness of the best target with free capacity, on which the task would be late
/// @returns the number of times that a task of the job may start in time on a target that becomes free. The wait must
/// be much shorter than the run time that it saves, since its length is uncertain.
std::size_t TargetSelector::countStartsInTime(
    const ActiveJob &job, const JobStep &step, Duration run, double slowness, Instant now) const
{
    std::size_t starts = 0;
    for (const Candidate &it : m_candidates) {
        if (!isSuitable(it.target->tracker.target(), job.request.service, step) || it.slowness >= slowness) {
            continue;
        }
        const auto time = std::chrono::duration_cast<Duration>(run * it.slowness);
        const auto saved = std::chrono::duration_cast<Duration>(run * (slowness - it.slowness) * kMaxWaitShare);
        starts += countEnds(it.runEnds, std::min(job.objectiveAt - time - m_commandOverhead, now + saved));
    }
    return starts;
}

OwnedTarget *TargetSelector::select(const ActiveJob &job,
                                    const TaskName &task,
                                    bool isolate,
                                    Duration run,
                                    std::uint32_t waitingTasks,
                                    Instant now) const
{
    const JobStep &step = job.request.steps[task.step];
    const TaskEntry &entry = job.entry(task);
    OwnedTarget *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    Timeliness found = Timeliness::Useless;
    double foundSlowness = 1;
    for (const Candidate &it : m_candidates) {
        const TargetTracker &tracker = it.target->tracker;
        if (!isSuitable(tracker.target(), job.request.service, step)) {
            continue;
        }
        const Timeliness onTarget = timeliness(job, run, it.slowness, m_commandOverhead, now);
        if (it.isBlocked || !step.demand.fitsIn(it.available)
            || (step.perTargetLimit > 0 && runsOfStep(tracker, task) >= step.perTargetLimit)) {
            continue;
        }
        const double unusedCores = (it.available.milliCores - step.demand.milliCores) / 1000.0;
        double cost = speedCost(onTarget, it.slowness) * (1 + kUnusedCoreWeight * unusedCores);
        if (tracker.target().name == entry.lastTarget) {
            cost *= kRetryPenalty;
        }
        if (isolate && !it.runEnds.empty()) {
            cost *= kSharedTargetPenalty;
        }
        if (!step.preferredRack.empty() && tracker.target().rack != step.preferredRack) {
            cost *= kOtherRackPenalty;
        }
        if (cost < bestCost) {
            bestCost = cost;
            found = onTarget;
            foundSlowness = it.slowness;
            best = it.target;
        }
    }
    const bool isWorthWaiting = best != nullptr && found > Timeliness::BarelyInTime
        && countStartsInTime(job, step, run, foundSlowness, now) > waitingTasks;
    return isWorthWaiting ? nullptr : best;
}

} // namespace Eelgrasscleat
