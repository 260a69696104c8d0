/// @file
/// Division of target slots among the entry instances of a zone, without communication between them.
#pragma once

#include "SpeedClassIndex.h"

#include <eelgrasscleat/Placement/Placer.h>

#include <array>
#include <cstdint>

namespace Eelgrasscleat
{

/// @returns the maximum number of concurrent starts on the target; each needs a slot and a connection.
std::uint32_t concurrentStarts(const TargetInfo &target);

/// @returns this instance's share of the target's concurrent starts. The shares of all instances add up to the total;
/// which instances get the remainder depends on the target.
std::uint32_t ownStarts(const TargetInfo &target, SlotShare share);

/// Limits attempts to use slots of other instances' shares by the expected number of refusals, each of which wastes two
/// messages. A token bucket: every start adds a fraction of a refusal that depends on the message weight.
class RefusalBudget
{
public:
    /// @param messageWeight from 0 (minimize response time only) to 1 (minimize wasted messages only)
    explicit RefusalBudget(double messageWeight);

    /// @returns whether a task may try a slot of another instance's share on a target of @p speedClass. Half of the
    /// budget is reserved for urgent tasks.
    [[nodiscard]] bool allows(SpeedClass speedClass, bool urgent);
    void recordStart();
    void recordSharedSlotAttempt(SpeedClass speedClass);
    /// @param speedClass class of the target when it was tried
    void recordSharedSlotOutcome(SpeedClass speedClass, bool refused);
    /// Records that a start within this instance's share was refused because another instance uses the slot.
    void recordOwnSlotRefusal();

private:
    /// Statistics of attempts on shared slots of targets of one class.
    struct AttemptStatistics
    {
        double refusalRate = 0.2; ///< The initial value is low enough to permit a first attempt.
    };

    double m_refusalsPerStart; ///< Refusals added to the budget by each start.
    double m_maxRefusalRate; ///< Classes with a higher refusal rate are not tried.
    double m_budget = 0; ///< Remaining budget; negative if there were more refusals than expected.
    std::array<AttemptStatistics, kSpeedClasses> m_statistics;
};

} // namespace Eelgrasscleat
