/// @file
/// HTTP/1.1 server for callers and stand-ins: Boost.Beast's parsers over Qt's sockets, on one thread's event loop.
/// Answers may be given in any order and at any later time; each connection sends them in the order of its requests.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Wire/HeaderFields.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// A complete request.
struct HttpRequest
{
    CallerId id; ///< Unique within the server; answer under it.
    std::string method; ///< For example "POST".
    std::string target; ///< Path and query.
    std::string authorization; ///< Value of that header, or empty.
    std::string host; ///< Value of that header, or empty.
    HeaderFields headers; ///< All but trailers, with names as the caller wrote them.
    std::string body;
    std::string peer; ///< Address and port of the caller.
};

/// An answer. The body is JSON unless said otherwise.
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::uint32_t retryAfterSeconds = 0; ///< 0: no Retry-After header.
};

/// Why the server itself refused a request or closed a connection.
enum class HttpRefusal
{
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooManyConnections,
    IdleTimeout,
    HeaderTimeout, ///< The header took too long, however often a byte came.
    Evicted, ///< Closed without an answer, because all connections together held too much.
};

/// @returns the name of @p refusal as it stands in metrics.
std::string_view httpRefusalName(HttpRefusal refusal);

/// Bounds on what one caller, and all callers together, can take.
struct HttpServerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    std::size_t connections = 4000;
    std::chrono::milliseconds header { 10000 }; ///< From the first byte of a request's header to its end.
    std::chrono::milliseconds idle { 30000 };
    std::size_t pipelined = 64; ///< Most unanswered requests on a connection; further ones wait unread.
    /// Bytes of answers that a caller has not taken, above which its further requests wait unread.
    std::size_t untakenBytes = 65536;
    /// Most memory of all connections together: buffers, incomplete requests, requests that wait for their answers, and
    /// answers that are not taken. Above it connections are closed, first those that hold most.
    std::size_t heldBytes = std::size_t { 512 } * 1024 * 1024;
};

/// What a server calls, on its own thread.
class HttpServerHandler
{
public:
    virtual ~HttpServerHandler() = default;
    /// A request is complete. It is to be answered once, now or later.
    virtual void requestReceived(HttpRequest request) = 0;
    /// The caller closed its connection before the answer; an answer given later is dropped.
    virtual void callerGone(CallerId id) = 0;
    /// The server refused something by itself.
    virtual void refused(HttpRefusal refusal, const std::string &peer) = 0;
};

/// The server. Lives on a thread with a Qt event loop.
class HttpServer
{
public:
    HttpServer(HttpServerHandler &handler, const HttpServerLimits &limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @param address IP number
    /// @param port 0 lets the kernel choose
    /// @returns the port, or an error with step Connect.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);
    /// Answers a request; ignored if its caller has gone or it was answered already.
    void respond(CallerId id, const HttpResponse &response);
    /// Lets callers go: idle connections are closed, the others after their last pending answer, which says so.
    void closeAfterAnswers();
    /// Stops accepting connections; open ones go on.
    void stopListening();
    /// Closes all connections at once, without answers.
    void abortAll();
    /// Tells how much memory a request takes until it is answered, beside what the server holds itself.
    void setHeldBytes(CallerId id, std::size_t bytes);
    /// Changes the bounds for requests that begin from now on.
    void setLimits(const HttpServerLimits &limits);
    /// Closes a request's connection at once, without an answer. For stand-ins that fail on purpose.
    void abort(CallerId id);
    /// @returns whether all requests are answered and all answers written.
    [[nodiscard]] bool isIdle() const;
    /// @returns the open connections.
    [[nodiscard]] std::size_t connectionCount() const;
    /// @returns the memory of all connections together, as it counts towards HttpServerLimits::heldBytes.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
