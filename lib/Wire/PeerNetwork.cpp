/// @file
/// Connections to and from all peers.
#include <eelgrasscleat/Wire/PeerNetwork.h>
#include <eelgrasscleat/Wire/QtText.h>

#include <eelgrasscleat/Support/LogThrottle.h>

#include "Http2Session.h"
#include "IncomingPeer.h"
#include "MessageFramer.h"
#include "ReceiveBuffers.h"

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Eelgrasscleat
{

/// Most bytes of messages that wait for one peer; beyond it messages are dropped.
static constexpr std::size_t WaitingBytesPerPeer = std::size_t { 8 } * 1024 * 1024;

/// An attempt to connect that is younger may still be on its way: several round trips.
static constexpr std::chrono::milliseconds FreshAttempt { 50 };

/// Path of the one request on each connection.
static const char *const MessagesPath = "/eelgrasscleat/messages";

/// The connection that this instance makes to one peer, made again whenever it breaks.
class OutgoingPeer : public Http2SessionOwner
{
public:
    OutgoingPeer(PeerEndpoint endpoint, PeerNetworkHandler &handler, const PeerTiming &timing)
        : m_endpoint(std::move(endpoint))
        , m_handler(handler)
        , m_timing(timing)
        , m_wait(timing.shortestReconnect)
    {
        m_timer.setSingleShot(true);
        QObject::connect(&m_timer, &QTimer::timeout, &m_context, [this] { connectOrGiveUp(); });
        m_timer.start(0);
    }

    void send(const std::string &bytes)
    {
        if (!m_session || m_session->waitingBytes() > WaitingBytesPerPeer) {
            m_handler.peerMessageDropped(m_endpoint.name);
            return;
        }
        m_bytesSent += bytes.size();
        m_session->sendBody(bytes);
    }

    [[nodiscard]] const PeerEndpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// Breaks the connection from the event loop: the caller may be inside one of its signals.
    void reset()
    {
        m_wait = m_timing.shortestReconnect;
        QMetaObject::invokeMethod(
            &m_context, [this] { broke(); }, Qt::QueuedConnection);
    }

    /// Connects now instead of after a pause or of waiting for an attempt that began when the peer was not there.
    void hurry()
    {
        const bool isFresh = m_attempt.isValid() && m_attempt.elapsed() < FreshAttempt.count();
        if (m_session || isFresh || m_hurried) {
            return;
        }
        // The new attempt gets its whole time, or a peer far away that is heard often could never be connected to.
        m_hurried = true;
        QMetaObject::invokeMethod(
            &m_context,
            [this] {
                if (!m_session) {
                    dropSocket();
                    connectOrGiveUp();
                }
            },
            Qt::QueuedConnection);
    }

    [[nodiscard]] bool isFlushed() const
    {
        return !m_session || m_session->waitingBytes() == 0;
    }

    [[nodiscard]] std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

    void bodyArrived(std::int32_t, std::string_view) override
    {
    }

    void sessionEnded(const std::string &) override
    {
        // Called from inside the session, so it is only taken down from the event loop.
        QMetaObject::invokeMethod(
            &m_context, [this] { broke(); }, Qt::QueuedConnection);
    }

private:
    void connectOrGiveUp()
    {
        if (m_socket) {
            broke();
            return;
        }
        m_attempt.start();
        m_socket = std::make_unique<QTcpSocket>();
        QObject::connect(m_socket.get(), &QTcpSocket::connected, &m_context, [this] { connected(); });
        QObject::connect(m_socket.get(), &QTcpSocket::errorOccurred, &m_context, [this] {
            QMetaObject::invokeMethod(
                &m_context, [this] { broke(); }, Qt::QueuedConnection);
        });
        m_socket->connectToHost(QHostAddress(toQString(m_endpoint.address)), m_endpoint.port);
        m_timer.start(m_timing.connect);
    }

    void connected()
    {
        m_timer.stop();
        m_wait = m_timing.shortestReconnect;
        if (m_timing.unacknowledged.count() > 0) {
            const auto limit = static_cast<unsigned>(m_timing.unacknowledged.count());
            const auto descriptor = static_cast<int>(m_socket->socketDescriptor());
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
        }
        m_session = std::make_unique<Http2Session>(*m_socket, Http2Side::Client, *this);
        m_session->openRequest(MessagesPath, m_endpoint.address + ":" + std::to_string(m_endpoint.port));
        m_handler.peerStreamChanged(m_endpoint.name, true);
    }

    void dropSocket()
    {
        if (m_socket) {
            m_socket->disconnect();
            m_socket->abort();
            m_socket.reset();
        }
    }

    void broke()
    {
        if (!m_socket) {
            return;
        }
        m_hurried = false;
        const bool wasUp = m_session != nullptr;
        m_session.reset();
        dropSocket();
        m_timer.start(m_wait);
        m_wait = std::min(m_wait * 2, m_timing.longestReconnect);
        if (wasUp) {
            m_handler.peerStreamChanged(m_endpoint.name, false);
        }
    }

    PeerEndpoint m_endpoint;
    PeerNetworkHandler &m_handler;
    PeerTiming m_timing;
    QObject m_context;
    QTimer m_timer;
    std::chrono::milliseconds m_wait;
    QElapsedTimer m_attempt; ///< Since the latest attempt to connect began.
    bool m_hurried = false; ///< The present attempt was made because the peer was heard.
    std::unique_ptr<QTcpSocket> m_socket;
    std::unique_ptr<Http2Session> m_session;
    std::uint64_t m_bytesSent = 0;
};

/// Most reports in a second of connections that were closed because of what came on them.
static constexpr std::uint32_t ErrorReportsPerSecond = 5;

/// A connection that holds less is never closed because of its size: messages are smaller.
static constexpr std::size_t SmallBytes = std::size_t { 1024 } * 1024;

class PeerNetwork::Impl : public IncomingPeerOwner
{
public:
    Impl(PeerNetworkHandler &handler,
         PeerId self,
         std::vector<PeerEndpoint> peers,
         const PeerTiming &timing,
         const PeerLimits &limits)
        : m_handler(handler)
        , m_self(std::move(self))
        , m_endpoints(std::move(peers))
        , m_timing(timing)
        , m_limits(limits)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_context, [this] { acceptAll(); });
    }

    Result<std::uint16_t> start(const std::string &address, std::uint16_t port)
    {
        if (!m_server.listen(QHostAddress(toQString(address)), port)) {
            const std::string peer = address + ":" + std::to_string(port);
            return Error { ErrorCode::Unavailable, Step::Connect, peer, m_server.errorString().toStdString() };
        }
        limitReceiveBuffers(m_server);
        m_started = true;
        setPeers(m_endpoints);
        return m_server.serverPort();
    }

    void setPeers(std::vector<PeerEndpoint> peers)
    {
        m_endpoints = std::move(peers);
        if (!m_started) {
            return;
        }
        std::erase_if(m_outgoing, [this](const auto &it) {
            return std::find(m_endpoints.begin(), m_endpoints.end(), it.second->endpoint()) == m_endpoints.end();
        });
        for (const PeerEndpoint &it : m_endpoints) {
            if (m_outgoing.find(it.name) == m_outgoing.end()) {
                m_outgoing.emplace(it.name, std::make_unique<OutgoingPeer>(it, m_handler, m_timing));
            }
        }
    }

    void resetConnection(const InstanceName &peer)
    {
        const auto it = m_outgoing.find(peer);
        if (it != m_outgoing.end()) {
            it->second->reset();
        }
    }

    void resetConnections()
    {
        for (const auto &it : m_incoming) {
            it->reset();
        }
        for (const auto &it : m_outgoing) {
            it.second->reset();
        }
    }

    void hurry(const InstanceName &peer)
    {
        const auto it = m_outgoing.find(peer);
        if (it != m_outgoing.end()) {
            it->second->hurry();
        }
    }

    void send(const InstanceName &peer, schema::PeerMessage &message)
    {
        const auto it = m_outgoing.find(peer);
        if (it == m_outgoing.end()) {
            m_handler.peerMessageDropped(peer);
            return;
        }
        message.set_from_instance(m_self.name.value);
        message.set_from_incarnation(m_self.incarnation.value);
        it->second->send(MessageFramer::frame(message));
    }

    [[nodiscard]] bool isFlushed() const
    {
        return std::all_of(m_outgoing.begin(), m_outgoing.end(), [](const auto &it) { return it.second->isFlushed(); });
    }

    [[nodiscard]] PeerTraffic traffic() const
    {
        PeerTraffic traffic { 0, m_receivedByEnded };
        for (const auto &it : m_outgoing) {
            traffic.bytesSent += it.second->bytesSent();
        }
        for (const auto &it : m_incoming) {
            traffic.bytesReceived += it->bytesReceived();
        }
        return traffic;
    }

    [[nodiscard]] std::uint64_t connectionsEvicted() const
    {
        return m_evicted;
    }

    void messageArrived(schema::PeerMessage message) override
    {
        m_handler.peerMessageArrived(std::move(message));
    }

    void protocolBroken(const Error &error) override
    {
        if (m_throttle.admit(std::chrono::steady_clock::now())) {
            m_handler.peerProtocolError(error);
        }
    }

    void heldBytesChanged(std::ptrdiff_t change) override
    {
        m_heldBytes += static_cast<std::size_t>(change);
        while (change > 0 && m_heldBytes > m_limits.heldBytes && evictOne()) { }
    }

    void incomingEnded() override
    {
        if (!m_isRemovalDue) {
            m_isRemovalDue = true;
            QMetaObject::invokeMethod(
                &m_context, [this] { removeEnded(); }, Qt::QueuedConnection);
        }
    }

