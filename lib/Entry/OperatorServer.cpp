/// @file
/// Routes of the operators' interface, on Qt's HTTP server.
#include "OperatorServer.h"

#include <eelgrasscleat/Wire/QtText.h>

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>

#include <utility>

namespace Eelgrasscleat
{

static QHttpServerResponse
textResponse(const char *type, const std::string &body, QHttpServerResponse::StatusCode status)
{
    return QHttpServerResponse(type, QByteArray(body.data(), static_cast<qsizetype>(body.size())), status);
}

OperatorServer::OperatorServer(const schema::EntrySettings &settings,
                               const std::atomic<bool> &ready,
                               const Metrics &metrics)
    : m_settings(settings)
    , m_ready(ready)
    , m_metrics(metrics)
    , m_server(std::make_unique<QHttpServer>())
{
    m_status.json = "{}";
    addRoutes();
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::addRoutes()
{
    using Status = QHttpServerResponse::StatusCode;
    m_server->route(QStringLiteral("/health"), [] { return textResponse("text/plain", "ok\n", Status::Ok); });
    m_server->route(QStringLiteral("/ready"), [this] {
        const bool ready = m_ready.load();
        return textResponse(
            "text/plain", ready ? "ready\n" : "not ready\n", ready ? Status::Ok : Status::ServiceUnavailable);
    });
    m_server->route(QStringLiteral("/metrics"),
                    [this] { return textResponse("text/plain; version=0.0.4", m_metrics.text(), Status::Ok); });
    m_server->route(QStringLiteral("/status"),
                    [this] { return textResponse("application/json", m_status.json, Status::Ok); });
}

Result<std::uint16_t> OperatorServer::listen()
{
    const auto &listen = m_settings.listen();
    const QHostAddress address(toQString(listen.address()));
    const quint16 port = m_server->listen(address, static_cast<quint16>(listen.operator_port()));
    if (port == 0) {
        const std::string peer = listen.address() + ":" + std::to_string(listen.operator_port());
        return Error { ErrorCode::Unavailable, Step::Connect, peer, "can't listen on the operator port" };
    }
    return port;
}

void OperatorServer::setStatus(StatusSnapshot status)
{
    m_status = std::move(status);
}

} // namespace Eelgrasscleat
