/// @file
/// Messages of sessions and the schedule of statuses.
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
constexpr Duration kJobStatusInterval = std::chrono::milliseconds(80);
/// Interval of all other sessions, which detect the loss of an owner and spread the configuration and the names of
/// owners.
constexpr Duration kWatchStatusInterval = std::chrono::milliseconds(200);
/// Interval of the list of known owners, which is part of some statuses only.
constexpr Duration kOwnerListInterval = std::chrono::milliseconds(600);
/// Maximum time that a job may spend in transit: less than the timeout after which its home declares the dispatcher
/// dead (JobRouterPolicy::dispatcherTimeout), and several intervals of the status messages that carry the clock value.
constexpr Duration kMaxJobTransitTime = std::chrono::milliseconds(500);
/// A message counts as a contact of the time of its arrival only if it can't have been in transit for longer. Two
/// status intervals and their processing; the lease of a run adds to it, and the sum must stay below the time after
/// which a caller resubmits a job, as for DispatcherPolicy::homeStartTimeout.
constexpr Duration kMaxContactDelay = std::chrono::milliseconds(250);
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

PeerLink::PeerLink(InstanceRegistration self,
                   IncarnationId incarnation,
                   PeerEventHandler &events,
                   bool isBootstrap,
                   const PeerSelectionPolicy &policy,
                   const PeerLimits &limits)
    : m_isSettled(!isBootstrap)
    , m_self(std::move(self))
    , m_events(events)
    , m_network(*this, PeerId { m_self.name, incarnation }, {}, kPeerTiming, limits)
    , m_selector(policy, { m_self.name, m_self.zone, m_self.capacity }, incarnation.value)
{
}

Result<Done> PeerLink::start()
{
    m_registeredAt = suspendAwareNow();
    const auto port = m_network.start(m_self.address, m_self.port);
    if (const auto *error = std::get_if<Error>(&port)) {
        return *error;
    }
    return Done {};
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
    const auto it = m_peers.find(peer);
    if (end.reason == JobEndReason::ZoneEvacuated && it != m_peers.end() && !it->second.knowsEvacuations) {
        // Earlier versions drop an end with a reason that they don't know.
        message.mutable_dispatch_end()->set_reason(static_cast<std::uint32_t>(JobEndReason::Stopping));
    }
    m_network.send(peer, std::move(message));
}

void PeerLink::requestTargets(const InstanceName &peer, const ZoneName &zone)
{
    schema::PeerMessage message;
    message.mutable_zone_targets_request()->set_zone(zone.value);
    m_network.send(peer, std::move(message));
}

void PeerLink::returnTargets(const InstanceName &peer,
                             const ZoneName &zone,
                             const std::optional<TargetListing> &listing)
{
    schema::PeerMessage message;
    writeListing(zone, listing, *message.mutable_zone_targets());
    m_network.send(peer, std::move(message));
}

Duration PeerLink::statusInterval(const InstanceName &name, const Peer &peer) const
{
    return peer.wantsJobs || m_selector.isJobPeer(name) ? kJobStatusInterval : kWatchStatusInterval;
}

void PeerLink::sendStatus(const InstanceName &name, Peer &peer, Instant now)
{
    schema::PeerMessage message;
    auto &status = *message.mutable_dispatch_status();
    writeLoad(m_status.load, status);
    status.set_session(peer.outgoingSession);
    status.set_owner(m_status.owner);
    status.set_wants_session(m_selector.isSelected(name));
    status.set_wants_jobs(m_selector.isJobPeer(name));
    status.set_zone_targets(static_cast<std::uint32_t>(m_status.zoneTargets));
    if (now - peer.ownersSentAt >= kOwnerListInterval) {
        peer.ownersSentAt = now;
        for (const InstanceName &it : m_selector.contactedOwners(now)) {
            status.add_known_owners(it.value);
        }
    }
    status.set_candidate(m_status.candidate);
    status.set_sent_us(toMicroseconds(now));
    status.set_heard_clock_us(peer.remoteClockUs);
    status.set_heard_age_us(static_cast<std::uint64_t>((now - std::max(peer.lastReceivedAt, peer.openedAt)).count()));
    status.set_config_version(m_status.configVersion.value);
    status.set_evacuation_version(m_status.evacuated.version);
    for (const ZoneName &it : m_status.evacuated.zones) {
        status.add_evacuated_zones(it.value);
    }
    peer.lastSentAt = now;
    peer.isStatusDue = false;
    m_network.send(name, std::move(message));
}

void PeerLink::advance(const LocalStatus &status, const std::set<InstanceName> &inUse, Instant now)
{
    const bool changed = status.owner != m_status.owner || status.candidate != m_status.candidate
        || status.configVersion != m_status.configVersion || status.load.draining != m_status.load.draining
        || status.evacuated.zones != m_status.evacuated.zones;
    m_status = status;
    checkSettled(now);
    for (const InstanceName &it : std::exchange(m_peersWithDroppedMessages, {})) {
        const auto peer = m_peers.find(it);
        if (peer == m_peers.end() || !peer->second.isConnected) {
            continue;
        }
        // The peer may lack a part of what was sent in this session.
        peer->second.outgoingSession = ++m_lastSession;
        peer->second.isStatusDue = true;
        writeLog(LogLevel::Warn, "message to peer dropped", { { "peer", it.value } });
        m_events.sessionEnded(it, "message dropped");
    }
    if (now >= m_nextSelectionAt) {
        updateSelection(inUse, now);
    }
    for (auto &it : m_peers) {
        Peer &peer = it.second;
        const bool isDue = changed || peer.isStatusDue || now - peer.lastSentAt >= statusInterval(it.first, peer);
        if (peer.isConnected && isDue) {
            sendStatus(it.first, peer, now);
        }
    }
}

