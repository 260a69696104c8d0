/// @file
/// HTTP plumbing that both stand-ins share: answers as schema messages, delays, the current time and a bounded stop.
#pragma once

#include <eelgrasscleat/Support/Time.h>
#include <eelgrasscleat/Wire/HttpServer.h>

#include <QObject>
#include <QTimer>

#include <chrono>
#include <functional>
#include <string>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace Eelgrasscleat
{

/// @returns whether @p fraction can be the probability of a fault.
inline bool isFraction(double fraction)
{
    return fraction >= 0 && fraction <= 1;
}

/// A server whose requests go to a function.
class StandInServer : public HttpServerHandler
{
public:
    StandInServer(const HttpServerLimits &limits, std::function<void(const HttpRequest &)> handle);

    HttpServer &http();
    /// Answers with a message as JSON.
    void answer(CallerId id, unsigned status, const google::protobuf::Message &message);
    /// Answers with {"error": text}.
    void answerError(CallerId id, unsigned status, const std::string &text);
    /// Runs a function on the event loop later, unless the stand-in is gone by then.
    void later(std::chrono::milliseconds delay, std::function<void()> run);
    /// Stops listening; calls @p done when idle or when the grace period is over.
    void stop(const std::function<void()> &done);

    void requestReceived(HttpRequest request) override;
    void callerGone(CallerId id) override;
    void refused(HttpRefusal refusal, const std::string &peer) override;

    /// @returns the present time, the one place where a stand-in reads the clock.
    static Instant now();

private:
    QObject m_context; ///< Ends timers together with this object.
    std::function<void(const HttpRequest &)> m_handle;
    HttpServer m_http;
    QTimer m_stopTimer;
};

} // namespace Eelgrasscleat
