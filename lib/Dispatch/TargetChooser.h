/// @file
/// Choice of a target for one task among those with room. The load that it answers is targets of different speeds and
/// sizes, some of them failing: speed and health are learned from the ends of runs.
#pragma once

#include "JobBoard.h"
#include "TargetLedger.h"

#include <eelgrasscleat/Placement/HealthTracker.h>

#include <map>
#include <memory>

namespace Eelgrasscleat
{

/// A target with what the dispatcher knows of it.
struct OwnedTarget
{
    OwnedTarget(DispatchTarget target, FencingToken token, TargetIndex index)
        : ledger(std::move(target), token)
        , healthIndex(index)
    {
    }

    TargetLedger ledger;
    TargetIndex healthIndex;
    bool accepting = true; ///< False while it is handed over to another owner.
};

using OwnedTargets = std::map<TargetName, std::unique_ptr<OwnedTarget>>;

/// Chooses targets.
class TargetChooser
{
public:
    TargetChooser(OwnedTargets &targets, HealthTracker &health)
        : m_targets(targets)
        , m_health(health)
    {
    }

    /// @returns whether the target may get a start now, room aside.
    [[nodiscard]] bool isUsable(const OwnedTarget &target, Instant now) const;
    /// @param run the task's expected run time on the reference target
    /// @returns the best usable target with room for a task, or null.
    [[nodiscard]] OwnedTarget *choose(const BoardJob &job, const TaskName &task, Duration run, Instant now) const;
    /// @returns whether any owned target could ever run the step.
    [[nodiscard]] bool anyFits(const ServiceName &service, const JobStep &step) const;

private:
    [[nodiscard]] static bool suits(const DispatchTarget &target, const ServiceName &service, const JobStep &step);

    OwnedTargets &m_targets;
    HealthTracker &m_health;
};

} // namespace Eelgrasscleat
