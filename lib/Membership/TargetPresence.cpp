/// @file
/// Evaluates the signals that a target is leaving.
#include <eelgrasscleat/Membership/TargetPresence.h>

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// A list that lacks more than this part of the configured targets is not believed where it says live.
constexpr std::size_t MissingDivisor = 3;

} // namespace

TargetPresence::TargetPresence(Duration signalLifetime)
    : m_signalLifetime(signalLifetime)
{
}

void TargetPresence::setConfigured(const std::set<TargetName> &targets, const std::set<TargetName> &draining)
{
    std::erase_if(m_targets, [&targets](const auto &entry) { return !targets.contains(entry.first); });
    for (const TargetName &target : targets) {
        m_targets[target].draining = draining.contains(target);
    }
}

void TargetPresence::applyListing(const InstanceListing &listing, Instant now)
{
    const auto missing = std::count_if(m_targets.begin(), m_targets.end(), [&listing](const auto &entry) {
        return !listing.live.contains(entry.first) && !listing.leaving.contains(entry.first);
    });
    const bool isBelieved = static_cast<std::size_t>(missing) * MissingDivisor <= m_targets.size();
    for (auto &[target, signals] : m_targets) {
        if (listing.leaving.contains(target)) {
            signals.listedLeaving = true;
            signals.listedLeavingAt = now;
        } else if (isBelieved && listing.live.contains(target)) {
            signals.listedLeaving = false;
        }
    }
}

void TargetPresence::recordRefusal(const TargetName &target, Instant now)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.refusedAt = now;
    }
}

void TargetPresence::recordPeerReport(const TargetName &target, Instant now)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.reportedAt = now;
    }
}

void TargetPresence::recordTaskRun(const TargetName &target, Instant startedAt)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    LeavingSignals &signals = it->second;
    if (signals.refusedAt && startedAt > *signals.refusedAt) {
        signals.refusedAt.reset();
    }
    if (signals.reportedAt && startedAt > *signals.reportedAt) {
        signals.reportedAt.reset();
    }
}

std::vector<PresenceChange> TargetPresence::takeChanges(Instant now)
{
    std::vector<PresenceChange> changes;
    for (auto &[target, signals] : m_targets) {
        const bool leaving = isLeaving(signals, now);
        if (leaving == signals.lastReturned) {
            continue;
        }
        signals.lastReturned = leaving;
        changes.push_back({ .target = target, .leaving = leaving });
    }
    return changes;
}

bool TargetPresence::isLeaving(const TargetName &target, Instant now) const
{
    const auto it = m_targets.find(target);
    return it != m_targets.end() && isLeaving(it->second, now);
}

std::vector<TargetName> TargetPresence::recentRefusals(Instant now) const
{
    std::vector<TargetName> targets;
    for (const auto &[target, signals] : m_targets) {
        if (isRecent(signals.refusedAt, now)) {
            targets.push_back(target);
        }
    }
    return targets;
}

bool TargetPresence::isRecent(const std::optional<Instant> &receivedAt, Instant now) const
{
    return receivedAt && now - *receivedAt < m_signalLifetime;
}

bool TargetPresence::isLeaving(const LeavingSignals &signals, Instant now) const
{
    if (signals.draining || signals.listedLeaving) {
        return true;
    }
    return isRecent(signals.listedLeavingAt, now) || isRecent(signals.refusedAt, now)
        || isRecent(signals.reportedAt, now);
}

} // namespace Eelgrasscleat
