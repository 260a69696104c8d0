/// @file
/// Routes, status codes and JSON bodies of the callers' HTTP interface.
#include "CallerServer.h"

#include "CallerIds.h"

#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Wire/JsonCodec.h>
#include <eelgrasscleat/Wire/QtText.h>

#include <QUrl>
#include <QUrlQuery>

#include <prometheus/counter.h>

#include <utility>

namespace Eelgrasscleat
{

static const std::string BearerPrefix = "Bearer ";

/// Commas in the JSON of a submission: a task has five fields and is followed by one; the submission has seven other
/// fields.
static constexpr std::size_t CommasPerTask = 8;
static constexpr std::size_t OtherCommas = 64;

/// Path and query of a caller's request, parsed.
struct CallerPath
{
    CustomerName customer;
    std::string key; ///< Empty for the collection of submissions.
    bool wait = true;
    std::string ticket; ///< Ticket of the submission to cancel.
    bool isTicketRequest = false;
    bool isKnown = false; ///< Whether the path belongs to the callers' interface.
};

/// QUrl replaces bytes that are no valid UTF-8, which would turn one name into another.
/// @returns whether @p target is valid UTF-8, as it stands and with its percent signs decoded.
static bool isUtf8Path(const std::string &target)
{
    const QByteArray encoded = QByteArray::fromStdString(target);
    const QByteArray decoded = QByteArray::fromPercentEncoding(encoded);
    return QByteArrayView(encoded).isValidUtf8() && QByteArrayView(decoded).isValidUtf8();
}

/// @param target valid UTF-8, also after its percent signs are decoded
static CallerPath parsePath(const std::string &target)
{
    CallerPath path;
    const QUrl url(toQString(target));
    const QStringList segments = url.path(QUrl::FullyDecoded).split(QLatin1Char('/'), Qt::SkipEmptyParts);
    const QUrlQuery query(url);
    path.wait = query.queryItemValue(QStringLiteral("wait")) != QLatin1String("0");
    path.ticket = query.queryItemValue(QStringLiteral("ticket")).toStdString();
    if (segments.size() == 2 && segments[0] == QLatin1String("v1") && segments[1] == QLatin1String("ticket")) {
        path.isTicketRequest = true;
        path.isKnown = true;
        return path;
    }
    const bool isSubmissionPath = (segments.size() == 4 || segments.size() == 5) && segments[0] == QLatin1String("v1")
        && segments[1] == QLatin1String("customers") && segments[3] == QLatin1String("submissions");
    if (!isSubmissionPath) {
        return path;
    }
    path.customer = CustomerName(segments[2].toStdString());
    path.key = segments.size() == 5 ? segments[4].toStdString() : std::string();
    path.isKnown = true;
    return path;
}

static unsigned httpStatus(const schema::SubmissionAnswer &answer)
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
    response.status = httpStatus(answer);
    response.body = toJson(answer);
    // Retry-After has a resolution of seconds, so round up; the body has the exact milliseconds.
    response.retryAfterSeconds = (answer.retry_after_ms() + 999) / 1000;
    return response;
}

static HttpServerLimits serverLimits(const schema::CallerLimitSettings &settings)
{
    HttpServerLimits limits;
    limits.headerBytes = settings.header_bytes();
    limits.bodyBytes = settings.body_bytes();
    limits.connections = settings.connections();
    limits.header = std::chrono::milliseconds(settings.header_ms());
    limits.idle = std::chrono::milliseconds(settings.idle_ms());
    limits.pipelined = settings.pipelined();
    limits.heldBytes = std::size_t { settings.held_mb() } * 1024 * 1024;
    return limits;
}

CallerServer::CallerServer(const schema::EntrySettings &settings,
                           EventRing &events,
                           std::size_t maxPending,
                           Metrics &metrics)
    : m_settings(settings)
    , m_events(events)
    , m_maxPending(maxPending)
    , m_metrics(metrics)
    , m_server(std::make_unique<HttpServer>(*this, serverLimits(settings.callers())))
{
}

Result<std::uint16_t> CallerServer::listen()
{
    const auto &listen = m_settings.listen();
    return m_server->listen(listen.address(), static_cast<std::uint16_t>(listen.caller_port()));
}

