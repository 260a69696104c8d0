/// @file
/// One connection of HttpServer: parses requests as bytes arrive and sends answers in the order of the requests.
#pragma once

#include "RequestParser.h"

#include <eelgrasscleat/Wire/HttpServer.h>

#include <QObject>
#include <QTcpSocket>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace Eelgrasscleat
{

class HttpConnection;

/// What a connection reports to its server.
class HttpConnectionOwner
{
public:
    virtual ~HttpConnectionOwner() = default;
    /// @returns a fresh number for a request.
    virtual CallerId nextId() = 0;
    virtual void requestParsed(HttpConnection &connection, HttpRequest request) = 0;
    virtual void requestAbandoned(CallerId id) = 0;
    /// The connection's memory has changed. The owner may close any connection that isn't waiting for an answer.
    virtual void heldBytesChanged(std::ptrdiff_t change) = 0;
    virtual void connectionClosed() = 0;
    virtual void connectionRefused(HttpRefusal refusal, const std::string &peer) = 0;
};

/// The connection. Owns its socket; the server deletes it after isClosed().
class HttpConnection
{
public:
    HttpConnection(QTcpSocket *socket, HttpConnectionOwner &owner, const HttpServerLimits &limits);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Answers a request of this connection.
    void respond(CallerId id, const HttpResponse &response);
    /// Sends a final error and closes. Requests still pending are abandoned.
    void refuse(HttpRefusal refusal);
    /// Closes at once, to free what it holds.
    void evict();
    /// Tells how much memory a request takes until it is answered.
    void setHeldBytes(CallerId id, std::size_t bytes);
    /// Closes as soon as no answer is pending.
    void closeAfterAnswers();
    /// Closes after the next answer; a new connection is allowed its one request.
    void closeAfterFirstAnswer();
    /// Closes at once.
    void abort();
    /// Closes the connection if it has been idle, or its request's header incomplete, for too long.
    void checkTime(std::chrono::steady_clock::time_point now);

    [[nodiscard]] bool isClosed() const;
    [[nodiscard]] bool isIdle() const;
    /// @returns whether no more requests are read.
    [[nodiscard]] bool isClosing() const;
    /// @returns whether a request of this connection is with the handler.
    [[nodiscard]] bool isWaiting() const;
    /// @returns the memory beyond what every connection takes, in bytes.
    [[nodiscard]] std::size_t extraBytes() const;
    /// @returns when a byte was last received or taken by the caller.
    [[nodiscard]] std::chrono::steady_clock::time_point lastMove() const;

private:
    /// A request in arrival order, with its answer once there is one.
    struct Exchange
    {
        CallerId id;
        bool keepAlive = true;
        std::size_t heldBytes = 0; ///< Of the request with the handler, or of the answer.
        std::optional<HttpResponse> response;
    };

    void readAvailable();
    bool parse();
    void startParser();
    void finishRequest();
    void writeReady();
    void discardAvailable();
    void startClosing();
    void bytesTaken();
    /// @returns whether the next request may be read.
    [[nodiscard]] bool mayRead() const;
    void updateHeldBytes();
    void setExchangeBytes(Exchange &exchange, std::size_t bytes);
    void disconnected();

    QObject m_context; ///< Ends queued calls and connections together with this object.
    QTcpSocket *m_socket;
    HttpConnectionOwner &m_owner;
    const HttpServerLimits &m_limits;
    std::string m_peer;
    std::string m_input; ///< Bytes that the parser has not taken.
    std::optional<RequestParser> m_parser;
    std::deque<Exchange> m_exchanges;
    std::size_t m_exchangeBytes = 0; ///< Sum over m_exchanges.
    std::size_t m_extraBytes = 0; ///< As reported to the owner.
    std::chrono::steady_clock::time_point m_lastByte;
    std::chrono::steady_clock::time_point m_lastTaken; ///< When the caller last took a part of an answer.
    std::chrono::steady_clock::time_point m_headBegan; ///< If the parser has begun.
    bool m_lastAnswerCloses = false; ///< The answer that leaves none pending ends the connection.
    bool m_closing = false; ///< No more requests are read.
    bool m_draining = false; ///< The last answer is written; what still arrives is dropped until the caller closes.
    bool m_closed = false;
    bool m_isBlocked = false; ///< Requests wait unread.
};

} // namespace Eelgrasscleat
