/// @file
/// HTTP server for callers: converts requests to events and answers to responses.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Support/Metrics.h>
#include <eelgrasscleat/Wire/HttpServer.h>

#include <settings.pb.h>

#include <cstddef>
#include <memory>
#include <set>

namespace Eelgrasscleat
{

/// Serves the HTTP interface of callers. All methods run on the callers' thread.
class CallerServer : public HttpServerHandler
{
public:
    /// @param maxPending maximum number of requests that await an answer; further ones are refused
    CallerServer(const schema::EntrySettings &settings, EventRing &events, std::size_t maxPending, Metrics &metrics);

    /// Opens the caller port.
    /// @returns the port, or the error.
    Result<std::uint16_t> listen();
    /// Sends an answer from the decision thread to the caller.
    void answer(const AnswerCaller &action);
    /// Begins a planned stop: each connection is closed after its answers, so that callers reconnect to other
    /// instances.
    void beginStop();
    /// Stops accepting connections, at the end of a planned stop.
    void stopListening();
    /// @returns whether all requests are answered and all answers sent.
    [[nodiscard]] bool isIdle() const;

    void requestReceived(HttpRequest request) override;
    void callerGone(CallerId id) override;
    void refused(HttpRefusal refusal, const std::string &peer) override;

private:
    void handleSubmit(const HttpRequest &request, const CallerCredentials &credentials, bool wait);
    void respondError(CallerId id, unsigned status, const std::string &error, const std::string &detail);
    void pushEvent(CallerId id, CoreEvent event);

    schema::EntrySettings m_settings;
    EventRing &m_events;
    std::size_t m_maxPending;
    Metrics &m_metrics;
    std::set<CallerId> m_pending; ///< Requests that await an answer from the decision thread.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Eelgrasscleat