void CallerServer::requestReceived(HttpRequest request)
{
    if (!isUtf8Path(request.target)) {
        respondError(request.id, 400, "invalid_path", "expected UTF-8");
        return;
    }
    const CallerPath path = parsePath(request.target);
    if (!path.isKnown) {
        respondError(request.id, 404, "not_found", "see docs/operators/callers.md for the paths");
        return;
    }
    if (path.isTicketRequest) {
        pushEvent(request.id, TicketRequested { CallerIds::fromHttp(request.id) });
        return;
    }
    if (request.authorization.rfind(BearerPrefix, 0) != 0) {
        respondError(request.id, 401, "unauthorized", "header Authorization: Bearer KEY is missing");
        return;
    }
    const CallerCredentials credentials { path.customer, request.authorization.substr(BearerPrefix.size()) };
    const CallerId caller = CallerIds::fromHttp(request.id);
    if (request.method == "POST" && path.key.empty()) {
        handleSubmit(request, credentials, path.wait);
    } else if (request.method == "GET" && !path.key.empty()) {
        pushEvent(request.id, FetchRequested { caller, credentials, path.key, path.wait });
    } else if (request.method == "DELETE" && !path.key.empty()) {
        pushEvent(request.id, CancelRequested { caller, credentials, path.key, path.ticket });
    } else {
        respondError(request.id, 405, "method_not_allowed", request.method + " is not for this path");
    }
}

void CallerServer::handleSubmit(const HttpRequest &request, const CallerCredentials &credentials, bool wait)
{
    // Decoded, a task takes 50 times its bytes, so their number is bounded before.
    if (countCommas(request.body) > m_settings.callers().tasks() * CommasPerTask + OtherCommas) {
        m_metrics.counter("eelgrasscleat_answers_total", "reason", "TOO_MANY_TASKS", "Answers to callers by reason")
            .Increment();
        schema::SubmissionAnswer answer;
        answer.set_status(schema::ANSWER_STATUS_FAILED);
        answer.set_reason(schema::FAILURE_REASON_TOO_MANY_TASKS);
        answer.set_certainty(schema::RUN_CERTAINTY_NOT_RUN);
        answer.set_detail("tasks: at most " + std::to_string(m_settings.callers().tasks()) + " allowed");
        m_server->respond(request.id, toResponse(answer));
        return;
    }
    SubmitRequested event;
    event.caller = CallerIds::fromHttp(request.id);
    event.credentials = credentials;
    event.wait = wait;
    const auto parsed = fromJson(request.body, event.submission);
    if (!isOk(parsed)) {
        respondError(request.id, 400, "invalid_json", std::get<Error>(parsed).detail);
        return;
    }
    // One copy with the caller's thread or in a ring, and one with the decisions.
    m_server->setHeldBytes(request.id, 2 * event.submission.SpaceUsedLong());
    pushEvent(request.id, std::move(event));
}

void CallerServer::pushEvent(CallerId id, CoreEvent event)
{
    // The ring holds two events for each pending request, so tryPush() succeeds while this limit is kept.
    if (m_pending.size() >= m_maxPending || !m_events.tryPush(std::move(event))) {
        schema::SubmissionAnswer answer;
        answer.set_status(schema::ANSWER_STATUS_FAILED);
        answer.set_reason(schema::FAILURE_REASON_OVERLOADED);
        // This may repeat an earlier submission that is running.
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

void CallerServer::respondError(CallerId id, unsigned status, const std::string &error, const std::string &detail)
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

void CallerServer::answer(const AnswerCaller &action)
{
    const CallerId id = CallerIds::toHttp(action.caller);
    m_pending.erase(id);
    m_server->respond(id, toResponse(action.answer));
}

void CallerServer::callerGone(CallerId id)
{
    if (m_pending.erase(id) > 0 && !m_events.tryPush(CallerDisconnected { CallerIds::fromHttp(id) })) {
        // Losing the event is harmless: the HTTP server drops an answer whose connection is closed.
        m_metrics.counter("eelgrasscleat_events_dropped_total", "ring", "callers", "Events that found a full ring")
            .Increment();
    }
}

void CallerServer::refused(HttpRefusal refusal, const std::string &)
{
    m_metrics
        .counter("eelgrasscleat_http_refusals_total",
                 "reason",
                 httpRefusalName(refusal),
                 "Requests refused before any decision")
        .Increment();
}

void CallerServer::beginStop()
{
    m_server->closeAfterAnswers();
}

void CallerServer::stopListening()
{
    m_server->stopListening();
}

bool CallerServer::isIdle() const
{
    return m_pending.empty() && m_server->isIdle();
}

} // namespace Eelgrasscleat
