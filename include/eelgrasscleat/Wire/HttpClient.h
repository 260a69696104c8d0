/// @file
/// HTTP/1.1 client for one address: a bounded pool of kept connections with one request at a time on each. It never
/// sends a request twice, and it tells whether any byte of a request may have reached the other side.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// How a call ended.
enum class CallEnd
{
    Answered,
    NotSent, ///< No byte of the request was written.
    Lost, ///< Written at least in part, and no whole answer.
};

/// Result of a call.
struct CallResult
{
    CallEnd end = CallEnd::NotSent;
    unsigned status = 0;
    std::string body;
    std::string detail; ///< What went wrong, for the log.
    bool timedOut = false; ///< If not answered: the time was up, and the connection was still open.
};

/// A header of a call beyond those that every call has.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// A call to make.
struct HttpCall
{
    std::string method = "POST";
    std::string target = "/";
    std::string body;
    std::string authorization; ///< Value of that header; empty for none.
    std::vector<HttpHeader> headers;
    std::chrono::milliseconds timeout { 30000 }; ///< From the call to its end; 0: none.
    Instant sendBefore = Instant::max(); ///< Not sent at all once this has passed.
};

/// Pool of connections to one address. Lives on a thread with a Qt event loop.
class HttpClient
{
public:
    /// @param address IP number
    /// @param connections most connections; further calls wait for one until their timeout
    HttpClient(const std::string &address, std::uint16_t port, std::size_t connections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Makes a call. @p done is called once, later, on this thread.
    void call(HttpCall call, std::function<void(CallResult)> done);
    /// Changes the most connections; those above it close when idle.
    void setConnections(std::size_t connections);
    /// @returns the calls not ended.
    [[nodiscard]] std::size_t pending() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
