/// @file
/// Division of a target's slots by instance index, and the refusal budget for exceeding an instance's share.
#include "SlotSharing.h"

#include <eelgrasscleat/Support/Digest.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Refusals per start allowed at message weight 0, and the exponent with which they decrease as the weight increases.
/// The useful range spans three orders of magnitude.
constexpr double kMaxRefusalsPerStart = 1;
constexpr double kWeightExponent = 8;
/// Capacity of the budget in refusals, which bounds bursts.
constexpr double kBudgetCapacity = 12;
constexpr double kMinRefusalRate = 0.02;
/// Classes with a higher refusal rate are not tried until it has decayed. The limit decreases linearly with the message
/// weight, by kUsefulRefusalRateSlope, down to kMinUsefulRefusalRate.
constexpr double kMinUsefulRefusalRate = 0.25;
constexpr double kUsefulRefusalRateSlope = 1.5;
/// Decay of a class's refusal rate with each task that skips the class because of it.
constexpr double kRefusalRateDecay = 1.0 / 1024;
/// Weight of a new attempt in the moving average of the refusal rate.
constexpr double kRefusalGain = 1.0 / 16;

} // namespace

std::uint32_t concurrentStarts(const TargetInfo &target)
{
    return std::min(target.slots, target.connections);
}

std::uint32_t ownStarts(const TargetInfo &target, SlotShare share)
{
    assert(share.index < share.instances && "instance index is out of range");
    const std::uint32_t starts = concurrentStarts(target);
    // All instances must compute the same offset, which std::hash does not guarantee.
    const std::uint64_t offset = bytesDigest(target.name.value).low;
    const std::uint64_t rank = (share.index + offset) % share.instances;
    const std::uint32_t extra = rank < starts % share.instances ? 1 : 0;
    return starts / share.instances + extra;
}

RefusalBudget::RefusalBudget(double messageWeight)
    : m_refusalsPerStart(kMaxRefusalsPerStart * std::pow(1 - messageWeight, kWeightExponent))
    , m_maxRefusalRate(std::max(kMinUsefulRefusalRate, 1 - kUsefulRefusalRateSlope * messageWeight))
{
}

bool RefusalBudget::allows(SpeedClass speedClass, bool urgent)
{
    AttemptStatistics &statistics = m_statistics.at(speedClass);
    if (statistics.refusalRate > m_maxRefusalRate) {
        // The rate decays slowly, so that the class is tried again eventually.
        statistics.refusalRate *= 1 - kRefusalRateDecay;
        return false;
    }
    return m_budget >= (urgent ? statistics.refusalRate : kBudgetCapacity / 2);
}

void RefusalBudget::recordStart()
{
    m_budget = std::min(kBudgetCapacity, m_budget + m_refusalsPerStart);
}

void RefusalBudget::recordSharedSlotAttempt(SpeedClass speedClass)
{
    // The expected cost is charged in advance, since many attempts may be sent before the first answer is received.
    m_budget -= m_statistics.at(speedClass).refusalRate;
}

void RefusalBudget::recordSharedSlotOutcome(SpeedClass speedClass, bool refused)
{
    double &rate = m_statistics.at(speedClass).refusalRate;
    rate += kRefusalGain * ((refused ? 1 : 0) - rate);
    rate = std::max(rate, kMinRefusalRate);
}

void RefusalBudget::recordOwnSlotRefusal()
{
    m_budget -= 1;
}

} // namespace Eelgrasscleat
