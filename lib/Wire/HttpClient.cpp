/// @file
/// Pool of client connections to one address: Boost.Beast's response parser over Qt's sockets.
#include <eelgrasscleat/Wire/HttpClient.h>
#include <eelgrasscleat/Wire/QtText.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <QHostAddress>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

namespace http = boost::beast::http;

/// Largest answer that is taken from the other side.
static constexpr std::uint64_t AnswerBytes = std::uint64_t { 16 } * 1024 * 1024;

/// Calls whose time is up within this are ended together.
static constexpr std::chrono::milliseconds SweepInterval { 10 };

static Instant currentInstant()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// A call with its end.
struct PendingCall
{
    HttpCall call;
    std::function<void(CallResult)> done;
    Instant giveUpAt;
};

/// What a connection reports to its pool.
class PooledConnectionOwner
{
public:
    virtual ~PooledConnectionOwner() = default;
    virtual void connectionFree() = 0;
};

/// One connection: at most one call at a time.
class PooledConnection
{
public:
    PooledConnection(PooledConnectionOwner &owner, const QHostAddress &address, std::uint16_t port)
        : m_owner(owner)
        , m_host(address.toString().toStdString() + ":" + std::to_string(port))
    {
        QObject::connect(&m_socket, &QTcpSocket::connected, &m_context, [this] { connected(); });
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_context, [this] { readAvailable(); });
        QObject::connect(&m_socket, &QTcpSocket::disconnected, &m_context, [this] { broke("connection closed"); });
        QObject::connect(
            &m_socket, &QTcpSocket::errorOccurred, &m_context, [this] { broke(m_socket.errorString().toStdString()); });
        m_socket.connectToHost(address, port);
    }

    ~PooledConnection()
    {
        m_socket.disconnect();
        m_socket.abort();
    }

    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    void start(PendingCall call)
    {
        m_call = std::move(call);
        if (m_connected) {
            send();
        }
    }

    /// Ends the call if its time is up. A broken exchange leaves the connection unusable.
    void checkTime(Instant now)
    {
        if (m_call && now >= m_call->giveUpAt) {
            broke("timed out", true);
        }
    }

    [[nodiscard]] bool isBusy() const
    {
        return m_call.has_value();
    }

    /// @returns when the call's time is up, or never.
    [[nodiscard]] Instant giveUpAt() const
    {
        return m_call ? m_call->giveUpAt : Instant::max();
    }

    [[nodiscard]] bool isBroken() const
    {
        return m_broken;
    }

private:
    using Parser = http::response_parser<http::string_body>;

    void connected()
    {
        m_connected = true;
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        if (m_call) {
            send();
        }
    }

    void send()
    {
        // The last look at the clock before the bytes go out: a permit that ran out meanwhile must not start work.
        if (currentInstant() >= m_call->call.sendBefore) {
            finish({ CallEnd::NotSent, 0, "", "too late to be sent" });
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(AnswerBytes);
        m_parser->eager(true);
        const HttpCall &call = m_call->call;
        std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + m_host;
        if (!call.authorization.empty()) {
            text += "\r\nAuthorization: " + call.authorization;
        }
        for (const HttpHeader &it : call.headers) {
            text += "\r\n" + it.name + ": " + it.value;
        }
        text +=
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
        text += call.body;
        m_written = true;
        m_socket.write(text.data(), static_cast<qint64>(text.size()));
        m_socket.flush();
    }

    void readAvailable()
    {
        m_input += m_socket.readAll();
        if (!m_written) {
            // Nothing was asked: the other side says goodbye, or is not what it should be.
            broke("unexpected bytes");
            return;
        }
        parse();
    }

    void parse()
    {
        while (!m_input.isEmpty() && m_call) {
            boost::system::error_code ec;
            const auto size = static_cast<std::size_t>(m_input.size());
            const auto used = m_parser->put(boost::asio::buffer(m_input.constData(), size), ec);
            m_input.remove(0, static_cast<qsizetype>(used));
            if (ec == http::error::need_more) {
                return;
            }
            if (ec) {
                broke("malformed answer: " + ec.message());
                return;
            }
            if (m_parser->is_done()) {
                answered();
                return;
            }
        }
    }

    void answered()
    {
        auto message = m_parser->release();
        if (!message.keep_alive() || !m_input.isEmpty()) {
            m_broken = true;
        }
        finish({ CallEnd::Answered, message.result_int(), std::move(message.body()), "" });
    }

    void broke(const std::string &why, bool timedOut = false)
    {
        if (m_broken) {
            return;
        }
        if (m_written && m_parser && m_call && m_socket.bytesAvailable() > 0) {
            // The answer may have arrived together with the end of the connection.
            m_input += m_socket.readAll();
            parse();
        }
        m_broken = true;
        if (m_call) {
            finish({ m_written ? CallEnd::Lost : CallEnd::NotSent, 0, "", why, timedOut });
        } else {
            m_owner.connectionFree();
        }
    }

    void finish(CallResult result)
    {
        PendingCall ended = std::move(*m_call);
        m_call.reset();
        m_written = false;
        m_parser.reset();
        ended.done(std::move(result));
        m_owner.connectionFree();
    }

    PooledConnectionOwner &m_owner;
    QObject m_context;
    QTcpSocket m_socket;
    std::string m_host;
    QByteArray m_input;
    std::optional<Parser> m_parser;
    std::optional<PendingCall> m_call;
    bool m_connected = false;
    bool m_written = false; ///< Some of the present call may have left this process.
    bool m_broken = false;
};

