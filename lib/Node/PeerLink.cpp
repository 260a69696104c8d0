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

/// Between an owner and the instances whose jobs it runs: a sixth of the silence after which either is taken as gone,
/// and well under the freshness that a start needs.
constexpr Duration kOwnerInterval = std::chrono::milliseconds(80);
/// Between instances of one zone, so that a lost owner is noticed.
constexpr Duration kZoneInterval = std::chrono::milliseconds(200);
/// Between all others: they only pass on the version of the configuration.
constexpr Duration kFarInterval = std::chrono::milliseconds(1000);
/// A peer of the zone that was silent for longer doesn't count as heard.
constexpr Duration kZoneSilence = std::chrono::milliseconds(600);
/// Longest time that a job may have been on its way: less than the silence after which its home gives up on a
/// dispatcher (JobRouterPolicy::dispatcherTimeout), and several intervals of the status messages that the clock comes
/// back with.
constexpr Duration kJobTransit = std::chrono::milliseconds(500);
/// Connections between instances: short, since a takeover waits for them.
constexpr PeerTiming kPeerTiming {
    std::chrono::milliseconds(700),
    std::chrono::milliseconds(100),
    std::chrono::milliseconds(800),
    std::chrono::milliseconds(700),
};

} // namespace

static std::uint64_t microsOf(Instant instant)
{
    return static_cast<std::uint64_t>(instant.time_since_epoch().count());
}

PeerLink::PeerLink(InstanceRegistration self, IncarnationId incarnation, PeerEvents &events)
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

void PeerLink::applyPeers()
{
    std::vector<PeerEndpoint> endpoints;
    for (const auto &it : m_peers) {
        endpoints.push_back({ it.first, it.second.announced.address, it.second.announced.port });
    }
    m_network.setPeers(endpoints);
}

void PeerLink::addInstance(const InstanceRegistration &instance)
{
    if (instance.name == m_self.name) {
        return;
    }
    Peer &peer = m_peers[instance.name];
    if (peer.announced == instance) {
        return;
    }
    const bool moved = !peer.announced.name.isEmpty();
    peer.announced = instance;
    if (moved) {
        peer.up = false;
        m_events.sessionEnded(instance.name, "moved");
    }
    applyPeers();
}

