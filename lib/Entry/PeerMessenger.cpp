/// @file
/// Conversion of peers' messages to events. Lost messages are only counted, since the protocols tolerate loss.
#include "PeerMessenger.h"

#include <eelgrasscleat/Support/Log.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <utility>

namespace Eelgrasscleat
{

static std::vector<PeerEndpoint> peerEndpoints(const schema::EntrySettings &settings)
{
    std::vector<PeerEndpoint> endpoints;
    for (const auto &it : settings.peers()) {
        if (it.name() != settings.name()) {
            endpoints.push_back(
                PeerEndpoint { InstanceName(it.name()), it.address(), static_cast<std::uint16_t>(it.port()) });
        }
    }
    return endpoints;
}

PeerMessenger::PeerMessenger(const schema::EntrySettings &settings,
                             IncarnationId self,
                             EventRing &events,
                             Metrics &metrics)
    : m_settings(settings)
    , m_events(events)
    , m_metrics(metrics)
    , m_network(
          std::make_unique<PeerNetwork>(*this, PeerId { InstanceName(settings.name()), self }, peerEndpoints(settings)))
{
}

Result<std::uint16_t> PeerMessenger::start()
{
    const auto &listen = m_settings.listen();
    return m_network->start(listen.address(), static_cast<std::uint16_t>(listen.peer_port()));
}

void PeerMessenger::send(SendToPeer action)
{
    m_network->send(action.peer, std::move(action.message));
    updateTrafficMetrics();
}

bool PeerMessenger::isFlushed() const
{
    return m_network->isFlushed();
}

void PeerMessenger::peerMessageArrived(schema::PeerMessage message)
{
    pushEvent(PeerMessageReceived { std::move(message) });
}

void PeerMessenger::peerStreamChanged(const InstanceName &peer, bool up)
{
    writeLog(LogLevel::Info,
             up ? "peer connected" : "peer disconnected",
             { { "step", "peer_stream" }, { "peer", peer.value } });
    pushEvent(PeerStreamChanged { peer, up });
}

void PeerMessenger::peerMessageDropped(const InstanceName &peer)
{
    m_metrics
        .counter(
            "eelgrasscleat_peer_messages_dropped_total", "peer", peer.value, "Messages to a peer that is away or slow")
        .Increment();
}

void PeerMessenger::peerProtocolError(const Error &error)
{
    writeLog(LogLevel::Warn,
             "peer violated the protocol",
             { { "step", std::string(stepName(error.step)) }, { "peer", error.peer }, { "detail", error.detail } });
}

void PeerMessenger::pushEvent(CoreEvent event)
{
    if (!m_events.tryPush(std::move(event))) {
        m_metrics.counter("eelgrasscleat_events_dropped_total", "ring", "peers", "Events that found a full ring")
            .Increment();
    }
}

void PeerMessenger::updateTrafficMetrics()
{
    const PeerTraffic traffic = m_network->traffic();
    m_metrics.gauge("eelgrasscleat_peer_bytes", "direction", "sent", "Bytes of messages to and from peers")
        .Set(static_cast<double>(traffic.bytesSent));
    m_metrics.gauge("eelgrasscleat_peer_bytes", "direction", "received", "Bytes of messages to and from peers")
        .Set(static_cast<double>(traffic.bytesReceived));
}

} // namespace Eelgrasscleat
