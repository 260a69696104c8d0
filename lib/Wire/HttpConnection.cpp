/// @file
/// Parsing and ordered answering of one connection.
#include "HttpConnection.h"

#include <boost/beast/http/status.hpp>

#include <QHostAddress>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Eelgrasscleat
{

namespace http = boost::beast::http;

/// Largest piece that is read from the socket before it is parsed, in bytes.
static constexpr std::size_t ReadBytes = 16384;

/// When a client that found no room may come back, in seconds.
static constexpr std::uint32_t RetryAfterSeconds = 1;

static unsigned statusOf(HttpRefusal refusal)
{
    switch (refusal) {
    case HttpRefusal::Malformed:
        return 400;
    case HttpRefusal::HeaderTooLarge:
        return 431;
    case HttpRefusal::BodyTooLarge:
        return 413;
    case HttpRefusal::TooManyConnections:
    case HttpRefusal::Evicted:
        return 503;
    case HttpRefusal::IdleTimeout:
    case HttpRefusal::HeaderTimeout:
        return 408;
    }
    return 400;
}

static QByteArray serialize(const HttpResponse &response, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    text.append(reason.data(), reason.size());
    text += "\r\nContent-Type: " + response.contentType;
    text += "\r\nContent-Length: " + std::to_string(response.body.size());
    if (response.retryAfterSeconds > 0) {
        text += "\r\nRetry-After: " + std::to_string(response.retryAfterSeconds);
    }
    text += keepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
    text += response.body;
    return QByteArray(text.data(), static_cast<qsizetype>(text.size()));
}

HttpConnection::HttpConnection(QTcpSocket *socket, HttpConnectionOwner &owner, const HttpServerLimits &limits)
    : m_socket(socket)
    , m_owner(owner)
    , m_limits(limits)
    , m_peer(socket->peerAddress().toString().toStdString() + ":" + std::to_string(socket->peerPort()))
    , m_lastByte(std::chrono::steady_clock::now())
    , m_lastTaken(m_lastByte)
{
    // What is not read stays in the kernel, so a caller that sends too much is slowed by TCP and not buffered here.
    m_socket->setReadBufferSize(static_cast<qint64>(ReadBytes));
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    startParser();
    QObject::connect(m_socket, &QTcpSocket::readyRead, &m_context, [this] { readAvailable(); });
    QObject::connect(m_socket, &QTcpSocket::bytesWritten, &m_context, [this] { bytesTaken(); });
    QObject::connect(m_socket, &QTcpSocket::disconnected, &m_context, [this] { disconnected(); });
}

HttpConnection::~HttpConnection()
{
    m_socket->disconnect();
    m_socket->abort();
    m_socket->deleteLater();
}

void HttpConnection::startParser()
{
    m_parser.emplace(m_limits.headerBytes, m_limits.bodyBytes);
}

void HttpConnection::readAvailable()
{
    if (m_draining) {
        discardAvailable();
        return;
    }
    std::array<char, ReadBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init): read() fills it.
    while (mayRead()) {
        if (!m_input.empty() && parse()) {
            continue;
        }
        // A request that has just been parsed may have been the last.
        const qint64 n = mayRead() ? m_socket->read(buf.data(), ReadBytes) : 0;
        if (n <= 0) {
            break;
        }
        m_lastByte = std::chrono::steady_clock::now();
        m_input.append(buf.data(), static_cast<std::size_t>(n));
    }
    m_isBlocked = !mayRead();
    // Most connections have nothing left here; the memory of a past piece isn't kept for them.
    m_input.shrink_to_fit();
    updateHeldBytes();
}

