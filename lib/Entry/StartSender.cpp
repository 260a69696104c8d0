/// @file
/// Encoding of starts as HTTP calls, and interpretation of their answers.
#include "StartSender.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <cassert>
#include <utility>

namespace Eelgrasscleat
{

StartSender::StartSender(EventRing &events)
    : m_events(events)
{
}

HttpClient &StartSender::clientFor(const StartOnTarget &action)
{
    Endpoint &endpoint = m_endpoints[action.target];
    if (endpoint.client && endpoint.address == action.address && endpoint.port == action.port) {
        endpoint.client->setConnections(action.connections);
        return *endpoint.client;
    }
    std::erase_if(m_retiredClients, [](const auto &it) { return it->pending() == 0; });
    if (endpoint.client) {
        m_retiredClients.push_back(std::move(endpoint.client));
    }
    endpoint.address = action.address;
    endpoint.port = action.port;
    endpoint.client = std::make_unique<HttpClient>(action.address, action.port, action.connections);
    return *endpoint.client;
}

void StartSender::start(const StartOnTarget &action)
{
    HttpCall call;
    call.target = "/v1/start";
    call.body = toJson(action.request);
    call.timeout = action.timeout;
    call.sendBefore = action.startBefore;
    const AttemptId attempt = action.attempt;
    clientFor(action).call(std::move(call),
                           [this, attempt](const CallResult &result) { handleResult(attempt, result); });
}

/// @returns the outcome in the target's answer, or Lost if the answer doesn't belong to this attempt.
static AttemptOutcome attemptOutcome(AttemptId attempt, const CallResult &result, std::string &output)
{
    if (result.end == CallEnd::NotSent) {
        return AttemptOutcome::NotSent;
    }
    schema::StartAnswer answer;
    const bool readable = result.end == CallEnd::Answered && isOk(fromJson(result.body, answer));
    if (!readable || answer.attempt() != std::to_string(attempt.value)) {
        // Any other response proves nothing about the execution of the task.
        return AttemptOutcome::Lost;
    }
    switch (answer.status()) {
    case schema::START_STATUS_DONE:
        output = std::move(*answer.mutable_output());
        return AttemptOutcome::Done;
    case schema::START_STATUS_FAILED:
        output = std::move(*answer.mutable_output());
        return AttemptOutcome::Failed;
    case schema::START_STATUS_BUSY:
        return AttemptOutcome::RefusedBusy;
    case schema::START_STATUS_LEAVING:
        return AttemptOutcome::RefusedLeaving;
    default:
        return AttemptOutcome::Lost;
    }
}

void StartSender::handleResult(AttemptId attempt, const CallResult &result)
{
    AttemptEnded event;
    event.attempt = attempt;
    event.outcome = attemptOutcome(attempt, result, event.output);
    const bool pushed = m_events.tryPush(std::move(event));
    assert(pushed && "the ring holds as many outcomes as there can be attempts in flight");
    static_cast<void>(pushed);
}

} // namespace Eelgrasscleat
