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
/// Failure rate of a target that is lost with its rack.
constexpr double kLostRate = 0.9;
/// At most one in this many targets of a zone is ejected.
constexpr std::uint32_t kEjectableShare = 3;

constexpr Duration kFirstProbeDelay = std::chrono::seconds(1);
constexpr Duration kLongestProbeDelay = std::chrono::seconds(30);

/// Losses on targets of one rack within this time count as one event.
constexpr Duration kRackWindow = std::chrono::seconds(1);
/// Least number of targets lost in the window, and the share of the rack that they make, for a rack's loss.
constexpr std::size_t kRackLosses = 2;
constexpr std::size_t kRackLossShare = 3;

} // namespace

static bool isLoss(PlacementOutcome outcome)
{
    return outcome == PlacementOutcome::Lost || outcome == PlacementOutcome::Unreachable;
}

const std::vector<TargetIndex> &HealthTracker::add(TargetIndex target, const TargetInfo &info)
{
    if (target >= m_entries.size()) {
        m_entries.resize(target + 1);
    }
    m_changed.clear();
    leavePeers(target);
    Entry &entry = m_entries[target];
    entry.peers = &m_peers[PeersKey { info.service.value, info.zone.value }];
    ++entry.peers->members;
    entry.peers->failureSum += entry.failureRate;
    if (entry.state != HealthState::Serving) {
        ++entry.peers->ejected;
    }
    if (!info.rack.empty()) {
        entry.rack = &m_racks[RackKey { info.zone.value, info.rack }];
        entry.rack->push_back(target);
    }
    enforceCap(entry.peers);
    return m_changed;
}

const std::vector<TargetIndex> &HealthTracker::remove(TargetIndex target)
{
    m_changed.clear();
    leavePeers(target);
    return m_changed;
}

void HealthTracker::leavePeers(TargetIndex target)
{
    Entry &entry = m_entries.at(target);
    Peers *peers = entry.peers;
    if (peers == nullptr) {
        return;
    }
    --peers->members;
    peers->failureSum -= entry.failureRate;
    if (entry.state != HealthState::Serving) {
        --peers->ejected;
    }
    entry.peers = nullptr;
    if (entry.rack != nullptr) {
        std::erase(*entry.rack, target);
        entry.rack = nullptr;
    }
    enforceCap(peers);
}

void HealthTracker::enforceCap(Peers *peers)
{
    // A change of the configuration is rare, so a scan does. Targets whose probe runs come last.
    for (const HealthState state : { HealthState::Ejected, HealthState::Probing }) {
        for (TargetIndex target = 0; target < m_entries.size(); ++target) {
            if (peers->ejected * kEjectableShare <= peers->members) {
                return;
            }
            Entry &entry = m_entries[target];
            if (entry.peers == peers && entry.state == state) {
                restore(entry);
                m_changed.push_back(target);
            }
        }
    }
}

void HealthTracker::forget(TargetIndex target)
{
    remove(target);
    m_entries[target] = Entry();
}

void HealthTracker::probeStarted(TargetIndex target)
{
    Entry &entry = m_entries.at(target);
    assert(entry.state == HealthState::Ejected && "only an ejected target gets a probe");
    entry.state = HealthState::Probing;
}

const std::vector<TargetIndex> &
HealthTracker::ended(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now)
{
    m_changed.clear();
    if (m_entries.at(target).peers == nullptr) {
        // The target was removed meanwhile; should it come back, its probe has to be repeated.
        repeatProbe(m_entries[target], probe, now);
        return m_changed;
    }
    switch (outcome) {
    case PlacementOutcome::Done:
        succeeded(target, probe);
        break;
    case PlacementOutcome::Failed:
    case PlacementOutcome::Unreachable:
    case PlacementOutcome::Lost:
        failed(target, outcome, probe, now);
        break;
    case PlacementOutcome::Refused:
    case PlacementOutcome::Leaving:
        // The target didn't run the task: that says nothing of its health, and a probe has to be repeated.
        repeatProbe(m_entries[target], probe, now);
        break;
    }
    return m_changed;
}

HealthState HealthTracker::state(TargetIndex target) const
{
    return m_entries.at(target).state;
}

Instant HealthTracker::probeAt(TargetIndex target) const
{
    return m_entries.at(target).probeAt;
}

std::uint32_t HealthTracker::usableSlots(TargetIndex target, std::uint32_t slots) const
{
    const double excess = excessFailureRate(m_entries.at(target));
    if (excess < kReducedExcess) {
        return slots;
    }
    const double share = std::max(0.0, 1 - excess / kEjectExcess);
    const auto usable = static_cast<std::uint32_t>(std::floor(share * slots));
    return std::min(slots, std::max(1U, usable));
}

