/// @file
/// Selects a target for a task among the owned targets with free capacity. Targets differ in speed and size, and some
/// fail; their speed and health are learned from completed runs.
#pragma once

#include "JobTable.h"
#include "TargetTracker.h"

#include <eelgrasscleat/Placement/HealthTracker.h>

#include <map>
#include <memory>
#include <vector>

namespace Eelgrasscleat
{

/// An owned target and its tracked state.
struct OwnedTarget
{
    OwnedTarget(DispatchTarget target, FencingToken token, std::shared_ptr<KindSpeed> kind, TargetIndex index)
        : tracker(std::move(target), token, std::move(kind))
        , healthIndex(index)
    {
    }

    TargetTracker tracker;
    TargetIndex healthIndex;
    bool accepting = true; ///< False during the handover to another owner.
};

using OwnedTargets = std::map<TargetName, std::unique_ptr<OwnedTarget>>;

class TargetSelector
{
public:
    /// @param maxLeaseAge nothing is started beside a run that must end and was leased earlier: the new run would share
    /// its lease
    TargetSelector(OwnedTargets &targets, HealthTracker &health, Duration maxLeaseAge)
        : m_targets(targets)
        , m_health(health)
        , m_maxLeaseAge(maxLeaseAge)
    {
    }

    /// Starts a placement pass: reads the state of all targets. select() works on this state.
    /// @param lossDelay time that lost messages are expected to add to a run
    void beginPass(Duration lossDelay, Instant now);
    /// A run was started during the pass on a target that select() returned.
    void runStarted(const OwnedTarget &target, Instant now);

    /// @returns whether a run may be started on the target now, regardless of its free capacity.
    [[nodiscard]] bool isUsable(const OwnedTarget &target, Instant now) const;
    /// @returns whether a run that is active on the target keeps others from being started beside it.
    [[nodiscard]] bool isBlocked(const OwnedTarget &target, Instant now) const;
    /// @param isolate whether the task may crash its target: it is kept apart from others as far as possible
    /// @param run expected run time of the task on the reference target
    /// @param waitingTasks tasks that precede this one and wait for a target to become free
    /// @returns the best usable target with free capacity for the task, or null if there is none or if the task is late
    /// on each but would be in time on one that is expected to become free.
    [[nodiscard]] OwnedTarget *select(const ActiveJob &job,
                                      const TaskName &task,
                                      bool isolate,
                                      Duration run,
                                      std::uint32_t waitingTasks,
                                      Instant now) const;
    /// @returns whether any owned target could run the step's tasks if it were idle.
    [[nodiscard]] bool hasSuitableTarget(const ServiceName &service, const JobStep &step) const;

private:
    /// A usable target during a placement pass.
    struct Candidate
    {
        OwnedTarget *target = nullptr;
        ResourceDemand available;
        bool isBlocked = false; ///< See TargetSelector::isBlocked().
        double slowness = 1;
        std::vector<Instant> runEnds; ///< Expected ends of its runs.
    };

    [[nodiscard]] static bool isSuitable(const DispatchTarget &target, const ServiceName &service, const JobStep &step);
    void read(Candidate &candidate, Instant now) const;
    [[nodiscard]] std::size_t
    countStartsInTime(const ActiveJob &job, const JobStep &step, Duration run, double slowness, Instant now) const;

    OwnedTargets &m_targets;
    HealthTracker &m_health;
    Duration m_maxLeaseAge;
    Duration m_commandOverhead {}; ///< Time that commands and reports add to a run.
    std::vector<Candidate> m_candidates;
};

} // namespace Eelgrasscleat