/// A message echoes the latest value of this instance's clock that its sender had received, so it was sent after that
/// time. If that is long ago, the message may have been delayed, and counts as a contact of that time only: otherwise
/// the runs of a home that has given up would be kept alive for as long as its messages are delayed.
void PeerLink::recordContact(const InstanceName &name, std::uint64_t echoedClock, Instant now)
{
    const std::uint64_t clock = toMicroseconds(now);
    if (echoedClock == 0) {
        m_events.peerContacted(name, now); // The sender has not received a status yet.
    } else if (echoedClock <= clock) {
        const Duration age(static_cast<Duration::rep>(clock - echoedClock));
        m_events.peerContacted(name, age <= kMaxContactDelay ? now : now - age);
    }
}

/// Refuses a job that may have been delayed in the network, because its home may have declared this dispatcher dead and
/// the caller may have resubmitted the job meanwhile. The message echoes the latest value of this instance's clock that
/// its home had received when it sent the job, so the transit time is at most the age of that value.
void PeerLink::handleJob(const InstanceName &name, const schema::DispatchJob &message, Instant now)
{
    auto request = readJob(message, now);
    const std::uint64_t clock = toMicroseconds(now);
    const std::uint64_t echoedClock = message.heard_clock_us();
    const bool isFresh =
        echoedClock == 0 || (echoedClock <= clock && Duration(clock - echoedClock) <= kMaxJobTransitTime);
    if (isFresh && request) {
        recordContact(name, echoedClock, now);
        m_events.peerSubmittedJob(name, message.ticket(), std::move(*request));
        return;
    }
    writeLog(
        LogLevel::Warn,
        request ? "job delayed in transit" : "job malformed",
        { { "job", message.id() }, { "peer", name.value }, { "ms", std::uint64_t { (clock - echoedClock) / 1000 } } });
    JobEnd end;
    end.id = JobId(message.id());
    end.ticket = message.ticket();
    end.outcome = JobOutcome::Refused;
    end.reason = request ? JobEndReason::DeliveryDelayed : JobEndReason::Malformed;
    reportJobEnd(name, end);
}

/// A connection may stop delivering data without being closed. Only the receiver notices, so the peer reports over its
/// own connection how long ago it received the last message. Resets the connection if that is too long ago.
void PeerLink::checkOutgoingConnection(const InstanceName &name, Peer &peer, Duration lastReceivedAge, Instant now)
{
    const Duration limit = kZonePeerTimeout + 2 * statusInterval(name, peer);
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
        if (peer.incomingSession != 0) {
            m_events.sessionEnded(name, "new session");
        }
        peer.incomingSession = message.session();
    }
    checkOutgoingConnection(
        name, peer, Duration(static_cast<Duration::rep>(message.heard_age_us())), peer.lastReceivedAt);
    peer.remoteClockUs = message.sent_us();
    const Instant now = peer.lastReceivedAt;
    peer.owner = message.owner();
    peer.candidate = message.candidate();
    peer.wantsJobs = message.wants_jobs();
    peer.ownedTargets = message.targets();
    peer.zoneTargets = message.zone_targets();
    if (message.wants_session()) {
        peer.lastWantedAt = now;
    }
    recordContact(name, message.heard_clock_us(), now);
    m_selector.ownerReported(name, message.owner(), now);
    std::vector<InstanceName> listedOwners;
    for (const auto &it : message.known_owners()) {
        listedOwners.emplace_back(it);
    }
    m_selector.ownersListed(listedOwners, now);
    peer.configVersion = message.config_version();
    if (message.config_version() > m_status.configVersion.value) {
        schema::PeerMessage request;
        request.mutable_fleet_config_request();
        m_network.send(name, std::move(request));
    }
    peer.knowsEvacuations = message.evacuation_version() > 0;
    if (message.evacuation_version() > m_status.evacuated.version) {
        EvacuatedZones zones;
        zones.version = message.evacuation_version();
        for (const auto &it : message.evacuated_zones()) {
            zones.zones.emplace(it);
        }
        m_events.peerEvacuationsReceived(name, std::move(zones));
    }
    reportOwner(name, peer, readLoad(message));
}

/// Passes the status on. Jobs may only go to a selected owner: the session with any other may be closed by the peer.
void PeerLink::reportOwner(const InstanceName &name, Peer &peer, const DispatcherLoad &load)
{
    peer.isReportedOwner = peer.owner && m_selector.isJobPeer(name);
    m_events.peerStatusReceived(name, peer.registration.zone, peer.isReportedOwner, load);
}

void PeerLink::peerMessageArrived(schema::PeerMessage message)
{
    const InstanceName name(message.from_instance());
    if (m_peers.count(name) == 0 && !adopt(name, message)) {
        return;
    }
    Peer &peer = m_peers.at(name);
    if (!m_events.peerMessageReceived(name)) {
        return;
    }
    if (!peer.isConnected) {
        m_network.hurry(name);
    }
    peer.lastReceivedAt = suspendAwareNow();
    if (peer.isConnected) {
        m_selector.contacted(name, peer.lastReceivedAt);
    }
    if (message.from_incarnation() != peer.remoteIncarnation) {
        if (peer.remoteIncarnation != 0) {
            m_events.sessionEnded(name, "restarted");
        }
        peer.remoteIncarnation = message.from_incarnation();
        peer.incomingSession = 0;
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
    case schema::PeerMessage::kZoneTargetsRequest:
        m_events.peerRequestedTargets(name, ZoneName(message.zone_targets_request().zone()));
        break;
    case schema::PeerMessage::kZoneTargets:
        m_events.peerReturnedTargets(name, readListing(m_self.zone, message.zone_targets()));
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
        peer.outgoingSession = ++m_lastSession;
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