bool HealthTracker::isLastResort(TargetIndex target) const
{
    const Entry &entry = m_entries.at(target);
    return entry.state == HealthState::Serving && excessFailureRate(entry) >= kEjectExcess;
}

double HealthTracker::excessFailureRate(const Entry &entry) const
{
    if (entry.peers == nullptr || entry.peers->members < 2) {
        return 0;
    }
    // Tasks that fail everywhere are their customer's fault, not their targets'.
    const double others = (entry.peers->failureSum - entry.failureRate) / (entry.peers->members - 1);
    return entry.failureRate - others;
}

bool HealthTracker::mayEject(const Entry &entry) const
{
    return (entry.peers->ejected + 1) * kEjectableShare <= entry.peers->members;
}

void HealthTracker::setFailureRate(Entry &entry, double rate)
{
    entry.peers->failureSum += rate - entry.failureRate;
    entry.failureRate = rate;
}

void HealthTracker::eject(Entry &entry, Instant now)
{
    entry.probeDelay =
        entry.probeDelay == Duration::zero() ? kFirstProbeDelay : std::min(kLongestProbeDelay, 2 * entry.probeDelay);
    entry.probeAt = now + entry.probeDelay;
    if (entry.state == HealthState::Serving) {
        ++entry.peers->ejected;
    }
    entry.state = HealthState::Ejected;
}

void HealthTracker::repeatProbe(Entry &entry, bool probe, Instant now)
{
    // The cap on ejections may have put the target back into service while its probe ran.
    if (!probe || entry.state != HealthState::Probing) {
        return;
    }
    entry.state = HealthState::Ejected;
    entry.probeAt = now + entry.probeDelay;
}

void HealthTracker::restore(Entry &entry)
{
    if (entry.state != HealthState::Serving) {
        --entry.peers->ejected;
    }
    entry.state = HealthState::Serving;
    entry.lostWithRack = false;
    setFailureRate(entry, std::min(entry.failureRate, kRestoredRate));
}

void HealthTracker::succeeded(TargetIndex target, bool probe)
{
    Entry &entry = m_entries[target];
    setFailureRate(entry, entry.failureRate * (1 - kFailureGain));
    entry.lost = false;
    if (entry.failureRate < kForgivenRate) {
        entry.probeDelay = Duration::zero();
    }
    if (entry.lostWithRack) {
        restoreRack(target);
    }
    if (probe) {
        restore(entry);
    }
}

void HealthTracker::failed(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now)
{
    Entry &entry = m_entries[target];
    setFailureRate(entry, entry.failureRate + kFailureGain * (1 - entry.failureRate));
    entry.lost = isLoss(outcome);
    entry.lostAt = now;
    if (probe && entry.state == HealthState::Probing) {
        eject(entry, now);
        return;
    }
    if (entry.lost) {
        checkRack(target, now);
    }
    const bool bad = entry.state == HealthState::Serving && excessFailureRate(entry) >= kEjectExcess;
    if (bad && mayEject(entry)) {
        eject(entry, now);
    }
}

void HealthTracker::restoreRack(TargetIndex target)
{
    const Entry &entry = m_entries[target];
    if (entry.rack == nullptr) {
        return;
    }
    for (const TargetIndex member : *entry.rack) {
        Entry &other = m_entries[member];
        // A running probe speaks for its own target when it ends.
        if (!other.lostWithRack || other.state == HealthState::Probing) {
            continue;
        }
        restore(other);
        m_changed.push_back(member);
    }
}

void HealthTracker::checkRack(TargetIndex target, Instant now)
{
    const Entry &entry = m_entries[target];
    if (entry.rack == nullptr) {
        return;
    }
    const auto lostLately = [&](TargetIndex member) {
        return m_entries[member].lost && m_entries[member].lostAt + kRackWindow >= now;
    };
    const auto losses = static_cast<std::size_t>(std::count_if(entry.rack->begin(), entry.rack->end(), lostLately));
    if (losses < kRackLosses || losses * kRackLossShare < entry.rack->size()) {
        return;
    }
    for (const TargetIndex member : *entry.rack) {
        Entry &other = m_entries[member];
        if (other.lostWithRack || other.state != HealthState::Serving) {
            continue;
        }
        other.lostWithRack = true;
        setFailureRate(other, std::max(other.failureRate, kLostRate));
        if (mayEject(other)) {
            eject(other, now);
        }
        m_changed.push_back(member);
    }
}

} // namespace Eelgrasscleat
