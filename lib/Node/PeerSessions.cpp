/// @file
/// Which sessions there are: selection, adoption and closing, and the view of the zone that follows from them.
#include "PeerLink.h"

#include <eelgrasscleat/Node/DispatchNode.h>

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// Interval of the selection of peers.
constexpr Duration kSelectionInterval = std::chrono::milliseconds(200);
/// At the first start of a deployment, the list of instances is taken as complete when none of the zone was registered
/// for this long: all instances register within 300 ms, and reads of the list follow each other after 200 ms. At later
/// starts the first read returns all instances that were registered before.
constexpr Duration kSettleTime = std::chrono::milliseconds(600);
/// A session that neither side has wanted for this long is closed: several statuses.
constexpr Duration kUnwantedTimeout = std::chrono::milliseconds(1000);

} // namespace

/// Instances that register after the start of the deployment don't delay takeovers.
void PeerLink::checkSettled(Instant now)
{
    m_isSettled = m_isSettled || now - m_registeredAt >= kSettleTime;
}

void PeerLink::updatePeerEndpoints()
{
    std::vector<PeerEndpoint> endpoints;
    for (const auto &it : m_peers) {
        endpoints.push_back({ it.first, it.second.registration.address, it.second.registration.port });
    }
    m_network.setPeers(endpoints);
}

void PeerLink::addInstance(const InstanceRegistration &instance)
{
    if (instance.name == m_self.name) {
        return;
    }
    InstanceRegistration &registered = m_registered[instance.name];
    if (registered == instance) {
        return;
    }
    registered = instance;
    if (instance.zone == m_self.zone) {
        m_registeredAt = suspendAwareNow();
    }
    m_selector.add({ instance.name, instance.zone, instance.capacity });
    const auto it = m_peers.find(instance.name);
    if (it != m_peers.end()) {
        it->second.registration = instance;
        it->second.isConnected = false;
        m_events.sessionEnded(instance.name, "moved");
        updatePeerEndpoints();
    }
    m_nextSelectionAt = Instant {};
}

void PeerLink::removeInstance(const InstanceName &name)
{
    if (m_registered.erase(name) == 0) {
        return;
    }
    m_selector.remove(name);
    if (m_peers.count(name) > 0) {
        closeSession(name, "withdrawn");
        updatePeerEndpoints();
    }
}

void PeerLink::closeSession(const InstanceName &name, const std::string &why)
{
    m_peers.erase(name);
    m_events.sessionEnded(name, why);
}

void PeerLink::reset()
{
    m_network.resetConnections();
    m_selector.forgetFailures();
    m_nextSelectionAt = Instant {};
}

/// Opens sessions with newly selected peers, and closes those that neither side wants.
void PeerLink::updateSelection(const std::set<InstanceName> &inUse, Instant now)
{
    m_nextSelectionAt = now + kSelectionInterval;
    m_selector.setSelfOwner(m_status.owner);
    m_selector.setZoneTargets(zoneTargets());
    m_selector.setEvacuatedZones(m_status.evacuated.zones);
    bool changed = false;
    for (const InstanceName &it : m_selector.select(inUse, now)) {
        Peer &peer = m_peers[it];
        if (peer.registration.name.isEmpty()) {
            peer.registration = m_registered.at(it);
            peer.openedAt = now;
            changed = true;
        }
    }
    std::vector<InstanceName> unwanted;
    for (auto &it : m_peers) {
        if (it.second.isReportedOwner && !m_selector.isJobPeer(it.first)) {
            it.second.isReportedOwner = false;
            m_events.peerStatusReceived(it.first, it.second.registration.zone, false, {});
        }
        if (!m_selector.isSelected(it.first) && now - it.second.lastWantedAt > kUnwantedTimeout) {
            unwanted.push_back(it.first);
        }
    }
    for (const InstanceName &it : unwanted) {
        closeSession(it, "not needed");
    }
    if (changed || !unwanted.empty()) {
        updatePeerEndpoints();
    }
}

std::vector<InstanceName> PeerLink::connectedPeers() const
{
    std::vector<InstanceName> peers;
    for (const auto &it : m_peers) {
        if (it.second.isConnected) {
            peers.push_back(it.first);
        }
    }
    return peers;
}

/// Keeps a session with an instance that has selected this one.
/// @returns whether the message is to be processed.
bool PeerLink::adopt(const InstanceName &name, const schema::PeerMessage &message)
{
    const auto registered = m_registered.find(name);
    const bool isWanted =
        message.kind_case() == schema::PeerMessage::kDispatchStatus && message.dispatch_status().wants_session();
    if (registered == m_registered.end() || !isWanted) {
        return false; // An unregistered peer repeats its status.
    }
    Peer &peer = m_peers[name];
    peer.registration = registered->second;
    peer.openedAt = suspendAwareNow();
    updatePeerEndpoints();
    return true;
}

/// @returns the number of targets in the zone, as far as an instance that follows their list has reported it.
std::size_t PeerLink::zoneTargets() const
{
    std::size_t targets = m_status.zoneTargets;
    for (const auto &it : m_peers) {
        if (it.second.registration.zone == m_self.zone && it.second.isConnected) {
            targets = std::max(targets, it.second.zoneTargets);
        }
    }
    return targets;
}

bool PeerLink::isReachable(const InstanceName &name, Instant now) const
{
    const auto it = m_peers.find(name);
    return it != m_peers.end() && it->second.isConnected && now - it->second.lastReceivedAt < kZonePeerTimeout;
}

ZoneView PeerLink::zoneView(Instant now) const
{
    ZoneView view;
    const auto candidates = m_selector.firstCandidates();
    view.hasPeers = m_selector.zonePeers() > 0;
    view.allPeersReachable =
        std::all_of(candidates.begin(), candidates.end(), [&](const InstanceName &it) { return isReachable(it, now); });
    view.isSettled = m_isSettled;
    view.takesOverLate = !m_selector.isCandidate();
    const OwnerPlan plan = m_selector.ownerPlan();
    view.isWeak = targetLimit(m_self.capacity) < plan.targetsPerOwner;
    for (const auto &it : m_peers) {
        if (it.second.registration.zone != m_self.zone || !isReachable(it.first, now)) {
            continue;
        }
        view.hasReachablePeers = true;
        const bool precedes = m_selector.precedesSelf(it.first);
        view.precedingCandidates += it.second.candidate && precedes ? 1 : 0;
        if (it.second.owner) {
            ++view.otherOwners;
            view.ownedTargets += it.second.ownedTargets;
            view.precedingOwners += precedes ? 1 : 0;
            const bool isWeak = targetLimit(it.second.registration.capacity) < plan.targetsPerOwner;
            view.weakOwners += isWeak ? 1 : 0;
            view.strongPrecedingOwners += precedes && !isWeak ? 1 : 0;
        }
    }
    view.ownedTargets = std::max(view.ownedTargets, zoneTargets());
    const std::size_t knownOwners = m_selector.knownZoneOwners(now);
    view.listedOwners = knownOwners > view.otherOwners ? knownOwners - view.otherOwners : 0;
    view.targetsPerOwner = plan.targetsPerOwner;
    view.usefulOwners = plan.owners;
    return view;
}

} // namespace Eelgrasscleat
