/// @file
/// Accepts connections, numbers requests and finds the connection of each answer.
#include <eelgrasscleat/Wire/HttpServer.h>
#include <eelgrasscleat/Wire/QtText.h>

#include "HttpConnection.h"
#include "ReceiveBuffers.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cassert>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 7> HttpRefusalNames = {
    "malformed",    "header_too_large", "body_too_large", "too_many_connections",
    "idle_timeout", "header_timeout",   "evicted",
};

/// Most and fewest pending connections that the kernel keeps for us, with what has come on them.
static constexpr std::size_t MaxBacklog = 1024;
static constexpr std::size_t MinBacklog = 32;

/// Memory of a connection without its requests and answers: a socket's object, a buffer for each direction, and the
/// kernel's receive buffer, whose unread bytes count as this process's memory on some platforms.
static constexpr std::size_t ConnectionBytes = 65536;

/// A connection that holds less beyond that is never closed because of its size: ordinary requests are smaller.
static constexpr std::size_t SmallBytes = 65536;

std::string_view httpRefusalName(HttpRefusal refusal)
{
    const auto index = static_cast<std::size_t>(refusal);
    assert(index < HttpRefusalNames.size() && "every refusal has a name");
    return HttpRefusalNames[index];
}

/// Counts a call that is on the stack.
class CallGuard
{
public:
    explicit CallGuard(int &depth)
        : m_depth(depth)
    {
        ++m_depth;
    }

    ~CallGuard()
    {
        --m_depth;
    }

    CallGuard(const CallGuard &) = delete;
    CallGuard &operator=(const CallGuard &) = delete;

private:
    int &m_depth;
};

class HttpServer::Impl : public HttpConnectionOwner
{
public:
    Impl(HttpServerHandler &handler, const HttpServerLimits &limits)
        : m_handler(handler)
        , m_limits(limits)
    {
        // What has come on connections that aren't accepted yet is held, too.
        const std::size_t backlog = m_limits.heldBytes / ConnectionBytes / 4;
        m_server.setListenBacklogSize(static_cast<int>(std::clamp(backlog, MinBacklog, MaxBacklog)));
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { acceptAll(); });
        setSweepInterval();
        QObject::connect(&m_sweep, &QTimer::timeout, &m_sweep, [this] { sweep(); });
        m_sweep.start();
    }

    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port)
    {
        const QHostAddress host(toQString(address));
        if (host.isNull() || !m_server.listen(host, port)) {
            const std::string reason = host.isNull() ? "not an IP number" : m_server.errorString().toStdString();
            return Error { ErrorCode::Unavailable, Step::Connect, address + ":" + std::to_string(port), reason };
        }
        limitReceiveBuffers(m_server);
        return m_server.serverPort();
    }

    void closeAfterAnswers()
    {
        m_closeAfterAnswers = true;
        for (const auto &it : m_connections) {
            it->closeAfterAnswers();
        }
    }

    void stopListening()
    {
        m_server.close();
    }

    void abortAll()
    {
        for (const auto &it : m_connections) {
            it->abort();
        }
    }

    void setHeldBytes(CallerId id, std::size_t bytes)
    {
        const auto it = m_owners.find(id);
        if (it != m_owners.end()) {
            const CallGuard guard(m_callDepth);
            it->second->setHeldBytes(id, bytes);
        }
    }

    [[nodiscard]] std::size_t heldBytes() const
    {
        return m_open * ConnectionBytes + m_extraBytes;
    }

    void setLimits(const HttpServerLimits &limits)
    {
        m_limits = limits;
        setSweepInterval();
    }

    void respond(CallerId id, const HttpResponse &response)
    {
        const auto it = m_owners.find(id);
        if (it == m_owners.end()) {
            return;
        }
        HttpConnection *connection = it->second;
        m_owners.erase(it);
        const CallGuard guard(m_callDepth);
        connection->respond(id, response);
    }

    void abort(CallerId id)
    {
        const auto it = m_owners.find(id);
        if (it != m_owners.end()) {
            it->second->abort();
        }
    }

    [[nodiscard]] bool isIdle() const
    {
        return std::all_of(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->isIdle(); });
    }

    [[nodiscard]] std::size_t connectionCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return !it->isClosed(); }));
    }

    CallerId nextId() override
    {
        return CallerId(++m_lastId);
    }

    void requestParsed(HttpConnection &connection, HttpRequest request) override
    {
        m_owners.emplace(request.id, &connection);
        const CallGuard guard(m_callDepth);
        m_handler.requestReceived(std::move(request));
    }

    void requestAbandoned(CallerId id) override
    {
        if (m_owners.erase(id) > 0) {
            m_handler.callerGone(id);
        }
    }

    void heldBytesChanged(std::ptrdiff_t change) override
    {
        m_extraBytes += static_cast<std::size_t>(change);
        relieve();
    }

    void connectionClosed() override
    {
        --m_open;
        // What it holds is freed soon, but not while it may be on the stack.
        if (!m_isRemovalDue) {
            m_isRemovalDue = true;
            QMetaObject::invokeMethod(
                &m_server, [this] { removeClosed(); }, Qt::QueuedConnection);
        }
    }

    void connectionRefused(HttpRefusal refusal, const std::string &peer) override
    {
        m_handler.refused(refusal, peer);
    }

