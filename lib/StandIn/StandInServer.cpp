/// @file
/// Shared plumbing of the stand-ins.
#include "StandInServer.h"

#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace Eelgrasscleat
{

/// Longest wait for pending answers on a planned stop. A frozen stand-in has answers that never come.
static constexpr std::chrono::seconds StopGrace { 10 };

/// Time between looks whether all is answered.
static constexpr std::chrono::milliseconds StopPoll { 10 };

StandInServer::StandInServer(const HttpServerLimits &limits, std::function<void(const HttpRequest &)> handle)
    : m_handle(std::move(handle))
    , m_http(*this, limits)
{
}

HttpServer &StandInServer::http()
{
    return m_http;
}

void StandInServer::answer(CallerId id, unsigned status, const google::protobuf::Message &message)
{
    HttpResponse response;
    response.status = status;
    response.body = toJson(message);
    m_http.respond(id, response);
}

void StandInServer::answerError(CallerId id, unsigned status, const std::string &text)
{
    QJsonObject object;
    object["error"] = QString::fromStdString(text);
    HttpResponse response;
    response.status = status;
    response.body = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    m_http.respond(id, response);
}

void StandInServer::later(std::chrono::milliseconds delay, std::function<void()> run)
{
    if (delay.count() <= 0) {
        run();
        return;
    }
    QTimer::singleShot(delay, Qt::PreciseTimer, &m_context, std::move(run));
}

void StandInServer::stop(const std::function<void()> &done)
{
    m_http.stopListening();
    m_stopTimer.setInterval(StopPoll);
    QObject::connect(&m_stopTimer, &QTimer::timeout, &m_context, [this, giveUpAt = now() + StopGrace, done] {
        if (m_http.isIdle() || now() >= giveUpAt) {
            m_stopTimer.stop();
            done();
        }
    });
    m_stopTimer.start();
}

void StandInServer::requestReceived(HttpRequest request)
{
    m_handle(request);
}

void StandInServer::callerGone(CallerId)
{
    // What was started goes on: a target doesn't stop a task because its caller has gone.
}

void StandInServer::refused(HttpRefusal refusal, const std::string &peer)
{
    writeLog(LogLevel::Warn,
             "refused",
             { { "step", std::string(stepName(Step::ReadRequest)) },
               { "peer", peer },
               { "reason", std::string(httpRefusalName(refusal)) } });
}

Instant StandInServer::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Eelgrasscleat
