/// @file
/// Messages of one incoming connection, and the memory that it takes.
#include "IncomingPeer.h"

#include <QHostAddress>

namespace Eelgrasscleat
{

/// Memory of a connection without its unfinished message: a socket's object and buffers, the kernel's receive buffer,
/// and an HTTP/2 session.
static constexpr std::size_t ConnectionBytes = 65536;

/// Largest piece that Qt reads ahead from the kernel, in bytes.
static constexpr qint64 ReadBytes = 65536;

IncomingPeer::IncomingPeer(QTcpSocket *socket, IncomingPeerOwner &owner)
    : m_owner(owner)
    , m_socket(socket)
    , m_address(socket->peerAddress().toString().toStdString() + ":" + std::to_string(socket->peerPort()))
    , m_lastMessage(std::chrono::steady_clock::now())
    , m_session(*socket, Http2Side::Server, *this)
{
    m_socket->setReadBufferSize(ReadBytes);
    updateHeldBytes();
}

IncomingPeer::~IncomingPeer()
{
    m_socket->disconnect();
    m_socket->abort();
    m_socket->deleteLater();
}

void IncomingPeer::bodyArrived(std::int32_t, std::string_view bytes)
{
    m_bytesReceived += bytes.size();
    if (m_ended) {
        return;
    }
    m_framer.add(bytes);
    schema::PeerMessage message;
    FrameRead read = m_framer.take(message);
    while (read == FrameRead::Message && !m_ended) {
        m_hasDelivered = true;
        m_lastMessage = std::chrono::steady_clock::now();
        m_owner.messageArrived(std::move(message));
        message.Clear();
        read = m_framer.take(message);
    }
    if (read == FrameRead::Broken && !m_ended) {
        m_owner.protocolBroken(Error { ErrorCode::Invalid, Step::PeerStream, m_address, "broken message" });
        m_session.end("broken message");
    }
    updateHeldBytes();
}

void IncomingPeer::sessionEnded(const std::string &)
{
    reset();
}

void IncomingPeer::reset()
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    updateHeldBytes();
    m_owner.incomingEnded();
}

void IncomingPeer::updateHeldBytes()
{
    const std::size_t bytes = m_ended ? 0 : ConnectionBytes + m_framer.heldBytes();
    const std::ptrdiff_t change = static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(m_heldBytes);
    m_heldBytes = bytes;
    if (change != 0) {
        m_owner.heldBytesChanged(change);
    }
}

const std::string &IncomingPeer::address() const
{
    return m_address;
}

bool IncomingPeer::hasEnded() const
{
    return m_ended;
}

bool IncomingPeer::hasDelivered() const
{
    return m_hasDelivered;
}

std::chrono::steady_clock::time_point IncomingPeer::lastMessage() const
{
    return m_lastMessage;
}

std::size_t IncomingPeer::heldBytes() const
{
    return m_heldBytes;
}

std::uint64_t IncomingPeer::bytesReceived() const
{
    return m_bytesReceived;
}

} // namespace Eelgrasscleat
