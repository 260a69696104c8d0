/// @file
/// Sessions with selected peers: their latest status, and the schedule of status messages to them. A session ends when
/// a connection in either direction is lost; all jobs that were handed over in it are then abandoned.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Dispatch/PeerSelector.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Wire/PeerNetwork.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

/// A peer of the zone counts as unreachable if no message was received for this long.
constexpr Duration kZonePeerTimeout = std::chrono::milliseconds(600);

/// Status of this instance that is sent to peers.
struct LocalStatus
{
    bool owner = false;
    bool candidate = false; ///< Takes over if its zone has no owner.
    DispatcherLoad load;
    ConfigVersion configVersion;
    EvacuatedZones evacuated;
    std::size_t zoneTargets = 0; ///< Listed targets in this instance's zone; 0 if it doesn't follow the list.
};

/// Receives the messages of peers and the state of their sessions.
class PeerEventHandler
{
public:
    virtual ~PeerEventHandler() = default;
    /// Called for each message of a peer, before the handler of its type.
    /// @returns false if the message is too old to be processed.
    virtual bool peerMessageReceived(const InstanceName &peer) = 0;
    /// The peer was alive at @p when, which may be before now: its message may have been delayed in transit.
    virtual void peerContacted(const InstanceName &peer, Instant when) = 0;
    /// @param owner whether the peer owns targets on which jobs of this instance may run
    virtual void
    peerStatusReceived(const InstanceName &peer, const ZoneName &zone, bool owner, const DispatcherLoad &load) = 0;
    virtual void sessionEnded(const InstanceName &peer, const std::string &why) = 0;
    /// Called before peerStatusReceived() if the peer knows of evacuations as of a later version than this instance.
    virtual void peerEvacuationsReceived(const InstanceName &peer, EvacuatedZones zones) = 0;
    virtual void peerSubmittedJob(const InstanceName &peer, std::uint64_t ticket, JobRequest request) = 0;
    virtual void peerCanceledJob(const InstanceName &peer, std::uint64_t ticket) = 0;
    virtual void peerReportedJobEnd(const InstanceName &peer, const JobEnd &end) = 0;
    virtual void peerConfigurationReceived(const InstanceName &peer, FleetConfiguration configuration) = 0;
    /// @returns the current configuration, to answer a peer's request.
    virtual const FleetConfiguration &configuration() = 0;
    /// The peer can't read the targets of its zone from the store; to be answered by PeerLink::returnTargets().
    virtual void peerRequestedTargets(const InstanceName &peer, const ZoneName &zone) = 0;
    /// Answers PeerLink::requestTargets(). @param listing nothing if the peer can't read the list either
    virtual void peerReturnedTargets(const InstanceName &peer, const std::optional<TargetListing> &listing) = 0;
};

/// Exchanges messages with the peers that this instance has selected, and with those that have selected it.
class PeerLink : public PeerNetworkHandler
{
public:
    /// @param isBootstrap whether the whole deployment starts for the first time
    PeerLink(InstanceRegistration self,
             IncarnationId incarnation,
             PeerEventHandler &events,
             bool isBootstrap = false,
             const PeerSelectionPolicy &policy = {},
             const PeerLimits &limits = {});

    Result<Done> start();
    /// Adds an instance, or updates its address.
    void addInstance(const InstanceRegistration &instance);
    void removeInstance(const InstanceName &name);
    /// Closes all connections.
    void reset();

    void submitJob(const InstanceName &peer, std::uint64_t ticket, const JobRequest &request);
    void cancelJob(const InstanceName &peer, std::uint64_t ticket);
    void reportJobEnd(const InstanceName &peer, const JobEnd &end);
    void requestTargets(const InstanceName &peer, const ZoneName &zone);
    /// @param listing nothing if the store doesn't return it
    void returnTargets(const InstanceName &peer, const ZoneName &zone, const std::optional<TargetListing> &listing);

    /// Sends the status to all peers for which it is due, ends sessions in which a message was dropped, and selects
    /// peers anew.
    /// @param inUse dispatchers with open jobs of this instance
    void advance(const LocalStatus &status, const std::set<InstanceName> &inUse, Instant now);
    /// @returns the number of sessions, for metrics.
    [[nodiscard]] std::size_t sessions() const
    {
        return m_peers.size();
    }
    /// @returns the number of incoming connections that were closed because of the limits.
    [[nodiscard]] std::uint64_t connectionsEvicted() const
    {
        return m_network.connectionsEvicted();
    }
    /// @returns the peers to which messages can be sent, in the order of their names.
    [[nodiscard]] std::vector<InstanceName> connectedPeers() const;
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
        Instant openedAt {};
        Instant lastReceivedAt {};
        Instant lastSentAt {};
        std::uint64_t remoteClockUs = 0; ///< The peer's clock in its latest status; 0 before the first status.
        bool owner = false;
        bool candidate = false;
        bool wantsJobs = false; ///< The peer may submit jobs to this instance.
        bool isReportedOwner = false; ///< Reported to the handler as an owner.
        std::size_t ownedTargets = 0; ///< Usable targets that the peer owns.
        std::size_t zoneTargets = 0; ///< Listed targets in the peer's zone.
        bool isStatusDue = true;
        std::uint64_t configVersion = 0;
        Instant lastWantedAt {}; ///< Latest status of a peer that has selected this instance.
        Instant ownersSentAt {}; ///< When the known owners were last sent to the peer.
        bool knowsEvacuations = false; ///< Its statuses tell of evacuated zones; those of earlier versions don't.
    };

    void checkSettled(Instant now);
    void updatePeerEndpoints();
    void updateSelection(const std::set<InstanceName> &inUse, Instant now);
    void closeSession(const InstanceName &name, const std::string &why);
    void reportOwner(const InstanceName &name, Peer &peer, const DispatcherLoad &load);
    [[nodiscard]] bool adopt(const InstanceName &name, const schema::PeerMessage &message);
    [[nodiscard]] bool isReachable(const InstanceName &name, Instant now) const;
    [[nodiscard]] std::size_t zoneTargets() const;
    void recordContact(const InstanceName &name, std::uint64_t echoedClock, Instant now);
    void handleJob(const InstanceName &name, const schema::DispatchJob &message, Instant now);
    void checkOutgoingConnection(const InstanceName &name, Peer &peer, Duration lastReceivedAge, Instant now);
    void sendStatus(const InstanceName &name, Peer &peer, Instant now);
    void handleStatus(const InstanceName &name, Peer &peer, const schema::DispatchStatus &message);
    [[nodiscard]] Duration statusInterval(const InstanceName &name, const Peer &peer) const;

    bool m_isSettled; ///< The list of the zone's instances is probably complete.
    InstanceRegistration m_self;
    PeerEventHandler &m_events;
    PeerNetwork m_network;
    PeerSelector m_selector;
    std::map<InstanceName, InstanceRegistration> m_registered; ///< All other instances.
    std::map<InstanceName, Peer> m_peers; ///< Peers with sessions: selected, or having selected this instance.
    std::uint64_t m_lastSession = 0;
    Instant m_nextSelectionAt {};
    Instant m_registeredAt {}; ///< When an instance of the zone was last registered.
    LocalStatus m_status;
    std::set<InstanceName> m_peersWithDroppedMessages; ///< Since the last advance().
};

} // namespace Eelgrasscleat
