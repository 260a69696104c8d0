/// @file
/// The list of targets: its entries, its age, and the crashes of targets that owners publish.
#include "NodeImpl.h"

#include <algorithm>

namespace Eelgrasscleat
{

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

/// Starts by a list that is out of date may exceed a capacity that has shrunk, or go to a target that is leaving. A
/// store that turns this instance away may serve others, so a peer is asked to read the list.
void DispatchNode::Impl::refreshTargetList()
{
    const Duration age = m_targetListRefresh.age(m_now);
    const bool isStale = !m_ownedShards.empty() && m_targetListRefresh.isStale(m_now);
    if (isStale != m_isTargetListStale) {
        m_isTargetListStale = isStale;
        m_log.recordEvent(isStale ? "target list out of date" : "target list up to date",
                          { { "age_ms", static_cast<std::uint64_t>(age.count() / 1000) } });
    }
    if (m_ownedShards.empty()) {
        return;
    }
    if (const auto peer = m_targetListRefresh.advance(m_peerLink.connectedPeers(), m_now)) {
        m_peerLink.requestTargets(*peer, m_settings.self.zone);
    }
}

void DispatchNode::Impl::peerRequestedTargets(const InstanceName &peer, const ZoneName &zone)
{
    m_store->readTargets(zone, [this, peer, zone](const Result<TargetListing> &result) {
        if (const auto *error = std::get_if<Error>(&result)) {
            m_log.recordEvent("target list not read for a peer",
                              { { "peer", peer.value }, { "detail", error->detail } });
            m_peerLink.returnTargets(peer, zone, std::nullopt);
            return;
        }
        m_peerLink.returnTargets(peer, zone, std::get<TargetListing>(result));
    });
}

void DispatchNode::Impl::peerReturnedTargets(const InstanceName &peer, const std::optional<TargetListing> &listing)
{
    if (!listing) {
        m_targetListRefresh.refused(peer);
        return;
    }
    if (!m_targetListRefresh.answered(peer)) {
        return; // A late answer.
    }
    if (!m_isTargetListRelayed) {
        m_isTargetListRelayed = true;
        m_log.recordEvent("target list read by a peer",
                          { { "peer", peer.value }, { "targets", std::uint64_t { listing->targets.size() } } });
    }
    applyListing(*listing);
    runDeferredCalls();
}

void DispatchNode::Impl::targetUpdated(const DispatchTarget &target, std::uint64_t version)
{
    beginEvent();
    if (!m_targets.set(target, version)) {
        return;
    }
    m_dispatcher.targetListed(target, m_now);
    assignTargetIfOwned(target);
    runDeferredCalls();
}

void DispatchNode::Impl::targetRemoved(const TargetName &target, std::uint64_t version)
{
    beginEvent();
    m_targets.entryRemoved(target, version, m_now);
}

void DispatchNode::Impl::targetListReceived(const TargetListing &listing)
{
    beginEvent();
    m_log.recordEvent("targets listed", { { "targets", std::uint64_t { listing.targets.size() } } });
    applyListing(listing);
    runDeferredCalls();
}

void DispatchNode::Impl::applyListing(const TargetListing &listing)
{
    if (!m_targets.replace(listing, m_now)) {
        return;
    }
    for (const DispatchTarget &it : listing.targets) {
        m_dispatcher.targetListed(it, m_now);
    }
    assignOwnedTargets();
}

void DispatchNode::Impl::targetListConfirmed()
{
    beginEvent();
    m_targetListRefresh.confirmed(m_now);
    m_isTargetListRelayed = false;
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
