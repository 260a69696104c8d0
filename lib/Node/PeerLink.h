/// @file
/// The other instances: sessions with them, what they last said, and when each is to hear from this one. A session ends
/// with any break of a connection in either direction; all work handed over in it is void then.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Wire/PeerNetwork.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

/// What this instance says of itself.
struct SelfStatus
{
    bool owner = false;
    bool candidate = false; ///< It takes over if its zone has no owner.
    DispatcherLoad load;
    ConfigVersion configVersion;
};

/// What peers do.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;
    /// A message of a peer arrived; comes before the more specific events.
    /// @returns false if it is too old to be acted on.
    virtual bool peerHeard(const InstanceName &peer) = 0;
    virtual void peerStatus(const InstanceName &peer, const ZoneName &zone, bool owner, const DispatcherLoad &load) = 0;
    /// The session with a peer ended.
    virtual void sessionEnded(const InstanceName &peer, const std::string &why) = 0;
    virtual void peerSubmitted(const InstanceName &peer, std::uint64_t ticket, JobRequest request) = 0;
    virtual void peerWithdrew(const InstanceName &peer, std::uint64_t ticket) = 0;
    virtual void peerEnded(const InstanceName &peer, const JobEnd &end) = 0;
    virtual void configurationOffered(const InstanceName &peer, FleetConfiguration configuration) = 0;
    /// A peer asks for the configuration. @returns the one in force.
    virtual const FleetConfiguration &configuration() = 0;
};

/// The link.
class PeerLink : public PeerNetworkHandler
{
public:
    PeerLink(InstanceRegistration self, IncarnationId incarnation, PeerEvents &events);

    Result<Done> start();
    /// An instance was announced, or withdrew.
    void addInstance(const InstanceRegistration &instance);
    void removeInstance(const InstanceName &name);
    /// Breaks all connections.
    void reset();

    void submitJob(const InstanceName &peer, std::uint64_t ticket, const JobRequest &request);
    void withdrawJob(const InstanceName &peer, std::uint64_t ticket);
    void endJob(const InstanceName &peer, const JobEnd &end);

    /// Sends the status to all peers for which it is due.
    void advance(const SelfStatus &status, Instant now);
    /// @returns what is known of this instance's zone.
    [[nodiscard]] ZoneView zoneView(Instant now) const;

    void peerMessageArrived(schema::PeerMessage message) override;
    void peerStreamChanged(const InstanceName &peer, bool up) override;
    void peerMessageDropped(const InstanceName &peer) override;
    void peerProtocolError(const Error &error) override;

private:
    struct Peer
    {
        InstanceRegistration announced;
        bool up = false;
        Instant upSince {};
        std::uint64_t session = 0; ///< Of messages to the peer.
        std::uint64_t heardIncarnation = 0;
        std::uint64_t heardSession = 0;
        Instant heardAt {};
        Instant lastSentAt {};
        std::uint64_t clock = 0; ///< The peer's clock in its latest status, in microseconds; 0: none yet.
        bool owner = false;
        bool candidate = false;
        std::size_t targets = 0; ///< Usable targets that it owns.
        bool statusDue = true;
        std::uint64_t configVersion = 0;
    };

    void applyPeers();
    void jobArrived(const InstanceName &name, const schema::DispatchJob &message, Instant now);
    void checkDeafness(const InstanceName &name, Peer &peer, Duration heardAge, Instant now);
    void sendStatus(const InstanceName &name, Peer &peer, Instant now);
    void statusArrived(const InstanceName &name, Peer &peer, const schema::DispatchStatus &message);
    [[nodiscard]] Duration statusInterval(const Peer &peer) const;

    InstanceRegistration m_self;
    PeerEvents &m_events;
    PeerNetwork m_network;
    std::map<InstanceName, Peer> m_peers;
    SelfStatus m_status;
    std::set<InstanceName> m_dropped; ///< Peers to which a message was dropped since advance().
};

} // namespace Eelgrasscleat
