/// @file
/// HTTP server for operators: health, readiness, metrics and status on a separate port. No request blocks.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/LogThrottle.h>
#include <eelgrasscleat/Support/Metrics.h>
#include <eelgrasscleat/Wire/HttpServer.h>

#include <settings.pb.h>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// Most log lines in a second about refused requests of operators.
constexpr std::uint32_t RefusalLinesPerSecond = 5;

/// Serves the HTTP interface of operators. All methods run on the operators' thread.
class OperatorServer : public HttpServerHandler
{
public:
    /// @param ready readiness of the instance, updated by the decision thread
    OperatorServer(const schema::EntrySettings &settings, const std::atomic<bool> &ready, Metrics &metrics);
    ~OperatorServer() override;
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /// Opens the operator port.
    /// @returns the port, or the error.
    Result<std::uint16_t> listen();
    /// Replaces the status snapshot by a newer one.
    void setStatus(StatusSnapshot status);

    void requestReceived(HttpRequest request) override;
    void callerGone(CallerId id) override;
    void refused(HttpRefusal refusal, const std::string &peer) override;

private:
    [[nodiscard]] HttpResponse answer(std::string_view path) const;

    schema::EntrySettings m_settings;
    const std::atomic<bool> &m_ready;
    Metrics &m_metrics;
    StatusSnapshot m_status;
    LogThrottle m_throttle { RefusalLinesPerSecond };
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Eelgrasscleat