void PeerLink::removeInstance(const InstanceName &name)
{
    if (m_peers.erase(name) > 0) {
        m_events.sessionEnded(name, "withdrawn");
        applyPeers();
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
    message.mutable_dispatch_job()->set_heard_clock_us(it == m_peers.end() ? 0 : it->second.clock);
    m_network.send(peer, std::move(message));
}

void PeerLink::withdrawJob(const InstanceName &peer, std::uint64_t ticket)
{
    schema::PeerMessage message;
    message.mutable_dispatch_cancel()->set_ticket(ticket);
    m_network.send(peer, std::move(message));
}

void PeerLink::endJob(const InstanceName &peer, const JobEnd &end)
{
    schema::PeerMessage message;
    writeEnd(end, *message.mutable_dispatch_end());
    m_network.send(peer, std::move(message));
}

Duration PeerLink::statusInterval(const Peer &peer) const
{
    if (m_status.owner || peer.owner) {
        return kOwnerInterval;
    }
    return peer.announced.zone == m_self.zone ? kZoneInterval : kFarInterval;
}

void PeerLink::sendStatus(const InstanceName &name, Peer &peer, Instant now)
{
    schema::PeerMessage message;
    auto &status = *message.mutable_dispatch_status();
    writeLoad(m_status.load, status);
    status.set_session(peer.session);
    status.set_zone(m_self.zone.value);
    status.set_owner(m_status.owner);
    status.set_candidate(m_status.candidate);
    status.set_sent_us(microsOf(now));
    status.set_heard_age_us(static_cast<std::uint64_t>((now - peer.heardAt).count()));
    status.set_config_version(m_status.configVersion.value);
    peer.lastSentAt = now;
    peer.statusDue = false;
    m_network.send(name, std::move(message));
}

void PeerLink::advance(const SelfStatus &status, Instant now)
{
    const bool changed = status.owner != m_status.owner || status.candidate != m_status.candidate
        || status.configVersion != m_status.configVersion || status.load.draining != m_status.load.draining;
    m_status = status;
    for (const InstanceName &it : std::exchange(m_dropped, {})) {
        const auto peer = m_peers.find(it);
        if (peer == m_peers.end() || !peer->second.up) {
            continue;
        }
        // Whatever was handed over in this session may be incomplete on the other side.
        ++peer->second.session;
        peer->second.statusDue = true;
        writeLog(LogLevel::Warn, "message to peer dropped", { { "peer", it.value } });
        m_events.sessionEnded(it, "message dropped");
    }
    for (auto &it : m_peers) {
        Peer &peer = it.second;
        if (peer.up && (changed || peer.statusDue || now - peer.lastSentAt >= statusInterval(peer))) {
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
        if (it.second.announced.zone != m_self.zone) {
            continue;
        }
        const bool heard = it.second.up && now - it.second.heardAt < kZoneSilence;
        view.hasPeers = true;
        view.hasReachablePeers = view.hasReachablePeers || heard;
        view.allPeersReachable = view.allPeersReachable && heard;
        view.precedingCandidates += heard && it.second.candidate && it.first < m_self.name ? 1 : 0;
        if (heard && it.second.owner) {
            ++view.otherOwners;
            view.ownedTargets += it.second.targets;
            view.isLastOwner = view.isLastOwner && it.first < m_self.name;
        }
    }
    return view;
}

/// Bytes may wait on the way for any time, and the job's home may have given up and its caller have come again
/// meanwhile. The clock that the home handed back was read before the job was sent, so the job is younger than that.
void PeerLink::jobArrived(const InstanceName &name, const schema::DispatchJob &message, Instant now)
{
    JobRequest request = readJob(message, now);
    const std::uint64_t clock = microsOf(now);
    const std::uint64_t heard = message.heard_clock_us();
    const bool isFresh = heard == 0 || (heard <= clock && Duration(clock - heard) <= kJobTransit);
    if (isFresh) {
        m_events.peerSubmitted(name, message.ticket(), std::move(request));
        return;
    }
    writeLog(
        LogLevel::Warn,
        "job held up on its way",
        { { "job", request.id.value }, { "peer", name.value }, { "ms", std::uint64_t { (clock - heard) / 1000 } } });
    JobEnd end;
    end.id = request.id;
    end.ticket = message.ticket();
    end.outcome = JobOutcome::Refused;
    end.reason = JobEndReason::DeliveryDelayed;
    endJob(name, end);
}

/// A connection may pass nothing more without breaking. Only the peer sees that, and says so on its own connection.
void PeerLink::checkDeafness(const InstanceName &name, Peer &peer, Duration heardAge, Instant now)
{
    const Duration limit = kZoneSilence + 2 * statusInterval(peer);
    if (!peer.up || now - peer.upSince < limit || heardAge < limit) {
        return;
    }
    writeLog(LogLevel::Warn,
             "peer hears nothing",
             { { "peer", name.value }, { "for_ms", static_cast<std::uint64_t>(heardAge.count() / 1000) } });
    peer.upSince = now;
    m_network.resetConnection(name);
}

void PeerLink::statusArrived(const InstanceName &name, Peer &peer, const schema::DispatchStatus &message)
{
    if (message.session() != peer.heardSession) {
        peer.heardSession = message.session();
        m_events.sessionEnded(name, "new session");
    }
    checkDeafness(name, peer, Duration(static_cast<Duration::rep>(message.heard_age_us())), peer.heardAt);
    peer.clock = message.sent_us();
    peer.owner = message.owner();
    peer.candidate = message.candidate();
    peer.targets = message.targets();
    peer.configVersion = message.config_version();
    if (message.config_version() > m_status.configVersion.value) {
        schema::PeerMessage request;
        request.mutable_fleet_config_request();
        m_network.send(name, std::move(request));
    }
    m_events.peerStatus(name, ZoneName(message.zone()), message.owner(), readLoad(message));
}

void PeerLink::peerMessageArrived(schema::PeerMessage message)
{
    const InstanceName name(message.from_instance());
    const auto it = m_peers.find(name);
    if (it == m_peers.end()) {
        return; // Not announced yet; it says all again when it is.
    }
    Peer &peer = it->second;
    if (!m_events.peerHeard(name)) {
        return;
    }
    if (!peer.up) {
        m_network.hurry(name);
    }
    peer.heardAt = suspendAwareNow();
    if (message.from_incarnation() != peer.heardIncarnation) {
        peer.heardIncarnation = message.from_incarnation();
        peer.heardSession = 0;
        m_events.sessionEnded(name, "restarted");
    }
    if (message.kind_case() != schema::PeerMessage::kDispatchStatus && peer.heardSession == 0) {
        return; // Of a session whose beginning was lost.
    }
    switch (message.kind_case()) {
    case schema::PeerMessage::kDispatchStatus:
        statusArrived(name, peer, message.dispatch_status());
        break;
    case schema::PeerMessage::kDispatchJob:
        jobArrived(name, message.dispatch_job(), peer.heardAt);
        break;
    case schema::PeerMessage::kDispatchCancel:
        m_events.peerWithdrew(name, message.dispatch_cancel().ticket());
        break;
    case schema::PeerMessage::kDispatchEnd:
        if (const auto end = readEnd(message.dispatch_end())) {
            m_events.peerEnded(name, *end);
        }
        break;
    case schema::PeerMessage::kFleetConfigRequest: {
        schema::PeerMessage answer;
        writeConfiguration(m_events.configuration(), *answer.mutable_fleet_config());
        m_network.send(name, std::move(answer));
        break;
    }
    case schema::PeerMessage::kFleetConfig:
        m_events.configurationOffered(name, readConfiguration(message.fleet_config()));
        break;
    default:
        break; // Messages of the product's own engine.
    }
}

void PeerLink::peerStreamChanged(const InstanceName &name, bool up)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    peer.up = up;
    if (up) {
        // The status goes first: it opens the session on the other side.
        ++peer.session;
        peer.upSince = suspendAwareNow();
        sendStatus(name, peer, peer.upSince);
        writeLog(LogLevel::Info, "peer connected", { { "peer", name.value }, { "session", peer.session } });
        return;
    }
    writeLog(LogLevel::Warn, "peer connection lost", { { "peer", name.value }, { "session", peer.session } });
    m_events.sessionEnded(name, "connection lost");
}

void PeerLink::peerMessageDropped(const InstanceName &name)
{
    // Called from inside a send: what follows from it waits until advance().
    m_dropped.insert(name);
}

void PeerLink::peerProtocolError(const Error &error)
{
    writeLog(LogLevel::Error, error.detail, { { "step", std::string(stepName(error.step)) }, { "peer", error.peer } });
}

} // namespace Eelgrasscleat
