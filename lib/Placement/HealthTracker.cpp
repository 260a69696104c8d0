/// @file
/// Passive health checks: compares a target's moving average failure rate with that of its peers.
#include <eelgrasscleat/Placement/HealthTracker.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Weight of a new outcome in the moving average of a target's failure rate.
constexpr double kFailureGain = 0.2;
/// A target's usable slots are reduced if its failure rate exceeds that of its peers by this.
constexpr double kReduceSlotsExcess = 0.1;
/// A target is ejected if its failure rate exceeds that of its peers by this, as after three consecutive failures.
constexpr double kEjectExcess = 0.4;
/// Maximum failure rate of a restored target. It exceeds kReduceSlotsExcess, so that its usable slots increase
/// gradually.
constexpr double kRestoredFailureRate = 0.3;
/// The probe delay is reset once the failure rate falls below this.
constexpr double kProbeDelayResetRate = 0.05;
/// Minimum failure rate set for the targets of a lost rack.
constexpr double kLostRackFailureRate = 0.9;
/// At most one in this many targets of a service in a zone is ejected.
constexpr std::uint32_t kTargetsPerEjection = 3;

constexpr Duration kInitialProbeDelay = std::chrono::seconds(1);
constexpr Duration kMaxProbeDelay = std::chrono::seconds(30);

/// Losses on targets of one rack within this time are treated as a single event.
constexpr Duration kRackWindow = std::chrono::seconds(1);
/// A rack counts as lost if at least kRackLosses targets, and one in kRackLossDivisor of the rack, are lost in the
/// window.
constexpr std::size_t kRackLosses = 2;
constexpr std::size_t kRackLossDivisor = 3;

} // namespace

static bool isLoss(PlacementOutcome outcome)
{
    return outcome == PlacementOutcome::Lost || outcome == PlacementOutcome::Unreachable;
}

const std::vector<TargetIndex> &HealthTracker::add(TargetIndex target, const TargetInfo &info)
{
    if (target >= m_targets.size()) {
        m_targets.resize(target + 1);
    }
    m_changed.clear();
    leavePeerGroup(target);
    TargetHealth &health = m_targets[target];
    health.peerGroup = &m_peerGroups[PeerGroupKey { info.service.value, info.zone.value }];
    ++health.peerGroup->members;
    health.peerGroup->failureSum += health.failureRate;
    if (health.state != HealthState::Serving) {
        ++health.peerGroup->ejected;
    }
    if (!info.rack.empty()) {
        health.rack = &m_racks[RackKey { info.zone.value, info.rack }];
        health.rack->push_back(target);
    }
    enforceEjectionLimit(health.peerGroup);
    return m_changed;
}

const std::vector<TargetIndex> &HealthTracker::remove(TargetIndex target)
{
    m_changed.clear();
    leavePeerGroup(target);
    return m_changed;
}

void HealthTracker::leavePeerGroup(TargetIndex target)
{
    TargetHealth &health = m_targets.at(target);
    PeerGroup *peerGroup = health.peerGroup;
    if (peerGroup == nullptr) {
        return;
    }
    --peerGroup->members;
    peerGroup->failureSum -= health.failureRate;
    if (health.state != HealthState::Serving) {
        --peerGroup->ejected;
    }
    health.peerGroup = nullptr;
    if (health.rack != nullptr) {
        std::erase(*health.rack, target);
        health.rack = nullptr;
    }
    enforceEjectionLimit(peerGroup);
}

void HealthTracker::enforceEjectionLimit(PeerGroup *peerGroup)
{
    // Configuration changes are rare, so a linear scan suffices. Targets with a probe in flight are restored last.
    for (const HealthState state : { HealthState::Ejected, HealthState::Probing }) {
        for (TargetIndex target = 0; target < m_targets.size(); ++target) {
            if (peerGroup->ejected * kTargetsPerEjection <= peerGroup->members) {
                return;
            }
            TargetHealth &health = m_targets[target];
            if (health.peerGroup == peerGroup && health.state == state) {
                restore(health);
                m_changed.push_back(target);
            }
        }
    }
}

void HealthTracker::releaseIndex(TargetIndex target)
{
    remove(target);
    m_targets[target] = TargetHealth();
}

void HealthTracker::recordProbeStart(TargetIndex target)
{
    TargetHealth &health = m_targets.at(target);
    assert(health.state == HealthState::Ejected && "only an ejected target is probed");
    health.state = HealthState::Probing;
}

const std::vector<TargetIndex> &
HealthTracker::recordOutcome(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now)
{
    m_changed.clear();
    if (m_targets.at(target).peerGroup == nullptr) {
        // The target has been removed. If it is added again, its probe must be repeated.
        rescheduleProbe(m_targets[target], probe, now);
        return m_changed;
    }
    switch (outcome) {
    case PlacementOutcome::Done:
        handleSuccess(target, probe);
        break;
    case PlacementOutcome::Failed:
    case PlacementOutcome::Unreachable:
    case PlacementOutcome::Lost:
        handleFailure(target, outcome, probe, now);
        break;
    case PlacementOutcome::Refused:
    case PlacementOutcome::Leaving:
        // The target did not run the task, so the outcome does not affect its health, and a probe must be repeated.
        rescheduleProbe(m_targets[target], probe, now);
        break;
    }
    return m_changed;
}

