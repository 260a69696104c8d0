/// @file
/// A connection that a peer, or anyone who reaches the port for peers, made to this instance.
#pragma once

#include <eelgrasscleat/Wire/PeerNetwork.h>

#include "Http2Session.h"
#include "MessageFramer.h"

#include <QTcpSocket>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Eelgrasscleat
{

class IncomingPeer;

/// What a connection reports to its network.
class IncomingPeerOwner
{
public:
    virtual ~IncomingPeerOwner() = default;
    virtual void messageArrived(schema::PeerMessage message) = 0;
    virtual void protocolBroken(const Error &error) = 0;
    /// The connection's memory has changed. The owner may close any connection.
    virtual void heldBytesChanged(std::ptrdiff_t change) = 0;
    /// The connection has ended, and may be deleted from the event loop.
    virtual void incomingEnded() = 0;
};

/// The connection. Owns its socket.
class IncomingPeer : public Http2SessionOwner
{
public:
    IncomingPeer(QTcpSocket *socket, IncomingPeerOwner &owner);
    ~IncomingPeer() override;
    IncomingPeer(const IncomingPeer &) = delete;
    IncomingPeer &operator=(const IncomingPeer &) = delete;

    void bodyArrived(std::int32_t stream, std::string_view bytes) override;
    void sessionEnded(const std::string &why) override;

    /// Delivers nothing more, and closes from the event loop: the caller may be inside one of its signals.
    void reset();

    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] bool hasEnded() const;
    /// @returns whether a whole message has arrived on it.
    [[nodiscard]] bool hasDelivered() const;
    [[nodiscard]] std::chrono::steady_clock::time_point lastMessage() const;
    /// @returns the memory of the connection in bytes; 0 once it has ended.
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::uint64_t bytesReceived() const;

private:
    void updateHeldBytes();

    IncomingPeerOwner &m_owner;
    QTcpSocket *m_socket;
    std::string m_address;
    bool m_ended = false;
    bool m_hasDelivered = false;
    std::chrono::steady_clock::time_point m_lastMessage; ///< Or when the connection was made.
    std::uint64_t m_bytesReceived = 0;
    std::size_t m_heldBytes = 0; ///< As reported to the owner.
    MessageFramer m_framer;
    Http2Session m_session;
};

} // namespace Eelgrasscleat
