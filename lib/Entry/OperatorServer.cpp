/// @file
/// Paths of the operators' interface.
#include "OperatorServer.h"

#include <eelgrasscleat/Support/Log.h>

#include <prometheus/counter.h>

#include <utility>

namespace Eelgrasscleat
{

static constexpr unsigned Ok = 200;
static constexpr unsigned NotFound = 404;
static constexpr unsigned Unavailable = 503;

/// Requests of operators have no body, and few connections ask at once.
static HttpServerLimits operatorLimits()
{
    HttpServerLimits limits;
    limits.bodyBytes = 1024;
    limits.connections = 64;
    limits.heldBytes = std::size_t { 16 } * 1024 * 1024;
    return limits;
}

static HttpResponse textResponse(const char *type, std::string body, unsigned status = Ok)
{
    HttpResponse response;
    response.status = status;
    response.contentType = type;
    response.body = std::move(body);
    return response;
}

OperatorServer::OperatorServer(const schema::EntrySettings &settings, const std::atomic<bool> &ready, Metrics &metrics)
    : m_settings(settings)
    , m_ready(ready)
    , m_metrics(metrics)
    , m_server(std::make_unique<HttpServer>(*this, operatorLimits()))
{
    m_status.json = "{}";
}

OperatorServer::~OperatorServer() = default;

HttpResponse OperatorServer::answer(std::string_view path) const
{
    if (path == "/health") {
        return textResponse("text/plain", "ok\n");
    }
    if (path == "/ready") {
        const bool ready = m_ready.load();
        return textResponse("text/plain", ready ? "ready\n" : "not ready\n", ready ? Ok : Unavailable);
    }
    if (path == "/metrics") {
        return textResponse("text/plain; version=0.0.4", m_metrics.text());
    }
    if (path == "/status") {
        return textResponse("application/json", m_status.json);
    }
    return textResponse("text/plain", "not found\n", NotFound);
}

void OperatorServer::requestReceived(HttpRequest request)
{
    const std::string_view target(request.target);
    m_server->respond(request.id, answer(target.substr(0, target.find('?'))));
}

void OperatorServer::callerGone(CallerId)
{
    // Every request is answered at once.
}

void OperatorServer::refused(HttpRefusal refusal, const std::string &peer)
{
    const std::string reason(httpRefusalName(refusal));
    m_metrics
        .counter(
            "eelgrasscleat_operator_refusals_total", "reason", reason, "Requests and connections refused on that port")
        .Increment();
    if (const auto leftOut = m_throttle.admit(std::chrono::steady_clock::now())) {
        writeLog(
            LogLevel::Info, "request refused", { { "peer", peer }, { "reason", reason }, { "left_out", *leftOut } });
    }
}

Result<std::uint16_t> OperatorServer::listen()
{
    const auto &listen = m_settings.listen();
    return m_server->listen(listen.address(), static_cast<std::uint16_t>(listen.operator_port()));
}

void OperatorServer::setStatus(StatusSnapshot status)
{
    m_status = std::move(status);
}

} // namespace Eelgrasscleat
