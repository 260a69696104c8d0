/// @file
/// Outcome-based health: a moving failure rate against that of the target's peers.
#include <eelgrasscleat/Placement/HealthTracker.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Weight of the newest outcome in a target's failure rate.
constexpr double kFailureGain = 0.2;
/// Failure rate above that of the peers from which a target loses slots.
constexpr double kReducedExcess = 0.1;
/// Failure rate above that of the peers from which a target is ejected: three failures in a row.
constexpr double kEjectExcess = 0.4;
/// Failure rate with which a target comes back: it has to earn its slots.
constexpr double kRestoredRate = 0.3;
/// Failure rate below which earlier ejections are forgotten.
constexpr double kForgivenRate = 0.05;
/// Failure rate of a target that is wasLost with its rack.
constexpr double kLostRate = 0.9;
/// At most one in this many targets of a zone is ejected.
constexpr std::uint32_t kEjectableShare = 3;

constexpr Duration kFirstProbeDelay = std::chrono::seconds(1);
constexpr Duration kLongestProbeDelay = std::chrono::seconds(30);

/// Losses on targets of one rack within this time count as one event.
constexpr Duration kRackWindow = std::chrono::seconds(1);
/// Least number of targets wasLost in the window, and the share of the rack that they make, for a rack's loss.
constexpr std::size_t kRackLosses = 2;
constexpr std::size_t kRackLossShare = 3;

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
    // A change of the configuration is rare, so a scan does. Targets whose probe runs come last.
    for (const HealthState state : { HealthState::Ejected, HealthState::Probing }) {
        for (TargetIndex target = 0; target < m_targets.size(); ++target) {
            if (peerGroup->ejected * kEjectableShare <= peerGroup->members) {
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
    assert(health.state == HealthState::Ejected && "only an ejected target gets a probe");
    health.state = HealthState::Probing;
}

const std::vector<TargetIndex> &
HealthTracker::recordOutcome(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now)
{
    m_changed.clear();
    if (m_targets.at(target).peerGroup == nullptr) {
        // The target was removed meanwhile; should it come back, its probe has to be repeated.
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
        // The target didn't run the task: that says nothing of its health, and a probe has to be repeated.
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
    if (excess < kReducedExcess) {
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
    // Tasks that fail everywhere are their customer's fault, not their targets'.
    const double others = (health.peerGroup->failureSum - health.failureRate) / (health.peerGroup->members - 1);
    return health.failureRate - others;
}

bool HealthTracker::canEject(const TargetHealth &health) const
{
    return (health.peerGroup->ejected + 1) * kEjectableShare <= health.peerGroup->members;
}

void HealthTracker::setFailureRate(TargetHealth &health, double rate)
{
    health.peerGroup->failureSum += rate - health.failureRate;
    health.failureRate = rate;
}

void HealthTracker::eject(TargetHealth &health, Instant now)
{
    health.probeDelay =
        health.probeDelay == Duration::zero() ? kFirstProbeDelay : std::min(kLongestProbeDelay, 2 * health.probeDelay);
    health.nextProbeAt = now + health.probeDelay;
    if (health.state == HealthState::Serving) {
        ++health.peerGroup->ejected;
    }
    health.state = HealthState::Ejected;
}

void HealthTracker::rescheduleProbe(TargetHealth &health, bool probe, Instant now)
{
    // The cap on ejections may have put the target back into service while its probe ran.
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
    setFailureRate(health, std::min(health.failureRate, kRestoredRate));
}

void HealthTracker::handleSuccess(TargetIndex target, bool probe)
{
    TargetHealth &health = m_targets[target];
    setFailureRate(health, health.failureRate * (1 - kFailureGain));
    health.wasLost = false;
    if (health.failureRate < kForgivenRate) {
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
    const bool bad = health.state == HealthState::Serving && excessFailureRate(health) >= kEjectExcess;
    if (bad && canEject(health)) {
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
        // A running probe speaks for its own target when it ends.
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
    const auto lostLately = [&](TargetIndex member) {
        return m_targets[member].wasLost && m_targets[member].lastLostAt + kRackWindow >= now;
    };
    const auto losses = static_cast<std::size_t>(std::count_if(health.rack->begin(), health.rack->end(), lostLately));
    if (losses < kRackLosses || losses * kRackLossShare < health.rack->size()) {
        return;
    }
    for (const TargetIndex member : *health.rack) {
        TargetHealth &other = m_targets[member];
        if (other.lostWithRack || other.state != HealthState::Serving) {
            continue;
        }
        other.lostWithRack = true;
        setFailureRate(other, std::max(other.failureRate, kLostRate));
        if (canEject(other)) {
            eject(other, now);
        }
        m_changed.push_back(member);
    }
}

} // namespace Eelgrasscleat
