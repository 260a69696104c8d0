/// @file
/// Paths, status codes and JSON of the callers' interface.
#include "CallerDuty.h"

#include "CallerNumbers.h"

#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QUrl>
#include <QUrlQuery>

#include <prometheus/counter.h>

#include <utility>

namespace Eelgrasscleat
{

static const std::string BearerPrefix = "Bearer ";

/// Parts of a request's path that the callers' interface knows.
struct CallerPath
{
    CustomerName customer;
    std::string key; ///< Empty for the collection of submissions.
    bool wait = true;
    std::string ticket; ///< The submission's, for a cancel.
    bool asksTicket = false;
    bool known = false;
};

static CallerPath parsePath(const std::string &target)
{
    CallerPath path;
    const QUrl url(QString::fromStdString(target));
    const QStringList parts = url.path(QUrl::FullyDecoded).split(QLatin1Char('/'), Qt::SkipEmptyParts);
    const QUrlQuery query(url);
    path.wait = query.queryItemValue(QStringLiteral("wait")) != QLatin1String("0");
    path.ticket = query.queryItemValue(QStringLiteral("ticket")).toStdString();
    if (parts.size() == 2 && parts[0] == QLatin1String("v1") && parts[1] == QLatin1String("ticket")) {
        path.asksTicket = true;
        path.known = true;
        return path;
    }
    const bool fits = (parts.size() == 4 || parts.size() == 5) && parts[0] == QLatin1String("v1")
        && parts[1] == QLatin1String("customers") && parts[3] == QLatin1String("submissions");
    if (!fits) {
        return path;
    }
    path.customer = CustomerName(parts[2].toStdString());
    path.key = parts.size() == 5 ? parts[4].toStdString() : std::string();
    path.known = true;
    return path;
}

static unsigned statusOf(const schema::SubmissionAnswer &answer)
{
    if (answer.status() == schema::ANSWER_STATUS_PENDING) {
        return 202;
    }
    switch (answer.reason()) {
    case schema::FAILURE_REASON_INVALID_REQUEST:
    case schema::FAILURE_REASON_FROM_FUTURE:
        return 400;
    case schema::FAILURE_REASON_UNAUTHORIZED:
        return 401;
    case schema::FAILURE_REASON_UNKNOWN_CUSTOMER:
    case schema::FAILURE_REASON_UNKNOWN_SUBMISSION:
        return 404;
    case schema::FAILURE_REASON_KEY_CONFLICT:
    case schema::FAILURE_REASON_CANCELLED:
        return 409;
    case schema::FAILURE_REASON_TOO_OLD:
    case schema::FAILURE_REASON_HOME_GONE:
    case schema::FAILURE_REASON_ANSWER_EXPIRED:
        return 410;
    case schema::FAILURE_REASON_NO_SUITABLE_TARGET:
    case schema::FAILURE_REASON_TOO_MANY_TASKS:
        return 422;
    case schema::FAILURE_REASON_QUEUE_FULL:
    case schema::FAILURE_REASON_OVERLOADED:
    case schema::FAILURE_REASON_TARGET_REFUSED:
        return 429;
    case schema::FAILURE_REASON_TARGET_FAILED:
    case schema::FAILURE_REASON_TARGET_LOST:
        return 502;
    case schema::FAILURE_REASON_DEADLINE:
        return 504;
    case schema::FAILURE_REASON_CLAIM_UNAVAILABLE:
    case schema::FAILURE_REASON_HOME_UNREACHABLE:
    case schema::FAILURE_REASON_LEAVING:
    case schema::FAILURE_REASON_NOT_READY:
        return 503;
    default:
        return 200;
    }
}

static HttpResponse toResponse(const schema::SubmissionAnswer &answer)
{
    HttpResponse response;
    response.status = statusOf(answer);
    response.body = toJson(answer);
    // The header counts whole seconds; the body has the milliseconds.
    response.retryAfterSeconds = (answer.retry_after_ms() + 999) / 1000;
    return response;
}

static HttpServerLimits limitsOf(const schema::CallerLimitSettings &settings)
{
    HttpServerLimits limits;
    limits.headerBytes = settings.header_bytes();
    limits.bodyBytes = settings.body_bytes();
    limits.connections = settings.connections();
    limits.idle = std::chrono::milliseconds(settings.idle_ms());
    limits.pipelined = settings.pipelined();
    return limits;
}

CallerDuty::CallerDuty(const schema::EntrySettings &settings,
                       EventRing &events,
                       std::size_t mostPending,
                       Metrics &metrics)
    : m_settings(settings)
    , m_events(events)
    , m_mostPending(mostPending)
    , m_metrics(metrics)
    , m_server(std::make_unique<HttpServer>(*this, limitsOf(settings.callers())))
{
}

Result<std::uint16_t> CallerDuty::listen()
{
    const auto &listen = m_settings.listen();
    return m_server->listen(listen.address(), static_cast<std::uint16_t>(listen.caller_port()));
}

void CallerDuty::requestReceived(HttpRequest request)
{
    const CallerPath path = parsePath(request.target);
    if (!path.known) {
        respondError(request.id, 404, "not_found", "see docs/operators/callers.md for the paths");
        return;
    }
    if (path.asksTicket) {
        pass(request.id, TicketRequested { CallerNumbers::ofHttp(request.id) });
        return;
    }
    if (request.authorization.rfind(BearerPrefix, 0) != 0) {
        respondError(request.id, 401, "unauthorized", "header Authorization: Bearer KEY is missing");
        return;
    }
    const CallerCredentials identity { path.customer, request.authorization.substr(BearerPrefix.size()) };
    const CallerId caller = CallerNumbers::ofHttp(request.id);
    if (request.method == "POST" && path.key.empty()) {
        submitted(request, identity, path.wait);
    } else if (request.method == "GET" && !path.key.empty()) {
        pass(request.id, FetchRequested { caller, identity, path.key, path.wait });
    } else if (request.method == "DELETE" && !path.key.empty()) {
        pass(request.id, CancelRequested { caller, identity, path.key, path.ticket });
    } else {
        respondError(request.id, 405, "method_not_allowed", request.method + " is not for this path");
    }
}

void CallerDuty::submitted(const HttpRequest &request, const CallerCredentials &identity, bool wait)
{
    SubmitRequested event;
    event.caller = CallerNumbers::ofHttp(request.id);
    event.identity = identity;
    event.wait = wait;
    const auto parsed = fromJson(request.body, event.submission);
    if (!isOk(parsed)) {
        respondError(request.id, 400, "invalid_json", std::get<Error>(parsed).detail);
        return;
    }
    pass(request.id, std::move(event));
}

void CallerDuty::pass(CallerId id, CoreEvent event)
{
    // The ring takes two events a pending request, so it has room whenever this bound does.
    if (m_pending.size() >= m_mostPending || !m_events.tryPush(std::move(event))) {
        schema::SubmissionAnswer answer;
        answer.set_status(schema::ANSWER_STATUS_FAILED);
        answer.set_reason(schema::FAILURE_REASON_OVERLOADED);
        // It may be a repeated submission, and the first may be running.
        answer.set_certainty(schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        answer.set_detail("too many requests wait on this instance");
        answer.set_retry_after_ms(1000);
        m_metrics.counter("eelgrasscleat_answers_total", "reason", "RING_FULL", "Answers to callers by reason")
            .Increment();
        m_server->respond(id, toResponse(answer));
        return;
    }
    m_pending.insert(id);
}

void CallerDuty::respondError(CallerId id, unsigned status, const std::string &error, const std::string &detail)
{
    m_metrics.counter("eelgrasscleat_http_refusals_total", "reason", error, "Requests refused before any decision")
        .Increment();
    schema::CallerError body;
    body.set_error(error);
    body.set_detail(detail);
    HttpResponse response;
    response.status = status;
    response.body = toJson(body);
    m_server->respond(id, response);
}

void CallerDuty::answer(const AnswerCaller &action)
{
    const CallerId id = CallerNumbers::toHttp(action.caller);
    m_pending.erase(id);
    m_server->respond(id, toResponse(action.answer));
}

void CallerDuty::callerGone(CallerId id)
{
    if (m_pending.erase(id) > 0 && !m_events.tryPush(CallerDisconnected { CallerNumbers::ofHttp(id) })) {
        // Its answer will find no connection and be dropped there; nothing else depends on the event.
        m_metrics.counter("eelgrasscleat_events_dropped_total", "ring", "callers", "Events that found a full ring")
            .Increment();
    }
}

void CallerDuty::refused(HttpRefusal refusal, const std::string &)
{
    m_metrics
        .counter("eelgrasscleat_http_refusals_total",
                 "reason",
                 httpRefusalName(refusal),
                 "Requests refused before any decision")
        .Increment();
}

void CallerDuty::letCallersGo()
{
    m_server->closeAfterAnswers();
}

void CallerDuty::stopListening()
{
    m_server->stopListening();
}

bool CallerDuty::isIdle() const
{
    return m_pending.empty() && m_server->isIdle();
}

} // namespace Eelgrasscleat