private:
    void acceptAll()
    {
        while (QTcpSocket *socket = m_server.nextPendingConnection()) {
            if (m_incoming.size() >= m_limits.connections) {
                removeEnded();
            }
            if (m_incoming.size() >= m_limits.connections) {
                evictOne();
                removeEnded();
            }
            m_incoming.push_back(std::make_unique<IncomingPeer>(socket, *this));
        }
    }

    /// Closes the connection with the largest unfinished message; without large ones one that has never delivered a
    /// message; else the one whose latest message is the oldest.
    /// @returns whether there was one.
    bool evictOne()
    {
        const auto rank = [](const IncomingPeer &it) {
            const std::size_t large = it.heldBytes() > SmallBytes ? it.heldBytes() : 0;
            return std::make_tuple(large, !it.hasDelivered(), -it.lastMessage().time_since_epoch());
        };
        IncomingPeer *first = nullptr;
        for (const auto &it : m_incoming) {
            if (!it->hasEnded() && (first == nullptr || rank(*it) > rank(*first))) {
                first = it.get();
            }
        }
        if (first == nullptr) {
            return false;
        }
        ++m_evicted;
        protocolBroken(Error { ErrorCode::Refused, Step::PeerStream, first->address(), "closed to free memory" });
        first->reset();
        return true;
    }

    void removeEnded()
    {
        m_isRemovalDue = false;
        std::erase_if(m_incoming, [this](const auto &it) {
            m_receivedByEnded += it->hasEnded() ? it->bytesReceived() : 0;
            return it->hasEnded();
        });
    }

    PeerNetworkHandler &m_handler;
    PeerId m_self;
    std::vector<PeerEndpoint> m_endpoints;
    PeerTiming m_timing;
    PeerLimits m_limits;
    LogThrottle m_throttle { ErrorReportsPerSecond };
    bool m_started = false;
    bool m_isRemovalDue = false;
    std::size_t m_heldBytes = 0; ///< Of all incoming connections.
    std::uint64_t m_evicted = 0;
    QObject m_context;
    QTcpServer m_server;
    std::map<InstanceName, std::unique_ptr<OutgoingPeer>> m_outgoing;
    std::vector<std::unique_ptr<IncomingPeer>> m_incoming;
    std::uint64_t m_receivedByEnded = 0;
};

