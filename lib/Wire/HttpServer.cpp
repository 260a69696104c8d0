/// @file
/// Accepts connections, numbers requests and finds the connection of each answer.
#include <eelgrasscleat/Wire/HttpServer.h>
#include <eelgrasscleat/Wire/QtText.h>

#include "HttpConnection.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cassert>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 6> HttpRefusalNames = {
    "malformed", "header_too_large", "body_too_large", "too_many_connections", "idle_timeout", "header_timeout",
};

/// Pending connections that the kernel keeps for us.
static constexpr int ListenBacklog = 1024;

std::string_view httpRefusalName(HttpRefusal refusal)
{
    const auto index = static_cast<std::size_t>(refusal);
    assert(index < HttpRefusalNames.size() && "every refusal has a name");
    return HttpRefusalNames[index];
}

class HttpServer::Impl : public HttpConnectionOwner
{
public:
    Impl(HttpServerHandler &handler, const HttpServerLimits &limits)
        : m_handler(handler)
        , m_limits(limits)
    {
        m_server.setListenBacklogSize(ListenBacklog);
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
        m_handler.requestReceived(std::move(request));
    }

    void requestAbandoned(CallerId id) override
    {
        if (m_owners.erase(id) > 0) {
            m_handler.callerGone(id);
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
        const auto interval =
            std::clamp(shortest / 4, std::chrono::milliseconds(10), std::chrono::milliseconds(1000));
        if (m_sweep.intervalAsDuration() != interval) {
            m_sweep.setInterval(interval);
        }
    }

    void acceptAll()
    {
        while (QTcpSocket *socket = m_server.nextPendingConnection()) {
            removeClosed();
            auto connection = std::make_unique<HttpConnection>(socket, *this, m_limits);
            if (m_connections.size() >= m_limits.connections) {
                connection->refuse(HttpRefusal::TooManyConnections);
            }
            if (m_closeAfterAnswers) {
                connection->closeAfterFirstAnswer();
            }
            m_connections.push_back(std::move(connection));
        }
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
        std::erase_if(m_connections, [](const auto &it) { return it->isClosed(); });
    }

    HttpServerHandler &m_handler;
    HttpServerLimits m_limits;
    QTcpServer m_server;
    QTimer m_sweep;
    std::uint64_t m_lastId = 0;
    bool m_closeAfterAnswers = false;
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
