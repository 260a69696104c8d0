/// @file
/// HTTP interface of the target's stand-in over its slots and its history of starts.
#include <eelgrasscleat/StandIn/TargetStandIn.h>

#include "RequestPath.h"
#include "StandInServer.h"
#include "StartHistory.h"
#include "TaskRunner.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <chrono>

namespace Eelgrasscleat
{

/// Connections over those of the settings, so that faults can be switched while all of those are taken.
static constexpr std::size_t ControlConnections = 4;

/// Records of one page of the history unless the reader asks for another number.
static constexpr std::uint64_t DefaultPageStarts = 10000;

static HttpServerLimits targetLimits(const schema::TargetStandInSettings &settings)
{
    HttpServerLimits limits;
    limits.connections = settings.connections() + ControlConnections;
    limits.idle = std::chrono::minutes(10);
    return limits;
}

static std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

class TargetStandIn::Impl
{
public:
    explicit Impl(const schema::TargetStandInSettings &settings)
        : m_settings(settings)
        , m_runner(settings)
        , m_server(targetLimits(settings), [this](const HttpRequest &request) { handle(request); })
    {
    }

    Result<std::uint16_t> listen()
    {
        return m_server.http().listen(m_settings.address(), static_cast<std::uint16_t>(m_settings.port()));
    }

    void stop(const std::function<void()> &done)
    {
        m_server.stop(done);
    }

private:
    void handle(const HttpRequest &request)
    {
        const RequestPath path(request.target);
        if (path.matches({ "v1", "start" }) && request.method == "POST") {
            start(request);
            return;
        }
        if (path.matches({ "v1", "starts" })) {
            handleStarts(request, path);
            return;
        }
        if (path.matches({ "v1", "faults" })) {
            handleFaults(request);
            return;
        }
        m_server.answerError(request.id, 404, "no such path: " + request.target);
    }

    void start(const HttpRequest &request)
    {
        schema::StartRequest wanted;
        const auto result = fromJson(request.body, wanted);
        if (const auto *error = std::get_if<Error>(&result)) {
            m_server.answerError(request.id, 400, error->detail);
            return;
        }
        const StartPlan plan = m_runner.plan(wanted);
        record(wanted, plan.disposition);
        switch (plan.disposition) {
        case schema::START_DISPOSITION_RUN:
            m_server.later(plan.answerAfter, [this, id = request.id, answer = plan.answer] { finish(id, answer); });
            return;
        case schema::START_DISPOSITION_REFUSED:
            m_server.later(plan.answerAfter,
                           [this, id = request.id, answer = plan.answer] { m_server.answer(id, 503, answer); });
            return;
        case schema::START_DISPOSITION_DROPPED:
            m_server.http().abort(request.id);
            return;
        default:
            return; // Frozen: no answer ever.
        }
    }

    void record(const schema::StartRequest &request, schema::StartDisposition disposition)
    {
        schema::StartRecord record;
        record.set_attempt(request.attempt());
        record.set_customer(request.customer());
        record.set_submission(request.submission());
        record.set_task(request.task());
        record.set_at_ms(wallMilliseconds());
        record.set_disposition(disposition);
        m_history.add(std::move(record));
    }

    void finish(CallerId id, const schema::StartAnswer &answer)
    {
        m_runner.release();
        if (!m_runner.faults().freeze()) {
            m_server.answer(id, 200, answer);
        }
    }

    void handleStarts(const HttpRequest &request, const RequestPath &path)
    {
        if (request.method == "DELETE") {
            m_history.clear();
        }
        m_server.answer(request.id, 200, m_history.page(path.number("from", 0), path.number("max", DefaultPageStarts)));
    }

    void handleFaults(const HttpRequest &request)
    {
        schema::TargetFaults faults = m_runner.faults();
        if (request.method == "POST") {
            faults.Clear();
            const auto result = fromJson(request.body, faults);
            if (const auto *error = std::get_if<Error>(&result)) {
                m_server.answerError(request.id, 400, error->detail);
                return;
            }
            if (!isFraction(faults.fail_fraction()) || !isFraction(faults.straggle_fraction())) {
                m_server.answerError(request.id, 400, "fail_fraction and straggle_fraction are from 0 to 1");
                return;
            }
            m_runner.setFaults(faults);
        }
        m_server.answer(request.id, 200, faults);
    }

    schema::TargetStandInSettings m_settings;
    TaskRunner m_runner;
    StartHistory m_history;
    StandInServer m_server;
};

TargetStandIn::TargetStandIn(const schema::TargetStandInSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

TargetStandIn::~TargetStandIn() = default;

Result<std::uint16_t> TargetStandIn::listen()
{
    return m_impl->listen();
}

void TargetStandIn::stop(const std::function<void()> &done)
{
    m_impl->stop(done);
}

} // namespace Eelgrasscleat
