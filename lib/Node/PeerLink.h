/// @file
/// Sessions with the other instances: their latest status, and the schedule of status messages to them. A session ends
/// when a connection in either direction is lost; all jobs that were handed over in it are then abandoned.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Wire/PeerNetwork.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

/// Status of this instance that is sent to peers.
struct LocalStatus
{
    bool owner = false;
    bool candidate = false; ///< Takes over if its zone has no owner.
    DispatcherLoad load;
    ConfigVersion configVersion;
};

/// Receives the messages of peers and the state of their sessions.
class PeerEventHandler
{
public:
    virtual ~PeerEventHandler() = default;
    /// Called for each message of a peer, before the handler of its type.
    /// @returns false if the message is too old to be processed.
    virtual bool peerMessageReceived(const InstanceName &peer) = 0;
    virtual void
    peerStatusReceived(const InstanceName &peer, const ZoneName &zone, bool owner, const DispatcherLoad &load) = 0;
    virtual void sessionEnded(const InstanceName &peer, const std::string &why) = 0;
    virtual void peerSubmittedJob(const InstanceName &peer, std::uint64_t ticket, JobRequest request) = 0;
    virtual void peerCanceledJob(const InstanceName &peer, std::uint64_t ticket) = 0;
    virtual void peerReportedJobEnd(const InstanceName &peer, const JobEnd &end) = 0;
    virtual void peerConfigurationReceived(const InstanceName &peer, FleetConfiguration configuration) = 0;
    /// @returns the current configuration, to answer a peer's request.
    virtual const FleetConfiguration &configuration() = 0;
};

/// Exchanges messages with all other instances.
class PeerLink : public PeerNetworkHandler
{
public:
    PeerLink(InstanceRegistration self, IncarnationId incarnation, PeerEventHandler &events);

    Result<Done> start();
    /// Adds an instance, or updates its address.
    void addInstance(const InstanceRegistration &instance);
    void removeInstance(const InstanceName &name);
    /// Closes all connections.
    void reset();

    void submitJob(const InstanceName &peer, std::uint64_t ticket, const JobRequest &request);
    void cancelJob(const InstanceName &peer, std::uint64_t ticket);
    void reportJobEnd(const InstanceName &peer, const JobEnd &end);

    /// Sends the status to all peers for which it is due, and ends sessions in which a message was dropped.
    void advance(const LocalStatus &status, Instant now);
    /// @returns the known state of the other instances in this instance's zone.
    [[nodiscard]] ZoneView zoneView(Instant now) const;

    void peerMessageArrived(schema::PeerMessage message) override;
    void peerStreamChanged(const InstanceName &peer, bool up) override;
    void peerMessageDropped(const InstanceName &peer) override;
    void peerProtocolError(const Error &error) override;

private:
    struct Peer
    {
        InstanceRegistration registration;
        bool isConnected = false;
        Instant connectedSince {}; ///< Also set when the connection is reset.
        std::uint64_t outgoingSession = 0; ///< Session of messages to the peer.
        std::uint64_t remoteIncarnation = 0;
        std::uint64_t incomingSession = 0;
        Instant lastReceivedAt {};
        Instant lastSentAt {};
        std::uint64_t remoteClockUs = 0; ///< The peer's clock in its latest status; 0 before the first status.
        bool owner = false;
        bool candidate = false;
        std::size_t ownedTargets = 0; ///< Usable targets that the peer owns.
        bool isStatusDue = true;
        std::uint64_t configVersion = 0;
    };

    void updatePeerEndpoints();
    void handleJob(const InstanceName &name, const schema::DispatchJob &message, Instant now);
    void checkOutgoingConnection(const InstanceName &name, Peer &peer, Duration lastReceivedAge, Instant now);
    void sendStatus(const InstanceName &name, Peer &peer, Instant now);
    void handleStatus(const InstanceName &name, Peer &peer, const schema::DispatchStatus &message);
    [[nodiscard]] Duration statusInterval(const Peer &peer) const;

    InstanceRegistration m_self;
    PeerEventHandler &m_events;
    PeerNetwork m_network;
    std::map<InstanceName, Peer> m_peers;
    LocalStatus m_status;
    std::set<InstanceName> m_peersWithDroppedMessages; ///< Since the last advance().
};

} // namespace Eelgrasscleat