private:
    void setSweepInterval()
    {
        const auto shortest = std::min(m_limits.header, m_limits.idle);
        const auto interval = std::clamp(shortest / 4, std::chrono::milliseconds(10), std::chrono::milliseconds(1000));
        if (m_sweep.intervalAsDuration() != interval) {
            m_sweep.setInterval(interval);
        }
    }

    void acceptAll()
    {
        while (QTcpSocket *socket = m_server.nextPendingConnection()) {
            while (m_open >= m_limits.connections && closeLeastActive()) { }
            const bool isFull = m_open >= m_limits.connections;
            removeClosed();
            auto connection = std::make_unique<HttpConnection>(socket, *this, m_limits);
            ++m_open;
            if (isFull) {
                connection->refuse(HttpRefusal::TooManyConnections);
            }
            if (m_closeAfterAnswers) {
                connection->closeAfterFirstAnswer();
            }
            m_connections.push_back(std::move(connection));
            relieve();
        }
    }

    /// Makes room for another connection. One that waits for an answer is never closed for it.
    /// @returns whether there was a connection to close.
    bool closeLeastActive()
    {
        const auto rank = [](const HttpConnection &it) {
            return std::make_tuple(it.isClosing(), -it.lastMove().time_since_epoch());
        };
        HttpConnection *first = nullptr;
        for (const auto &it : m_connections) {
            if (!it->isClosed() && !it->isWaiting() && (first == nullptr || rank(*it) > rank(*first))) {
                first = it.get();
            }
        }
        if (first != nullptr) {
            first->evict();
        }
        return first != nullptr;
    }

    /// Closes connections until the others hold no more than allowed.
    void relieve()
    {
        if (m_isRelieving) {
            return;
        }
        m_isRelieving = true;
        HttpConnection *victim = nullptr;
        while (heldBytes() > m_limits.heldBytes && (victim = heaviest()) != nullptr) {
            if (m_callDepth > 0 && victim->isWaiting()) {
                // The handler is on the stack; it hears of its caller's end from the event loop.
                relieveLater();
                break;
            }
            victim->evict();
        }
        m_isRelieving = false;
    }

    void relieveLater()
    {
        if (!m_isReliefDue) {
            m_isReliefDue = true;
            QMetaObject::invokeMethod(
                &m_server,
                [this] {
                    m_isReliefDue = false;
                    relieve();
                },
                Qt::QueuedConnection);
        }
    }

    /// @returns the connection to close first: one with much memory; else one without a request that waits for its
    /// answer; else the one on which nothing has moved for the longest time.
    [[nodiscard]] HttpConnection *heaviest() const
    {
        const auto rank = [](const HttpConnection &it) {
            const std::size_t large = it.extraBytes() > SmallBytes ? it.extraBytes() : 0;
            return std::make_tuple(large, !it.isWaiting(), -it.lastMove().time_since_epoch());
        };
        HttpConnection *first = nullptr;
        for (const auto &it : m_connections) {
            if (!it->isClosed() && (first == nullptr || rank(*it) > rank(*first))) {
                first = it.get();
            }
        }
        return first;
    }

    void sweep()
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto &it : m_connections) {
            it->checkTime(now);
        }
        removeClosed();
    }

    void removeClosed()
    {
        m_isRemovalDue = false;
        std::erase_if(m_connections, [](const auto &it) { return it->isClosed(); });
    }

    HttpServerHandler &m_handler;
    HttpServerLimits m_limits;
    QTcpServer m_server;
    QTimer m_sweep;
    std::uint64_t m_lastId = 0;
    bool m_closeAfterAnswers = false;
    bool m_isRelieving = false;
    bool m_isReliefDue = false;
    bool m_isRemovalDue = false;
    int m_callDepth = 0; ///< Calls of the handler, or from it, that are on the stack.
    std::size_t m_open = 0; ///< Connections that aren't closed.
    std::size_t m_extraBytes = 0; ///< Of all connections, beyond ConnectionBytes each.
    std::unordered_map<CallerId, HttpConnection *> m_owners;
    std::vector<std::unique_ptr<HttpConnection>> m_connections;
};

HttpServer::HttpServer(HttpServerHandler &handler, const HttpServerLimits &limits)
    : m_impl(std::make_unique<Impl>(handler, limits))
{
}

HttpServer::~HttpServer() = default;

Result<std::uint16_t> HttpServer::listen(const std::string &address, std::uint16_t port)
{
    return m_impl->listen(address, port);
}

void HttpServer::respond(CallerId id, const HttpResponse &response)
{
    m_impl->respond(id, response);
}

void HttpServer::closeAfterAnswers()
{
    m_impl->closeAfterAnswers();
}

void HttpServer::stopListening()
{
    m_impl->stopListening();
}

void HttpServer::abortAll()
{
    m_impl->abortAll();
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::setHeldBytes(CallerId id, std::size_t bytes)
{
    m_impl->setHeldBytes(id, bytes);
}

std::size_t HttpServer::heldBytes() const
{
    return m_impl->heldBytes();
}

void HttpServer::abort(CallerId id)
{
    m_impl->abort(id);
}

bool HttpServer::isIdle() const
{
    return m_impl->isIdle();
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->connectionCount();
}

} // namespace Eelgrasscleat
