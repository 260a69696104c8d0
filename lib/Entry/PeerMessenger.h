/// @file
/// Exchange of messages with other entry instances.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Support/Metrics.h>
#include <eelgrasscleat/Wire/PeerNetwork.h>

#include <settings.pb.h>

#include <memory>

namespace Eelgrasscleat
{

/// Sends messages to peers, and passes received messages to the decision thread as events. All methods run on the
/// peers' thread.
class PeerMessenger : public PeerNetworkHandler
{
public:
    PeerMessenger(const schema::EntrySettings &settings, IncarnationId self, EventRing &events, Metrics &metrics);

    /// Opens the peer port and connects to the peers.
    /// @returns the port, or the error.
    Result<std::uint16_t> start();
    void send(SendToPeer action);
    /// @returns whether all messages are written to their connections.
    [[nodiscard]] bool isFlushed() const;

    void peerMessageArrived(schema::PeerMessage message) override;
    void peerStreamChanged(const InstanceName &peer, bool up) override;
    void peerMessageDropped(const InstanceName &peer) override;
    void peerProtocolError(const Error &error) override;

private:
    void pushEvent(CoreEvent event);
    void updateTrafficMetrics();

    schema::EntrySettings m_settings;
    EventRing &m_events;
    Metrics &m_metrics;
    std::unique_ptr<PeerNetwork> m_network;
};

} // namespace Eelgrasscleat
