/// @file
/// The callers' thread: HTTP requests to events, answers to HTTP responses.
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

/// Serves callers. All methods run on the callers' thread.
class CallerDuty : public HttpServerHandler
{
public:
    /// @param mostPending requests that may wait for an answer at once; further ones are refused
    CallerDuty(const schema::EntrySettings &settings, EventRing &events, std::size_t mostPending, Metrics &metrics);

    /// @returns the port.
    Result<std::uint16_t> listen();
    /// Sends an answer of the decision thread.
    void answer(const AnswerCaller &action);
    /// Planned stop begins: callers are sent to other instances as their answers come.
    void letCallersGo();
    /// Planned stop ends: no new connections.
    void stopListening();
    /// @returns whether all callers are answered.
    [[nodiscard]] bool isIdle() const;

    void requestReceived(HttpRequest request) override;
    void callerGone(CallerId id) override;
    void refused(HttpRefusal refusal, const std::string &peer) override;

private:
    void submitted(const HttpRequest &request, const CallerCredentials &identity, bool wait);
    void respondError(CallerId id, unsigned status, const std::string &error, const std::string &detail);
    void pass(CallerId id, CoreEvent event);

    schema::EntrySettings m_settings;
    EventRing &m_events;
    std::size_t m_mostPending;
    Metrics &m_metrics;
    std::set<CallerId> m_pending; ///< Requests that the decision thread holds.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Eelgrasscleat
