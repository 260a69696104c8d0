/// @file
/// HTTP server for operators: health, readiness, metrics and status on a separate port. No request blocks.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <settings.pb.h>

#include <atomic>
#include <memory>

class QHttpServer;

namespace Eelgrasscleat
{

/// Serves the HTTP interface of operators. All methods run on the operators' thread.
class OperatorServer
{
public:
    /// @param ready readiness of the instance, updated by the decision thread
    OperatorServer(const schema::EntrySettings &settings, const std::atomic<bool> &ready, const Metrics &metrics);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /// Opens the operator port.
    /// @returns the port, or the error.
    Result<std::uint16_t> listen();
    /// Replaces the status snapshot by a newer one.
    void setStatus(StatusSnapshot status);

private:
    void addRoutes();

    schema::EntrySettings m_settings;
    const std::atomic<bool> &m_ready;
    const Metrics &m_metrics;
    StatusSnapshot m_status;
    std::unique_ptr<QHttpServer> m_server;
};

} // namespace Eelgrasscleat