/// Gives the input to the parser. @returns whether a request is complete.
bool HttpConnection::parse()
{
    if (!m_parser->hasBegun()) {
        m_headBegan = std::chrono::steady_clock::now();
    }
    std::size_t used = 0;
    const RequestParser::Outcome outcome = m_parser->take(m_input, used);
    m_input.erase(0, used);
    switch (outcome) {
    case RequestParser::Outcome::NeedMore:
        return false;
    case RequestParser::Outcome::Done:
        finishRequest();
        return true;
    case RequestParser::Outcome::HeaderTooLarge:
        refuse(HttpRefusal::HeaderTooLarge);
        return false;
    case RequestParser::Outcome::BodyTooLarge:
        refuse(HttpRefusal::BodyTooLarge);
        return false;
    case RequestParser::Outcome::Malformed:
        break;
    }
    refuse(HttpRefusal::Malformed);
    return false;
}

void HttpConnection::finishRequest()
{
    Exchange exchange { m_owner.nextId(), m_parser->keepsAlive(), 0, std::nullopt };
    HttpRequest request;
    request.id = exchange.id;
    request.method = std::move(m_parser->method);
    request.target = std::move(m_parser->target);
    request.headers = std::move(m_parser->fields);
    request.authorization = std::string(request.headers.value("Authorization"));
    request.host = std::string(request.headers.value("Host"));
    request.body = std::move(m_parser->body);
    request.peer = m_peer;
    m_closing = m_closing || !exchange.keepAlive;
    m_exchanges.push_back(std::move(exchange));
    startParser();
    m_owner.requestParsed(*this, std::move(request));
}

void HttpConnection::respond(CallerId id, const HttpResponse &response)
{
    const auto it =
        std::find_if(m_exchanges.begin(), m_exchanges.end(), [id](const Exchange &e) { return e.id == id; });
    if (it == m_exchanges.end() || it->response) {
        return;
    }
    it->response = response;
    setExchangeBytes(*it, response.body.size());
    writeReady();
    updateHeldBytes();
}

void HttpConnection::setHeldBytes(CallerId id, std::size_t bytes)
{
    const auto it =
        std::find_if(m_exchanges.begin(), m_exchanges.end(), [id](const Exchange &e) { return e.id == id; });
    if (it != m_exchanges.end() && !it->response) {
        setExchangeBytes(*it, bytes);
        updateHeldBytes();
    }
}

void HttpConnection::setExchangeBytes(Exchange &exchange, std::size_t bytes)
{
    m_exchangeBytes += bytes - exchange.heldBytes;
    exchange.heldBytes = bytes;
}

void HttpConnection::updateHeldBytes()
{
    const std::size_t bytes = m_closed ? 0
                                       : m_input.capacity() + m_parser->heldBytes() + m_exchangeBytes
            + static_cast<std::size_t>(m_socket->bytesToWrite());
    const std::ptrdiff_t change = static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(m_extraBytes);
    m_extraBytes = bytes;
    if (change != 0) {
        m_owner.heldBytesChanged(change);
    }
}

void HttpConnection::bytesTaken()
{
    m_lastTaken = std::chrono::steady_clock::now();
    if (m_isBlocked && mayRead()) {
        m_isBlocked = false;
        readAvailable();
    }
    updateHeldBytes();
}

bool HttpConnection::mayRead() const
{
    return !m_closing && !m_closed && m_exchanges.size() < m_limits.pipelined
        && static_cast<std::size_t>(m_socket->bytesToWrite()) <= m_limits.untakenBytes;
}

void HttpConnection::writeReady()
{
    const bool wasFull = m_exchanges.size() >= m_limits.pipelined;
    bool last = false;
    while (!m_exchanges.empty() && m_exchanges.front().response && !m_closed) {
        const Exchange &front = m_exchanges.front();
        last = !front.keepAlive || (m_lastAnswerCloses && m_exchanges.size() == 1);
        m_socket->write(serialize(*front.response, !last));
        m_closing = m_closing || last;
        setExchangeBytes(m_exchanges.front(), 0);
        m_exchanges.pop_front();
    }
    if (last && !m_closed) {
        startClosing();
        return;
    }
    if (wasFull && m_exchanges.size() < m_limits.pipelined) {
        // Not from here: the caller of respond() may be inside requestParsed().
        QMetaObject::invokeMethod(
            &m_context, [this] { readAvailable(); }, Qt::QueuedConnection);
    }
}

