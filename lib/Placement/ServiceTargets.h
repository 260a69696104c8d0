/// @file
/// The targets of one service and the decisions among them: which is best now, and whether waiting is better.
#pragma once

#include "TargetPool.h"
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// A class of targets that could take a task now.
struct Candidate
{
    const SpeedClassIndex *index = nullptr;
    SpeedClass speedClass = 0;
};

/// Targets of one service.
class ServiceTargets
{
public:
    /// @returns the pool of targets with these offers, made at the first call.
    TargetPool &poolFor(const Requirements &capacity);
    [[nodiscard]] bool canEverRun(const Requirements &requirements) const;

    /// @returns a target whose block has ended; the caller updates it.
    [[nodiscard]] std::optional<TargetIndex> dueUnblock(Instant now) const;
    /// @returns an ejected target that this task may probe.
    [[nodiscard]] std::optional<TargetIndex> dueProbe(const PlacementRequest &request, Instant now) const;
    /// @returns the fastest class with a free slot of this instance's share.
    [[nodiscard]] std::optional<Candidate> fastestOwn(const Requirements &requirements) const;
    /// @returns a class with a free own slot, fast or slow, for the few tasks that keep the estimates of speeds fresh.
    [[nodiscard]] std::optional<Candidate> anyOwn(const Requirements &requirements, RandomSource &random) const;
    /// @returns the slowest class before @p end where only other instances' slots may be free. The faster a target,
    /// the surer the other instances have filled their shares of it.
    [[nodiscard]] std::optional<Candidate> slowestShared(const Requirements &requirements, SpeedClass end) const;
    /// @returns whether a slot of a faster target is worth waiting for, rather than using one of @p speedClass.
    [[nodiscard]] bool isWaitBetter(const PlacementRequest &request, SpeedClass speedClass) const;
    /// @returns whether the free slots are few enough to be kept for urgent tasks.
    [[nodiscard]] bool keepsFreeForUrgent(const PlacementRequest &request, Instant now) const;

    /// @returns this instance's share of the slots of all targets that satisfy @p requirements.
    [[nodiscard]] std::uint32_t ownSlots(const Requirements &requirements) const;

    /// Notes the time of an urgent task.
    void sawUrgent(Instant now)
    {
        m_urgentSeenAt = now;
    }
    [[nodiscard]] SizeModel &sizesOf(const CustomerName &customer)
    {
        return m_sizes[customer];
    }
    /// Takes in a run time on a target of this slowness.
    void learnRun(Duration run, double slowness);
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
    double m_meanInverseRun = 1.0 / 200000; ///< On the reference target, per microsecond.
    std::optional<Instant> m_urgentSeenAt;
};

/// @returns whether the task is one of the last of its job, for which the whole answer waits.
[[nodiscard]] bool isAmongLastOfJob(const PlacementRequest &request);

} // namespace Eelgrasscleat
