/// @file
/// Targets of one service and the choice among them.
#pragma once

#include "TargetPool.h"
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// A class of targets that can run a task now.
struct Candidate
{
    const SpeedClassIndex *index = nullptr;
    SpeedClass speedClass = 0;
};

/// Targets of one service.
class ServiceTargets
{
public:
    /// @returns the pool of targets with this capacity, created on first use.
    TargetPool &poolFor(const Requirements &capacity);
    [[nodiscard]] bool canEverRun(const Requirements &requirements) const;

    /// @returns a target whose backoff has expired; the caller must update it.
    [[nodiscard]] std::optional<TargetIndex> findExpiredBackoff(Instant now) const;
    /// @returns an ejected target that the task may probe.
    [[nodiscard]] std::optional<TargetIndex> findDueProbe(const PlacementRequest &request, Instant now) const;
    /// @returns the fastest class with a free slot in this instance's share.
    [[nodiscard]] std::optional<Candidate> fastestOwn(const Requirements &requirements) const;
    /// @returns a random class with a free slot in this instance's share, for exploration.
    [[nodiscard]] std::optional<Candidate> randomOwn(const Requirements &requirements, RandomSource &random) const;
    /// @returns the slowest class before @p end in which only slots of other instances' shares may be free. The other
    /// instances are least likely to have filled their shares of the slowest targets.
    [[nodiscard]] std::optional<Candidate> slowestShared(const Requirements &requirements, SpeedClass end) const;
    /// @returns whether waiting for a slot of a faster target is better than using one of @p speedClass.
    [[nodiscard]] bool isWaitBetter(const PlacementRequest &request, SpeedClass speedClass) const;
    /// @returns whether the remaining free slots are reserved for urgent tasks.
    [[nodiscard]] bool reservesFreeForUrgent(const PlacementRequest &request, Instant now) const;

    /// @returns this instance's share of the slots of all targets that satisfy @p requirements.
    [[nodiscard]] std::uint32_t ownSlots(const Requirements &requirements) const;

    /// Records the time of an urgent task.
    void recordUrgentTask(Instant now)
    {
        m_lastUrgentAt = now;
    }
    [[nodiscard]] SizeModel &sizesOf(const CustomerName &customer)
    {
        return m_sizes[customer];
    }
    /// Updates the mean run times with a run on a target of the given slowness.
    void updateMeanRun(Duration run, double slowness);
    /// @returns the mean run time, in microseconds.
    [[nodiscard]] double meanRun() const
    {
        return m_meanRun;
    }

private:
    [[nodiscard]] double expectedRun(const PlacementRequest &request) const;

    std::vector<std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CustomerName, SizeModel> m_sizes;
    double m_meanRun = 200000; ///< Microseconds.
    double m_meanInverseRun = 1.0 / 200000; ///< Per microsecond, on the reference target.
    std::optional<Instant> m_lastUrgentAt;
};

/// @returns whether the task is among the last of its job, which determine the job's response time.
[[nodiscard]] bool isAmongLastOfJob(const PlacementRequest &request);

} // namespace Eelgrasscleat
