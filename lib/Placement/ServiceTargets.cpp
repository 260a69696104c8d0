/// @file
/// Choice among the target pools of a service.
#include "ServiceTargets.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Penalty in classes for a target with accelerators if the task needs none: 22%.
constexpr SpeedClass kAcceleratorPenaltyClasses = 4;
/// Targets whose classes differ by no more than this count as equally fast: 10%.
constexpr SpeedClass kEqualSpeedClasses = 2;
/// One in this many of a job's tasks count as its last ones.
constexpr std::uint32_t kLastTasksDivisor = 8;
/// Maximum cost of waiting for a faster target, as a share of the gain. Below 1, because a waiting task also takes the
/// slot from tasks that have not arrived yet.
constexpr double kMaxWaitCost = 0.25;
/// The same for a job's last tasks, which determine its response time.
constexpr double kLastTaskMaxWaitCost = 0.25;
/// Weight of a new run time in the moving average.
constexpr double kMeanRunGain = 1.0 / 256;
/// One in this many of the instance's slots is reserved for urgent tasks while urgent tasks arrive.
constexpr std::uint32_t kUrgentSlotDivisor = 16;
constexpr Duration kUrgentReservationTime = std::chrono::seconds(1);
/// A probe that has been due for this long without a patient task is sent with an urgent one.
constexpr Duration kUrgentProbeDelay = std::chrono::seconds(1);

} // namespace

bool isAmongLastOfJob(const PlacementRequest &request)
{
    if (request.jobTaskCount <= 1) {
        return false;
    }
    return request.remainingTasks <= 1 || request.remainingTasks * kLastTasksDivisor <= request.jobTaskCount;
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

std::optional<TargetIndex> ServiceTargets::findExpiredBackoff(Instant now) const
{
    for (const auto &pool : m_pools) {
        if (const auto target = pool->findExpiredBackoff(now)) {
            return target;
        }
    }
    return std::nullopt;
}

std::optional<TargetIndex> ServiceTargets::findDueProbe(const PlacementRequest &request, Instant now) const
{
    const Instant due = request.urgent ? now - kUrgentProbeDelay : now;
    for (const auto &pool : m_pools) {
        if (!pool->satisfies(request.requirements)) {
            continue;
        }
        if (const auto target = pool->findDueProbe(due)) {
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
        const bool wastesAccelerators = pool->capacity().accelerators > 0 && requirements.accelerators == 0;
        const SpeedClass rank = *speedClass + (wastesAccelerators ? kAcceleratorPenaltyClasses : 0);
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

std::optional<Candidate> ServiceTargets::randomOwn(const Requirements &requirements, RandomSource &random) const
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
    if (request.queued == PlacementRequest::kUnknownQueueLength || speedClass <= kEqualSpeedClasses) {
        return false;
    }
    BusySlots faster;
    for (const auto &pool : m_pools) {
        if (pool->satisfies(request.requirements)) {
            const BusySlots busy = pool->busyBefore(speedClass - kEqualSpeedClasses);
            faster.count += busy.count;
            faster.slownessSum += busy.slownessSum;
        }
    }
    if (faster.count == 0) {
        return false;
    }
    // Leaving a free slot unused delays this task and all tasks queued behind it until another slot becomes free. Both
    // the cost and the gain, the difference in speed, are relative to each task's run time.
    const double wait = m_meanRun / faster.count;
    const double cost = wait / expectedRun(request) + request.queued * wait * m_meanInverseRun;
    const double gain = slownessOf(speedClass) - faster.slownessSum / faster.count;
    return cost < gain * (isAmongLastOfJob(request) ? kLastTaskMaxWaitCost : kMaxWaitCost);
}

bool ServiceTargets::reservesFreeForUrgent(const PlacementRequest &request, Instant now) const
{
    if (request.urgent || !m_lastUrgentAt || *m_lastUrgentAt + kUrgentReservationTime < now) {
        return false;
    }
    std::uint32_t freeSlots = 0;
    for (const auto &pool : m_pools) {
        if (pool->satisfies(request.requirements)) {
            freeSlots += pool->freeOwnSlots();
        }
    }
    return freeSlots <= ownSlots(request.requirements) / kUrgentSlotDivisor;
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

void ServiceTargets::updateMeanRun(Duration run, double slowness)
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
