/// @file
/// Sends starts of tasks to targets over HTTP and reports their outcomes.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Wire/HttpClient.h>

#include <map>
#include <memory>

namespace Eelgrasscleat
{

/// HTTP clients of the targets assigned to one target thread. All methods run on that thread.
class StartSender
{
public:
    explicit StartSender(EventRing &events);

    /// Sends one start; its outcome is reported as an AttemptEnded event.
    void start(const StartOnTarget &action);

private:
    /// Connections to a target, replaced when its address changes.
    struct Endpoint
    {
        std::string address;
        std::uint16_t port = 0;
        std::unique_ptr<HttpClient> client;
    };

    HttpClient &clientFor(const StartOnTarget &action);
    void handleResult(AttemptId attempt, const CallResult &result);

    EventRing &m_events;
    std::map<TargetName, Endpoint> m_endpoints;
    std::vector<std::unique_ptr<HttpClient>> m_retiredClients; ///< Clients of former addresses with calls in flight.
};

} // namespace Eelgrasscleat
