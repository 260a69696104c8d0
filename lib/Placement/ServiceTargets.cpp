/// @file
/// Decisions among the pools of one service.
#include "ServiceTargets.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Classes by which a target with accelerators counts as slower for a task without need of them: 22%.
constexpr SpeedClass kSparedAcceleratorClasses = 4;
/// Classes within which two targets count as equally fast: 10%.
constexpr SpeedClass kSameSpeedClasses = 2;
/// The last eighth of a job's tasks are its last ones.
constexpr std::uint32_t kLastTasksShare = 8;
/// Share of the gain that waiting for a faster target may cost. Below 1, since a task that waits also takes the slot
/// from tasks that have not arrived yet.
constexpr double kPatience = 0.25;
/// The same for one of a job's last tasks, for which the whole answer waits.
constexpr double kLastTaskPatience = 0.25;
/// Weight of the newest run time in the mean.
constexpr double kMeanRunGain = 1.0 / 256;
/// One in this many of the instance's slots is kept for urgent tasks, as long as urgent tasks come.
constexpr std::uint32_t kUrgentSlotShare = 16;
constexpr Duration kUrgentMemory = std::chrono::seconds(1);
/// A probe that no patient task has taken for so long goes to an urgent one.
constexpr Duration kUrgentProbeDelay = std::chrono::seconds(1);

} // namespace

bool isAmongLastOfJob(const PlacementRequest &request)
{
    if (request.jobTaskCount <= 1) {
        return false;
    }
    return request.remainingTasks <= 1 || request.remainingTasks * kLastTasksShare <= request.jobTaskCount;
}

TargetPool &ServiceTargets::poolFor(const Requirements &capacity)
{
    const auto matches = [&](const std::unique_ptr<TargetPool> &pool) { return pool->capacity() == capacity; };
    const auto it = std::find_if(m_pools.begin(), m_pools.end(), matches);
    if (it != m_pools.end()) {
        return **it;
    }
    return *m_pools.emplace_back(std::make_unique<TargetPool>(capacity));
}

bool ServiceTargets::canEverRun(const Requirements &requirements) const
{
    return std::any_of(m_pools.begin(), m_pools.end(), [&](const std::unique_ptr<TargetPool> &pool) {
        return !pool->isEmpty() && pool->satisfies(requirements);
    });
}

std::optional<TargetIndex> ServiceTargets::dueUnblock(Instant now) const
{
    for (const auto &pool : m_pools) {
        if (const auto target = pool->dueUnblock(now)) {
            return target;
        }
    }
    return std::nullopt;
}

std::optional<TargetIndex> ServiceTargets::dueProbe(const PlacementRequest &request, Instant now) const
{
    const Instant due = request.urgent ? now - kUrgentProbeDelay : now;
    for (const auto &pool : m_pools) {
        if (!pool->satisfies(request.requirements)) {
            continue;
        }
        if (const auto target = pool->dueProbe(due)) {
            return target;
        }
    }
    return std::nullopt;
}

std::optional<Candidate> ServiceTargets::fastestOwn(const Requirements &requirements) const
{
    std::optional<Candidate> best;
    SpeedClass bestRank = 0;
    for (const auto &pool : m_pools) {
        const auto speedClass = pool->satisfies(requirements) ? pool->own().fastest() : std::nullopt;
        if (!speedClass) {
            continue;
        }
        const bool spares = pool->capacity().accelerators > 0 && requirements.accelerators == 0;
        const SpeedClass rank = *speedClass + (spares ? kSparedAcceleratorClasses : 0);
        if (!best || rank < bestRank) {
            best = Candidate { &pool->own(), *speedClass };
            bestRank = rank;
        }
    }
    return best;
}

std::optional<Candidate> ServiceTargets::slowestShared(const Requirements &requirements, SpeedClass end) const
{
    std::optional<Candidate> best;
    for (const auto &pool : m_pools) {
        const auto speedClass = pool->satisfies(requirements) ? pool->shared().slowestBefore(end) : std::nullopt;
        if (speedClass && (!best || *speedClass > best->speedClass)) {
            best = Candidate { &pool->shared(), *speedClass };
        }
    }
    return best;
}

std::optional<Candidate> ServiceTargets::anyOwn(const Requirements &requirements, RandomSource &random) const
{
    const auto from = static_cast<SpeedClass>(drawBelow(random, kLastResortClass));
    for (const auto &pool : m_pools) {
        const auto speedClass = pool->satisfies(requirements) ? pool->own().fastest(from) : std::nullopt;
        if (speedClass && *speedClass != kLastResortClass) {
            return Candidate { &pool->own(), *speedClass };
        }
    }
    return std::nullopt;
}

bool ServiceTargets::isWaitBetter(const PlacementRequest &request, SpeedClass speedClass) const
{
    if (request.queued == PlacementRequest::kUnknownQueueLength || speedClass <= kSameSpeedClasses) {
        return false;
    }
    BusySlots faster;
    for (const auto &pool : m_pools) {
        if (pool->satisfies(request.requirements)) {
            const BusySlots busy = pool->busyBefore(speedClass - kSameSpeedClasses);
            faster.count += busy.count;
            faster.slownessSum += busy.slownessSum;
        }
    }
    if (faster.count == 0) {
        return false;
    }
    // A free slot that is passed over makes this task and all behind it wait until one more slot gets free. The cost
    // and the gain, the difference in speed, are shares of each task's own run time.
    const double wait = m_meanRun / faster.count;
    const double cost = wait / expectedRun(request) + request.queued * wait * m_meanInverseRun;
    const double gain = slownessOf(speedClass) - faster.slownessSum / faster.count;
    return cost < gain * (isAmongLastOfJob(request) ? kLastTaskPatience : kPatience);
}

bool ServiceTargets::keepsFreeForUrgent(const PlacementRequest &request, Instant now) const
{
    if (request.urgent || !m_urgentSeenAt || *m_urgentSeenAt + kUrgentMemory < now) {
        return false;
    }
    std::uint32_t freeSlots = 0;
    for (const auto &pool : m_pools) {
        if (pool->satisfies(request.requirements)) {
            freeSlots += pool->freeOwnSlots();
        }
    }
    return freeSlots <= ownSlots(request.requirements) / kUrgentSlotShare;
}

std::uint32_t ServiceTargets::ownSlots(const Requirements &requirements) const
{
    std::uint32_t slots = 0;
    for (const auto &pool : m_pools) {
        if (pool->satisfies(requirements)) {
            slots += pool->ownSlots();
        }
    }
    return slots;
}

void ServiceTargets::learnRun(Duration run, double slowness)
{
    const double microseconds = std::max(1.0, static_cast<double>(run.count()));
    m_meanRun += kMeanRunGain * (microseconds - m_meanRun);
    m_meanInverseRun += kMeanRunGain * (slowness / microseconds - m_meanInverseRun);
}

double ServiceTargets::expectedRun(const PlacementRequest &request) const
{
    const auto it = m_sizes.find(request.customer);
    const double logRun = (it != m_sizes.end() ? it->second : SizeModel()).expectedLogRun(request.expectedRun);
    return std::exp(logRun);
}

} // namespace Eelgrasscleat
