/// @file
/// The list of targets: its entries, its age, and the crashes of targets that owners publish.
#include "NodeImpl.h"

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// An owner's list of targets is out of date when it was not read in full for longer: somewhat more than a read waits
/// for a record.
constexpr Duration kMaxTargetListAge = std::chrono::seconds(2);

} // namespace

/// @returns the number of listed targets in this instance's zone; 0 while it doesn't follow the list.
std::size_t DispatchNode::Impl::zoneTargets() const
{
    const auto &targets = m_targets.targets();
    return static_cast<std::size_t>(std::count_if(
        targets.begin(), targets.end(), [this](const auto &it) { return it.second.zone == m_settings.self.zone; }));
}

ShardNumber DispatchNode::Impl::shardOfTarget(const TargetName &target) const
{
    return shardOf(target, m_settings.shards);
}

void DispatchNode::Impl::assignTargetIfOwned(const DispatchTarget &target)
{
    const auto it = m_ownedShards.find(shardOfTarget(target.name));
    if (it != m_ownedShards.end() && target.zone == m_settings.self.zone) {
        m_dispatcher.targetOwned(target, it->second, m_now);
    }
}

void DispatchNode::Impl::assignOwnedTargets()
{
    for (const auto &it : m_targets.targets()) {
        assignTargetIfOwned(it.second);
    }
}

/// Starts by a list that is out of date may exceed a capacity that has shrunk, or go to a target that is leaving.
void DispatchNode::Impl::checkTargetList()
{
    const Duration age = m_now - m_targetsConfirmedAt;
    const bool isStale = !m_ownedShards.empty() && age > kMaxTargetListAge;
    if (isStale == m_isTargetListStale) {
        return;
    }
    m_isTargetListStale = isStale;
    m_log.recordEvent(isStale ? "target list out of date" : "target list up to date",
                      { { "age_ms", static_cast<std::uint64_t>(age.count() / 1000) } });
}

void DispatchNode::Impl::targetUpdated(const DispatchTarget &target)
{
    beginEvent();
    if (!m_targets.set(target)) {
        return;
    }
    m_dispatcher.targetListed(target, m_now);
    assignTargetIfOwned(target);
    runDeferredCalls();
}

void DispatchNode::Impl::targetRemoved(const TargetName &target)
{
    beginEvent();
    m_targets.entryRemoved(target, m_now);
}

void DispatchNode::Impl::targetListReceived(const std::vector<DispatchTarget> &targets)
{
    beginEvent();
    m_targets.replace(targets, m_now);
    for (const DispatchTarget &it : targets) {
        m_dispatcher.targetListed(it, m_now);
    }
    m_log.recordEvent("targets listed", { { "targets", std::uint64_t { targets.size() } } });
    assignOwnedTargets();
    runDeferredCalls();
}

void DispatchNode::Impl::targetListConfirmed()
{
    beginEvent();
    m_targetsConfirmedAt = m_now;
}

void DispatchNode::Impl::crashPublished(const TargetCrash &crash)
{
    beginEvent();
    if (m_dispatcher.crashLearned(crash, m_now)) {
        m_log.targetChanged("crash_learned", crash.target.name, crash.suspects.size(), m_now);
    }
    runDeferredCalls();
}

void DispatchNode::Impl::crashWithdrawn(const TargetLife &target)
{
    beginEvent();
    m_dispatcher.crashWithdrawn(target);
}

} // namespace Eelgrasscleat
