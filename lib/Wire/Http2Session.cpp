/// @file
/// Feeding nghttp2 from a Qt socket and back.
#include "Http2Session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

namespace Eelgrasscleat
{

/// Window of received bytes for a connection and a stream; messages are small and taken at once.
static constexpr std::int32_t WindowBytes = 1 << 20;

/// Most bytes of acknowledgements and the like that the other side of a server's connection may leave untaken.
static constexpr qint64 UntakenBytes = 65536;

/// Functions that nghttp2 calls.
struct Http2Session::Callbacks
{
    static Http2Session &self(void *user)
    {
        return *static_cast<Http2Session *>(user);
    }

    static int
    onData(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t size, void *user)
    {
        self(user).m_owner.bodyArrived(stream, std::string_view(reinterpret_cast<const char *>(data), size));
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t, std::uint32_t, void *user)
    {
        // There is one stream for the life of a connection, so its end is the connection's.
        self(user).end("stream closed");
        return 0;
    }

    static ssize_t readBody(nghttp2_session *,
                            std::int32_t,
                            std::uint8_t *buf,
                            std::size_t size,
                            std::uint32_t *,
                            nghttp2_data_source *,
                            void *user)
    {
        QByteArray &output = self(user).m_output;
        if (output.isEmpty()) {
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto n = std::min(size, static_cast<std::size_t>(output.size()));
        std::memcpy(buf, output.constData(), n);
        output.remove(0, static_cast<qsizetype>(n));
        return static_cast<ssize_t>(n);
    }
};

Http2Session::Http2Session(QTcpSocket &socket, Http2Side side, Http2SessionOwner &owner)
    : m_socket(socket)
    , m_side(side)
    , m_owner(owner)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onStreamClose);
    const int rc = side == Http2Side::Client ? nghttp2_session_client_new(&m_session, callbacks, this)
                                             : nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    assert(rc == 0 && "a session needs only memory");
    static_cast<void>(rc);

    const std::array<nghttp2_settings_entry, 2> entries = { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(WindowBytes) },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
    m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_context, [this] { readAvailable(); });
    QObject::connect(&m_socket, &QTcpSocket::disconnected, &m_context, [this] { end("connection closed"); });
    writePending();
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

static nghttp2_nv makeHeader(const std::string &name, const std::string &value)
{
    const auto bytes = [](const std::string &text) {
        return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

void Http2Session::openRequest(const std::string &path, const std::string &authority)
{
    const std::array<std::string, 4> names = { ":method", ":scheme", ":authority", ":path" };
    const std::array<std::string, 4> values = { "POST", "http", authority, path };
    std::array<nghttp2_nv, 4> headers {};
    for (std::size_t i = 0; i < headers.size(); ++i) {
        headers[i] = makeHeader(names[i], values[i]);
    }
    nghttp2_data_provider body {};
    body.read_callback = Callbacks::readBody;
    m_stream = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &body, nullptr);
    writePending();
}

void Http2Session::sendBody(std::string_view bytes)
{
    if (m_ended || m_stream < 0) {
        return;
    }
    m_output.append(bytes.data(), static_cast<qsizetype>(bytes.size()));
    nghttp2_session_resume_data(m_session, m_stream);
    writePending();
}

std::size_t Http2Session::waitingBytes() const
{
    return static_cast<std::size_t>(m_output.size() + m_socket.bytesToWrite());
}

void Http2Session::readAvailable()
{
    while (!m_ended) {
        const QByteArray bytes = m_socket.readAll();
        if (bytes.isEmpty()) {
            break;
        }
        const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.constData());
        const auto used = nghttp2_session_mem_recv(m_session, data, static_cast<std::size_t>(bytes.size()));
        if (used < 0) {
            end(nghttp2_strerror(static_cast<int>(used)));
            return;
        }
    }
    writePending();
}

void Http2Session::writePending()
{
    while (!m_ended) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0) {
            end(nghttp2_strerror(static_cast<int>(size)));
            return;
        }
        if (size == 0) {
            break;
        }
        if (m_side == Http2Side::Server && m_socket.bytesToWrite() > UntakenBytes) {
            end("answers not taken");
            return;
        }
        m_socket.write(reinterpret_cast<const char *>(data), size);
    }
    if (!m_ended && nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0) {
        end("session finished");
    }
}

void Http2Session::end(const std::string &why)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_owner.sessionEnded(why);
}

} // namespace Eelgrasscleat