/// Closes only this side's direction. Closing both while the caller still sends would reset the connection, and the
/// caller would lose the answer that says why.
void HttpConnection::startClosing()
{
    m_draining = true;
    m_socket->flush();
    if (m_socket->bytesToWrite() > 0) {
        QObject::connect(m_socket, &QTcpSocket::bytesWritten, &m_context, [this] {
            if (m_socket->bytesToWrite() == 0) {
                ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
            }
        });
    } else {
        ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
    }
    discardAvailable();
}

void HttpConnection::discardAvailable()
{
    while (!m_closed && m_socket->skip(ReadBytes) > 0) { }
}

void HttpConnection::refuse(HttpRefusal refusal)
{
    if (m_closing || m_closed) {
        return;
    }
    m_closing = true;
    m_input = {};
    m_owner.connectionRefused(refusal, m_peer);
    // The error is the answer to the newest request, so it goes out after the answers of those before it.
    HttpResponse response;
    response.status = statusOf(refusal);
    response.body = "{\"error\":\"" + std::string(httpRefusalName(refusal)) + "\"}";
    response.retryAfterSeconds = refusal == HttpRefusal::TooManyConnections ? RetryAfterSeconds : 0;
    Exchange exchange { m_owner.nextId(), false, 0, std::move(response) };
    m_exchanges.push_back(std::move(exchange));
    startParser();
    writeReady();
    updateHeldBytes();
}

void HttpConnection::evict()
{
    m_owner.connectionRefused(HttpRefusal::Evicted, m_peer);
    abort();
}

void HttpConnection::closeAfterAnswers()
{
    m_lastAnswerCloses = true;
    if (m_exchanges.empty() && !m_parser->hasBegun() && !m_closing && !m_closed) {
        m_closing = true;
        m_socket->disconnectFromHost();
    }
}

void HttpConnection::closeAfterFirstAnswer()
{
    m_lastAnswerCloses = true;
}

void HttpConnection::abort()
{
    m_socket->abort();
    disconnected();
}

void HttpConnection::checkTime(std::chrono::steady_clock::time_point now)
{
    const bool isHeadOpen = m_parser->hasBegun() && !m_parser->isHeadDone();
    if (isHeadOpen && !m_closing && !m_closed && now - m_headBegan >= m_limits.header) {
        refuse(HttpRefusal::HeaderTimeout);
        return;
    }
    if (m_closed || now - lastMove() < m_limits.idle) {
        return;
    }
    if (m_closing) {
        // Its answer was not taken in all that time.
        if (m_exchanges.empty() || m_exchanges.front().response) {
            abort();
        }
        return;
    }
    if (m_exchanges.empty()) {
        const bool partial = m_parser->hasBegun();
        if (partial) {
            refuse(HttpRefusal::IdleTimeout);
            return;
        }
        m_closing = true;
        m_socket->disconnectFromHost();
    }
}

void HttpConnection::disconnected()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    const std::deque<Exchange> abandoned = std::exchange(m_exchanges, {});
    m_exchangeBytes = 0;
    m_input = {};
    startParser();
    m_owner.connectionClosed();
    updateHeldBytes();
    for (const Exchange &it : abandoned) {
        if (!it.response) {
            m_owner.requestAbandoned(it.id);
        }
    }
}

bool HttpConnection::isClosed() const
{
    return m_closed;
}

bool HttpConnection::isIdle() const
{
    return m_closed || (m_exchanges.empty() && m_socket->bytesToWrite() == 0);
}

bool HttpConnection::isClosing() const
{
    return m_closing;
}

bool HttpConnection::isWaiting() const
{
    return std::any_of(m_exchanges.begin(), m_exchanges.end(), [](const Exchange &it) { return !it.response; });
}

std::size_t HttpConnection::extraBytes() const
{
    return m_extraBytes;
}

std::chrono::steady_clock::time_point HttpConnection::lastMove() const
{
    return std::max(m_lastByte, m_lastTaken);
}

} // namespace Eelgrasscleat