PeerNetwork::PeerNetwork(PeerNetworkHandler &handler,
                         PeerId self,
                         std::vector<PeerEndpoint> peers,
                         const PeerTiming &timing,
                         const PeerLimits &limits)
    : m_impl(std::make_unique<Impl>(handler, std::move(self), std::move(peers), timing, limits))
{
}

void PeerNetwork::setPeers(const std::vector<PeerEndpoint> &peers)
{
    m_impl->setPeers(peers);
}

void PeerNetwork::hurry(const InstanceName &peer)
{
    m_impl->hurry(peer);
}

void PeerNetwork::resetConnection(const InstanceName &peer)
{
    m_impl->resetConnection(peer);
}

void PeerNetwork::resetConnections()
{
    m_impl->resetConnections();
}

PeerNetwork::~PeerNetwork() = default;

Result<std::uint16_t> PeerNetwork::start(const std::string &address, std::uint16_t port)
{
    return m_impl->start(address, port);
}

void PeerNetwork::send(const InstanceName &peer, schema::PeerMessage message)
{
    m_impl->send(peer, message);
}

bool PeerNetwork::isFlushed() const
{
    return m_impl->isFlushed();
}

PeerTraffic PeerNetwork::traffic() const
{
    return m_impl->traffic();
}

std::uint64_t PeerNetwork::connectionsEvicted() const
{
    return m_impl->connectionsEvicted();
}

} // namespace Eelgrasscleat
