/// @file
/// Sessions and the schedule of status messages.
#include "PeerLink.h"

#include "PeerMessages.h"

#include <eelgrasscleat/Node/DispatchNode.h>
#include <eelgrasscleat/Support/Log.h>

#include <algorithm>
#include <utility>

namespace Eelgrasscleat
{

namespace
{

/// Interval between an owner and the instances whose jobs it runs: a sixth of the timeout after which either is
/// declared dead, and well below the maximum status age at which a run may be started.
constexpr Duration kOwnerStatusInterval = std::chrono::milliseconds(80);
/// Interval between instances of one zone, which detects the loss of the owner.
constexpr Duration kZoneStatusInterval = std::chrono::milliseconds(200);
/// Interval between all other instances, which only exchange the version of the configuration.
constexpr Duration kOtherZoneStatusInterval = std::chrono::milliseconds(1000);
/// A peer of the zone counts as unreachable if no message was received for this long.
constexpr Duration kZonePeerTimeout = std::chrono::milliseconds(600);
/// Maximum time that a job may spend in transit: less than the timeout after which its home declares the dispatcher
/// dead (JobRouterPolicy::dispatcherTimeout), and several intervals of the status messages that carry the clock value.
constexpr Duration kMaxJobTransitTime = std::chrono::milliseconds(500);
/// Timeouts of connections between instances. They are short because a takeover waits for them.
constexpr PeerTiming kPeerTiming {
    std::chrono::milliseconds(700),
    std::chrono::milliseconds(100),
    std::chrono::milliseconds(800),
    std::chrono::milliseconds(700),
};

} // namespace

static std::uint64_t toMicroseconds(Instant instant)
{
    return static_cast<std::uint64_t>(instant.time_since_epoch().count());
}

PeerLink::PeerLink(InstanceRegistration self, IncarnationId incarnation, PeerEventHandler &events)
    : m_self(std::move(self))
    , m_events(events)
    , m_network(*this, PeerId { m_self.name, incarnation }, {}, kPeerTiming)
{
}

Result<Done> PeerLink::start()
{
    const auto port = m_network.start(m_self.address, m_self.port);
    if (const auto *error = std::get_if<Error>(&port)) {
        return *error;
    }
    return Done {};
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
    Peer &peer = m_peers[instance.name];
    if (peer.registration == instance) {
        return;
    }
    const bool moved = !peer.registration.name.isEmpty();
    peer.registration = instance;
    if (moved) {
        peer.isConnected = false;
        m_events.sessionEnded(instance.name, "moved");
    }
    updatePeerEndpoints();
}

void PeerLink::removeInstance(const InstanceName &name)
{
    if (m_peers.erase(name) > 0) {
        m_events.sessionEnded(name, "withdrawn");
        updatePeerEndpoints();
    }
}

void PeerLink::reset()
{
    m_network.resetConnections();
}

void PeerLink::submitJob(const InstanceName &peer, std::uint64_t ticket, const JobRequest &request)
{
    schema::PeerMessage message;
    writeJob(request, ticket, suspendAwareNow(), *message.mutable_dispatch_job());
    const auto it = m_peers.find(peer);
    message.mutable_dispatch_job()->set_heard_clock_us(it == m_peers.end() ? 0 : it->second.remoteClockUs);
    m_network.send(peer, std::move(message));
}

void PeerLink::cancelJob(const InstanceName &peer, std::uint64_t ticket)
{
    schema::PeerMessage message;
    message.mutable_dispatch_cancel()->set_ticket(ticket);
    m_network.send(peer, std::move(message));
}

void PeerLink::reportJobEnd(const InstanceName &peer, const JobEnd &end)
{
    schema::PeerMessage message;
    writeEnd(end, *message.mutable_dispatch_end());
    m_network.send(peer, std::move(message));
}

Duration PeerLink::statusInterval(const Peer &peer) const
{
    if (m_status.owner || peer.owner) {
        return kOwnerStatusInterval;
    }
    return peer.registration.zone == m_self.zone ? kZoneStatusInterval : kOtherZoneStatusInterval;
}

void PeerLink::sendStatus(const InstanceName &name, Peer &peer, Instant now)
{
    schema::PeerMessage message;
    auto &status = *message.mutable_dispatch_status();
    writeLoad(m_status.load, status);
    status.set_session(peer.outgoingSession);
    status.set_zone(m_self.zone.value);
    status.set_owner(m_status.owner);
    status.set_candidate(m_status.candidate);
    status.set_sent_us(toMicroseconds(now));
    status.set_heard_age_us(static_cast<std::uint64_t>((now - peer.lastReceivedAt).count()));
    status.set_config_version(m_status.configVersion.value);
    peer.lastSentAt = now;
    peer.isStatusDue = false;
    m_network.send(name, std::move(message));
}

void PeerLink::advance(const LocalStatus &status, Instant now)
{
    const bool changed = status.owner != m_status.owner || status.candidate != m_status.candidate
        || status.configVersion != m_status.configVersion || status.load.draining != m_status.load.draining;
    m_status = status;
    for (const InstanceName &it : std::exchange(m_peersWithDroppedMessages, {})) {
        const auto peer = m_peers.find(it);
        if (peer == m_peers.end() || !peer->second.isConnected) {
            continue;
        }
        // The peer may lack a part of what was sent in this session.
        ++peer->second.outgoingSession;
        peer->second.isStatusDue = true;
        writeLog(LogLevel::Warn, "message to peer dropped", { { "peer", it.value } });
        m_events.sessionEnded(it, "message dropped");
    }
    for (auto &it : m_peers) {
        Peer &peer = it.second;
        if (peer.isConnected && (changed || peer.isStatusDue || now - peer.lastSentAt >= statusInterval(peer))) {
            sendStatus(it.first, peer, now);
        }
    }
}

ZoneView PeerLink::zoneView(Instant now) const
{
    ZoneView view;
    view.isLastOwner = true;
    view.allPeersReachable = true;
    for (const auto &it : m_peers) {
        if (it.second.registration.zone != m_self.zone) {
            continue;
        }
        const bool isReachable = it.second.isConnected && now - it.second.lastReceivedAt < kZonePeerTimeout;
        view.hasPeers = true;
        view.hasReachablePeers = view.hasReachablePeers || isReachable;
        view.allPeersReachable = view.allPeersReachable && isReachable;
        view.precedingCandidates += isReachable && it.second.candidate && it.first < m_self.name ? 1 : 0;
        if (isReachable && it.second.owner) {
            ++view.otherOwners;
            view.ownedTargets += it.second.ownedTargets;
            view.isLastOwner = view.isLastOwner && it.first < m_self.name;
        }
    }
    return view;
}

/// Refuses a job that may have been delayed in the network, because its home may have declared this dispatcher dead and
/// the caller may have resubmitted the job meanwhile. The message echoes the latest value of this instance's clock that
/// its home had received when it sent the job, so the transit time is at most the age of that value.
void PeerLink::handleJob(const InstanceName &name, const schema::DispatchJob &message, Instant now)
{
    JobRequest request = readJob(message, now);
    const std::uint64_t clock = toMicroseconds(now);
    const std::uint64_t echoedClock = message.heard_clock_us();
    const bool isFresh =
        echoedClock == 0 || (echoedClock <= clock && Duration(clock - echoedClock) <= kMaxJobTransitTime);
    if (isFresh) {
        m_events.peerSubmittedJob(name, message.ticket(), std::move(request));
        return;
    }
    writeLog(LogLevel::Warn,
             "job delayed in transit",
             { { "job", request.id.value },
               { "peer", name.value },
               { "ms", std::uint64_t { (clock - echoedClock) / 1000 } } });
    JobEnd end;
    end.id = request.id;
    end.ticket = message.ticket();
    end.outcome = JobOutcome::Refused;
    end.reason = JobEndReason::DeliveryDelayed;
    reportJobEnd(name, end);
}

/// A connection may stop delivering data without being closed. Only the receiver notices, so the peer reports over its
/// own connection how long ago it received the last message. Resets the connection if that is too long ago.
void PeerLink::checkOutgoingConnection(const InstanceName &name, Peer &peer, Duration lastReceivedAge, Instant now)
{
    const Duration limit = kZonePeerTimeout + 2 * statusInterval(peer);
    if (!peer.isConnected || now - peer.connectedSince < limit || lastReceivedAge < limit) {
        return;
    }
    writeLog(LogLevel::Warn,
             "peer receives no messages",
             { { "peer", name.value }, { "for_ms", static_cast<std::uint64_t>(lastReceivedAge.count() / 1000) } });
    peer.connectedSince = now;
    m_network.resetConnection(name);
}

void PeerLink::handleStatus(const InstanceName &name, Peer &peer, const schema::DispatchStatus &message)
{
    if (message.session() != peer.incomingSession) {
        peer.incomingSession = message.session();
        m_events.sessionEnded(name, "new session");
    }
    checkOutgoingConnection(
        name, peer, Duration(static_cast<Duration::rep>(message.heard_age_us())), peer.lastReceivedAt);
    peer.remoteClockUs = message.sent_us();
    peer.owner = message.owner();
    peer.candidate = message.candidate();
    peer.ownedTargets = message.targets();
    peer.configVersion = message.config_version();
    if (message.config_version() > m_status.configVersion.value) {
        schema::PeerMessage request;
        request.mutable_fleet_config_request();
        m_network.send(name, std::move(request));
    }
    m_events.peerStatusReceived(name, ZoneName(message.zone()), message.owner(), readLoad(message));
}

void PeerLink::peerMessageArrived(schema::PeerMessage message)
{
    const InstanceName name(message.from_instance());
    const auto it = m_peers.find(name);
    if (it == m_peers.end()) {
        return; // Not registered yet; the peer repeats its status.
    }
    Peer &peer = it->second;
    if (!m_events.peerMessageReceived(name)) {
        return;
    }
    if (!peer.isConnected) {
        m_network.hurry(name);
    }
    peer.lastReceivedAt = suspendAwareNow();
    if (message.from_incarnation() != peer.remoteIncarnation) {
        peer.remoteIncarnation = message.from_incarnation();
        peer.incomingSession = 0;
        m_events.sessionEnded(name, "restarted");
    }
    if (message.kind_case() != schema::PeerMessage::kDispatchStatus && peer.incomingSession == 0) {
        return; // The start of the session was lost.
    }
    switch (message.kind_case()) {
    case schema::PeerMessage::kDispatchStatus:
        handleStatus(name, peer, message.dispatch_status());
        break;
    case schema::PeerMessage::kDispatchJob:
        handleJob(name, message.dispatch_job(), peer.lastReceivedAt);
        break;
    case schema::PeerMessage::kDispatchCancel:
        m_events.peerCanceledJob(name, message.dispatch_cancel().ticket());
        break;
    case schema::PeerMessage::kDispatchEnd:
        if (const auto end = readEnd(message.dispatch_end())) {
            m_events.peerReportedJobEnd(name, *end);
        }
        break;
    case schema::PeerMessage::kFleetConfigRequest: {
        schema::PeerMessage answer;
        writeConfiguration(m_events.configuration(), *answer.mutable_fleet_config());
        m_network.send(name, std::move(answer));
        break;
    }
    case schema::PeerMessage::kFleetConfig:
        m_events.peerConfigurationReceived(name, readConfiguration(message.fleet_config()));
        break;
    default:
        break; // Messages that only entry instances use.
    }
}

void PeerLink::peerStreamChanged(const InstanceName &name, bool up)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    peer.isConnected = up;
    if (up) {
        // The status must be the first message, since it starts the session at the peer.
        ++peer.outgoingSession;
        peer.connectedSince = suspendAwareNow();
        sendStatus(name, peer, peer.connectedSince);
        writeLog(LogLevel::Info, "peer connected", { { "peer", name.value }, { "session", peer.outgoingSession } });
        return;
    }
    writeLog(LogLevel::Warn, "peer connection lost", { { "peer", name.value }, { "session", peer.outgoingSession } });
    m_events.sessionEnded(name, "connection lost");
}

void PeerLink::peerMessageDropped(const InstanceName &name)
{
    // Called from within send(), so the session is ended by the next advance().
    m_peersWithDroppedMessages.insert(name);
}

void PeerLink::peerProtocolError(const Error &error)
{
    writeLog(LogLevel::Error, error.detail, { { "step", std::string(stepName(error.step)) }, { "peer", error.peer } });
}

} // namespace Eelgrasscleat