HealthState HealthTracker::state(TargetIndex target) const
{
    return m_targets.at(target).state;
}

Instant HealthTracker::nextProbeAt(TargetIndex target) const
{
    return m_targets.at(target).nextProbeAt;
}

std::uint32_t HealthTracker::usableSlots(TargetIndex target, std::uint32_t slots) const
{
    const double excess = excessFailureRate(m_targets.at(target));
    if (excess < kReduceSlotsExcess) {
        return slots;
    }
    const double share = std::max(0.0, 1 - excess / kEjectExcess);
    const auto usable = static_cast<std::uint32_t>(std::floor(share * slots));
    return std::min(slots, std::max(1U, usable));
}

bool HealthTracker::isLastResort(TargetIndex target) const
{
    const TargetHealth &health = m_targets.at(target);
    return health.state == HealthState::Serving && excessFailureRate(health) >= kEjectExcess;
}

double HealthTracker::excessFailureRate(const TargetHealth &health) const
{
    if (health.peerGroup == nullptr || health.peerGroup->members < 2) {
        return 0;
    }
    // Tasks that fail on all targets do not indicate a fault of any target.
    const double others = (health.peerGroup->failureSum - health.failureRate) / (health.peerGroup->members - 1);
    return health.failureRate - others;
}

bool HealthTracker::canEject(const TargetHealth &health) const
{
    return (health.peerGroup->ejected + 1) * kTargetsPerEjection <= health.peerGroup->members;
}

void HealthTracker::setFailureRate(TargetHealth &health, double rate)
{
    health.peerGroup->failureSum += rate - health.failureRate;
    health.failureRate = rate;
}

void HealthTracker::eject(TargetHealth &health, Instant now)
{
    health.probeDelay =
        health.probeDelay == Duration::zero() ? kInitialProbeDelay : std::min(kMaxProbeDelay, 2 * health.probeDelay);
    health.nextProbeAt = now + health.probeDelay;
    if (health.state == HealthState::Serving) {
        ++health.peerGroup->ejected;
    }
    health.state = HealthState::Ejected;
}

void HealthTracker::rescheduleProbe(TargetHealth &health, bool probe, Instant now)
{
    // The target may have been restored by the ejection limit while its probe was in flight.
    if (!probe || health.state != HealthState::Probing) {
        return;
    }
    health.state = HealthState::Ejected;
    health.nextProbeAt = now + health.probeDelay;
}

void HealthTracker::restore(TargetHealth &health)
{
    if (health.state != HealthState::Serving) {
        --health.peerGroup->ejected;
    }
    health.state = HealthState::Serving;
    health.lostWithRack = false;
    setFailureRate(health, std::min(health.failureRate, kRestoredFailureRate));
}

void HealthTracker::handleSuccess(TargetIndex target, bool probe)
{
    TargetHealth &health = m_targets[target];
    setFailureRate(health, health.failureRate * (1 - kFailureGain));
    health.wasLost = false;
    if (health.failureRate < kProbeDelayResetRate) {
        health.probeDelay = Duration::zero();
    }
    if (health.lostWithRack) {
        restoreRack(target);
    }
    if (probe) {
        restore(health);
    }
}

void HealthTracker::handleFailure(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now)
{
    TargetHealth &health = m_targets[target];
    setFailureRate(health, health.failureRate + kFailureGain * (1 - health.failureRate));
    health.wasLost = isLoss(outcome);
    health.lastLostAt = now;
    if (probe && health.state == HealthState::Probing) {
        eject(health, now);
        return;
    }
    if (health.wasLost) {
        detectRackLoss(target, now);
    }
    const bool isOutlier = health.state == HealthState::Serving && excessFailureRate(health) >= kEjectExcess;
    if (isOutlier && canEject(health)) {
        eject(health, now);
    }
}

void HealthTracker::restoreRack(TargetIndex target)
{
    const TargetHealth &health = m_targets[target];
    if (health.rack == nullptr) {
        return;
    }
    for (const TargetIndex member : *health.rack) {
        TargetHealth &other = m_targets[member];
        // The state of a target with a probe in flight is decided by the probe's outcome.
        if (!other.lostWithRack || other.state == HealthState::Probing) {
            continue;
        }
        restore(other);
        m_changed.push_back(member);
    }
}

void HealthTracker::detectRackLoss(TargetIndex target, Instant now)
{
    const TargetHealth &health = m_targets[target];
    if (health.rack == nullptr) {
        return;
    }
    const auto isRecentlyLost = [&](TargetIndex member) {
        return m_targets[member].wasLost && m_targets[member].lastLostAt + kRackWindow >= now;
    };
    const auto losses =
        static_cast<std::size_t>(std::count_if(health.rack->begin(), health.rack->end(), isRecentlyLost));
    if (losses < kRackLosses || losses * kRackLossDivisor < health.rack->size()) {
        return;
    }
    for (const TargetIndex member : *health.rack) {
        TargetHealth &other = m_targets[member];
        if (other.lostWithRack || other.state != HealthState::Serving) {
            continue;
        }
        other.lostWithRack = true;
        setFailureRate(other, std::max(other.failureRate, kLostRackFailureRate));
        if (canEject(other)) {
            eject(other, now);
        }
        m_changed.push_back(member);
    }
}

} // namespace Eelgrasscleat
