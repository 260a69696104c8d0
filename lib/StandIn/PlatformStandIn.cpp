/// @file
/// HTTP interface of the platform's stand-in over its log and its list.
#include <eelgrasscleat/StandIn/PlatformStandIn.h>

#include "LaggingList.h"
#include "RecordStore.h"
#include "RequestPath.h"
#include "StandInServer.h"

#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <standin.pb.h>

namespace Eelgrasscleat
{

/// Records of one page unless the reader asks for another number.
static constexpr std::uint64_t DefaultPageRecords = 1000;

/// Most open connections; every process of a deployment keeps a few.
static constexpr std::size_t PlatformConnections = 2000;

static HttpServerLimits platformLimits()
{
    HttpServerLimits limits;
    limits.connections = PlatformConnections;
    return limits;
}

class PlatformStandIn::Impl
{
public:
    explicit Impl(const schema::PlatformStandInSettings &settings)
        : m_settings(settings)
        , m_store(std::chrono::milliseconds(settings.retention_ms()))
        , m_cap(settings.appends_per_second())
        , m_list(std::chrono::milliseconds(settings.list_lag_ms()))
        , m_server(platformLimits(), [this](const HttpRequest &request) { handle(request); })
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
        if (path.matches({ "v1", "faults" })) {
            handleFaults(request);
            return;
        }
        if (path.matches({ "v1", "stats" })) {
            m_stats.set_records_kept(m_store.size());
            m_server.answer(request.id, 200, m_stats);
            return;
        }
        if (path.matches({ "v1", "instances", "*" })) {
            changeInstance(request, path);
            return;
        }
        if (m_faults.outage()) {
            m_server.http().abort(request.id);
            return;
        }
        if (path.matches({ "v1", "streams", "*", "records" })) {
            handleStream(request, path);
            return;
        }
        if (path.matches({ "v1", "instances" }) && request.method == "GET") {
            showInstances(request);
            return;
        }
        m_server.answerError(request.id, 404, "no such path: " + request.target);
    }

    void handleFaults(const HttpRequest &request)
    {
        if (request.method != "POST") {
            m_server.answer(request.id, 200, m_faults);
            return;
        }
        schema::PlatformFaults faults;
        const auto result = fromJson(request.body, faults);
        if (const auto *error = std::get_if<Error>(&result)) {
            m_server.answerError(request.id, 400, error->detail);
            return;
        }
        if (!isFraction(faults.lose_append_answers())) {
            m_server.answerError(request.id, 400, "lose_append_answers is a fraction from 0 to 1");
            return;
        }
        m_faults = std::move(faults);
        m_random.seed(m_faults.seed());
        m_list.setFrozen(m_faults.freeze_list());
        for (const auto &it : m_faults.expire_below()) {
            m_store.expireBelow(it.stream(), it.below());
        }
        m_server.answer(request.id, 200, m_faults);
    }

    void changeInstance(const HttpRequest &request, const RequestPath &path)
    {
        schema::ListedState state = schema::LISTED_STATE_UNSPECIFIED;
        if (request.method == "PUT") {
            const std::string wanted = path.value("state", "live");
            if (wanted != "live" && wanted != "leaving") {
                m_server.answerError(request.id, 400, "state is live or leaving, not " + wanted);
                return;
            }
            state = wanted == "live" ? schema::LISTED_STATE_LIVE : schema::LISTED_STATE_LEAVING;
        } else if (request.method != "DELETE") {
            m_server.answerError(request.id, 405, "PUT or DELETE");
            return;
        }
        m_list.change(path.part(2), state, StandInServer::now());
        m_server.answer(request.id, 200, schema::InstanceListAnswer());
    }

    void showInstances(const HttpRequest &request)
    {
        m_stats.set_list_reads(m_stats.list_reads() + 1);
        m_server.later(std::chrono::milliseconds(m_faults.read_delay_ms()), [this, id = request.id] {
            auto answer = m_list.show(StandInServer::now());
            if (m_faults.empty_list()) {
                answer.Clear();
            }
            m_server.answer(id, 200, answer);
        });
    }

    void handleStream(const HttpRequest &request, const RequestPath &path)
    {
        const std::string &stream = path.part(2);
        if (request.method == "POST") {
            append(request, stream);
            return;
        }
        if (request.method != "GET") {
            m_server.answerError(request.id, 405, "GET or POST");
            return;
        }
        const std::uint64_t from = path.number("from", 0);
        const std::uint64_t max = path.number("max", DefaultPageRecords);
        m_server.later(std::chrono::milliseconds(m_faults.read_delay_ms()),
                       [this, id = request.id, stream, from, max] { answerRead(id, stream, from, max); });
    }

    void append(const HttpRequest &request, const std::string &stream)
    {
        if (!m_cap.take(StandInServer::now())) {
            m_stats.set_appends_refused(m_stats.appends_refused() + 1);
            m_server.answerError(request.id, 429, "over the cap on appends");
            return;
        }
        // The effect comes at the end of the delay, also when the caller has given up by then.
        const std::chrono::milliseconds delay(m_settings.append_ms() + m_faults.append_delay_ms());
        m_server.later(delay,
                       [this, id = request.id, stream, body = request.body] { completeAppend(id, stream, body); });
    }

    void completeAppend(CallerId id, const std::string &stream, const std::string &body)
    {
        schema::AppendAnswer answer;
        answer.set_offset(m_store.append(stream, body, StandInServer::now()));
        m_stats.set_appends(m_stats.appends() + 1);
        m_stats.set_bytes_appended(m_stats.bytes_appended() + body.size());
        if (std::bernoulli_distribution(m_faults.lose_append_answers())(m_random)) {
            m_stats.set_append_answers_lost(m_stats.append_answers_lost() + 1);
            m_server.http().abort(id);
            return;
        }
        m_server.answer(id, 200, answer);
    }

    void answerRead(CallerId id, const std::string &stream, std::uint64_t from, std::uint64_t max)
    {
        m_store.expire(StandInServer::now());
        const auto page = m_store.read(stream, from, max);
        m_stats.set_reads(m_stats.reads() + 1);
        for (const auto &it : page.records()) {
            m_stats.set_bytes_read(m_stats.bytes_read() + it.data().size());
        }
        m_server.answer(id, 200, page);
    }

    schema::PlatformStandInSettings m_settings;
    schema::PlatformFaults m_faults;
    schema::PlatformStats m_stats;
    RandomSource m_random { 0 };
    RecordStore m_store;
    AppendCap m_cap;
    LaggingList m_list;
    StandInServer m_server;
};

PlatformStandIn::PlatformStandIn(const schema::PlatformStandInSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

PlatformStandIn::~PlatformStandIn() = default;

Result<std::uint16_t> PlatformStandIn::listen()
{
    return m_impl->listen();
}

void PlatformStandIn::stop(const std::function<void()> &done)
{
    m_impl->stop(done);
}

} // namespace Eelgrasscleat