class HttpClient::Impl : public PooledConnectionOwner
{
public:
    Impl(const std::string &address, std::uint16_t port, std::size_t connections)
        : m_address(toQString(address))
        , m_port(port)
        , m_limit(connections)
    {
        m_sweep.setSingleShot(true);
        QObject::connect(&m_sweep, &QTimer::timeout, &m_context, [this] { sweep(); });
    }

    void call(HttpCall call, std::function<void(CallResult)> done)
    {
        PendingCall pending { std::move(call), std::move(done), Instant::max() };
        if (pending.call.timeout.count() > 0) {
            pending.giveUpAt = currentInstant() + pending.call.timeout;
        }
        wakeBy(std::min(pending.giveUpAt, pending.call.sendBefore));
        m_waiting.push_back(std::move(pending));
        scheduleWork();
    }

    void setConnections(std::size_t connections)
    {
        m_limit = connections;
        scheduleWork();
    }

    [[nodiscard]] std::size_t pending() const
    {
        const auto busy =
            std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->isBusy(); });
        return m_waiting.size() + static_cast<std::size_t>(busy);
    }

    void connectionFree() override
    {
        scheduleWork();
    }

private:
    /// Connections are made and removed only from the event loop, never inside one's own signal.
    void scheduleWork()
    {
        if (m_scheduled) {
            return;
        }
        m_scheduled = true;
        QMetaObject::invokeMethod(
            &m_context, [this] { work(); }, Qt::QueuedConnection);
    }

    void work()
    {
        m_scheduled = false;
        std::erase_if(m_connections, [](const auto &it) { return it->isBroken() && !it->isBusy(); });
        while (!m_waiting.empty()) {
            PooledConnection *connection = freeConnection();
            if (connection == nullptr) {
                return;
            }
            PendingCall next = std::move(m_waiting.front());
            m_waiting.pop_front();
            connection->start(std::move(next));
        }
    }

    PooledConnection *freeConnection()
    {
        for (const auto &it : m_connections) {
            if (!it->isBusy() && !it->isBroken()) {
                return it.get();
            }
        }
        if (m_connections.size() >= m_limit) {
            return nullptr;
        }
        m_connections.push_back(std::make_unique<PooledConnection>(*this, m_address, m_port));
        return m_connections.back().get();
    }

    void sweep()
    {
        const Instant now = currentInstant();
        for (const auto &it : m_connections) {
            it->checkTime(now);
        }
        std::vector<PendingCall> late;
        for (auto &it : m_waiting) {
            if (now >= it.giveUpAt || now >= it.call.sendBefore) {
                late.push_back(std::move(it));
            }
        }
        std::erase_if(m_waiting, [](const PendingCall &it) { return it.done == nullptr; });
        for (auto &it : late) {
            it.done({ CallEnd::NotSent, 0, "", "no connection in time" });
        }
        for (const auto &it : m_connections) {
            wakeBy(it->giveUpAt());
        }
        for (const auto &it : m_waiting) {
            wakeBy(std::min(it.giveUpAt, it.call.sendBefore));
        }
    }

    /// Sets the timer so that it fires no later than shortly after @p when.
    void wakeBy(Instant when)
    {
        if (when == Instant::max() || (m_sweep.isActive() && m_wakeAt <= when)) {
            return;
        }
        m_wakeAt = when;
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(when - currentInstant());
        m_sweep.start(std::max(SweepInterval, wait));
    }

    QObject m_context;
    QHostAddress m_address;
    std::uint16_t m_port;
    std::size_t m_limit;
    std::deque<PendingCall> m_waiting;
    std::vector<std::unique_ptr<PooledConnection>> m_connections;
    QTimer m_sweep;
    Instant m_wakeAt {}; ///< When the timer fires.
    bool m_scheduled = false;
};

HttpClient::HttpClient(const std::string &address, std::uint16_t port, std::size_t connections)
    : m_impl(std::make_shared<Impl>(address, port, connections))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, std::function<void(CallResult)> done)
{
    m_impl->call(std::move(call), std::move(done));
}

void HttpClient::setConnections(std::size_t connections)
{
    m_impl->setConnections(connections);
}

std::size_t HttpClient::pending() const
{
    return m_impl->pending();
}

} // namespace Eelgrasscleat
