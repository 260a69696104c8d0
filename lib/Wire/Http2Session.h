/// @file
/// An nghttp2 session on a Qt socket, as client (one long request) or server (receives such requests).
#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace Eelgrasscleat
{

/// Which side of the connection this is.
enum class Http2Side
{
    Client,
    Server,
};

/// What a session reports.
class Http2SessionOwner
{
public:
    virtual ~Http2SessionOwner() = default;
    /// Bytes of a request's body arrived (server side).
    virtual void bodyArrived(std::int32_t stream, std::string_view bytes) = 0;
    /// The connection ended, or the other side broke the protocol. The owner may delete the session later.
    virtual void sessionEnded(const std::string &why) = 0;
};

/// The session.
class Http2Session
{
public:
    /// @param socket connected; the session does not own it
    Http2Session(QTcpSocket &socket, Http2Side side, Http2SessionOwner &owner);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Client side: opens the one request.
    void openRequest(const std::string &path, const std::string &authority);
    /// Client side: adds bytes to the body of the request.
    void sendBody(std::string_view bytes);
    /// @returns the bytes given to sendBody() that have not been handed to the socket.
    [[nodiscard]] std::size_t waitingBytes() const;
    /// Ends the session from this side.
    void end(const std::string &why);

private:
    struct Callbacks;

    void readAvailable();
    void writePending();

    QObject m_context;
    QTcpSocket &m_socket;
    Http2Side m_side;
    Http2SessionOwner &m_owner;
    nghttp2_session *m_session = nullptr;
    std::int32_t m_stream = -1;
    QByteArray m_output; ///< Body bytes that nghttp2 has not taken yet.
    bool m_ended = false;
};

} // namespace Eelgrasscleat
