/// @file
/// Drives the arrivals of one run over HTTP.
#include <eelgrasscleat/Load/LoadRun.h>

#include "ArrivalSource.h"
#include "OutcomeChecker.h"
#include "RatioHistogram.h"
#include "StartReader.h"

#include <eelgrasscleat/Wire/HttpClient.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Eelgrasscleat
{

/// Time between looks for arrivals that are due.
static constexpr std::chrono::milliseconds Tick { 1 };

/// Pause before a submission without an answer is made again.
static constexpr std::chrono::milliseconds LostPause { 50 };

static Instant currentInstant()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

static std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

static double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A submission that has been made.
struct Made
{
    std::string key;
    std::string body; ///< Every resubmission repeats it byte for byte.
    Instant due;
    double idealMs = 0;
    std::uint32_t lostCalls = 0;
    bool answered = false;
};

class LoadRun::Impl
{
public:
    explicit Impl(const LoadOptions &options)
        : m_options(options)
        , m_source(options)
        , m_tickets(options.entries.size())
        , m_starts(options.targets, [this](const schema::StartRecord &record) { m_checker.startRecorded(record); })
    {
        if (m_options.run.empty()) {
            m_options.run = std::to_string(wallMilliseconds());
        }
        for (const Endpoint &it : m_options.entries) {
            m_clients.push_back(std::make_unique<HttpClient>(it.address, it.port, m_options.connections));
        }
        m_timer.setTimerType(Qt::PreciseTimer);
        m_timer.setInterval(Tick);
        QObject::connect(&m_timer, &QTimer::timeout, &m_context, [this] { tick(); });
    }

    void start(std::function<void(Result<schema::LoadReport>)> done)
    {
        m_done = std::move(done);
        if (m_options.tickets == TicketUse::None) {
            begin();
            return;
        }
        for (std::size_t entry = 0; entry < m_clients.size(); ++entry) {
            fetchTicket(entry);
        }
    }

    void stop()
    {
        m_next.reset();
        m_ended = true;
        m_stopped = true;
    }

    [[nodiscard]] std::string progress() const
    {
        return std::to_string(m_report.submissions()) + " submissions, " + std::to_string(m_pending) + " pending, "
            + std::to_string(m_histogram.summary().count()) + " complete";
    }

private:
    void fetchTicket(std::size_t entry)
    {
        HttpCall call;
        call.method = "GET";
        call.target = "/v1/ticket";
        call.authorization = authorization();
        call.timeout = m_options.timeout;
        ++m_pending;
        m_clients[entry]->call(std::move(call), [this, entry](const CallResult &result) {
            --m_pending;
            rememberTicket(entry, result.body);
            if (m_pending == 0) {
                begin();
            }
        });
    }

    void rememberTicket(std::size_t entry, const std::string &body)
    {
        const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
        const std::string ticket = object.value(QStringLiteral("ticket")).toString().toStdString();
        if (!ticket.empty()) {
            m_tickets[entry] = ticket;
        }
    }

    void begin()
    {
        m_begin = currentInstant();
        m_lastAnswer = m_begin;
        if (!m_stopped) {
            m_next = m_source.next();
        }
        m_ended = !m_next;
        m_timer.start();
    }

    void tick()
    {
        const Instant now = currentInstant();
        while (m_next && m_begin + m_next->at <= now) {
            launch(*m_next, now);
            m_next = m_source.next();
            m_ended = !m_next;
        }
        if (m_ended && m_pending == 0 && m_followUps == 0) {
            m_timer.stop();
            finish();
        }
    }

    void launch(const Arrival &arrival, Instant now)
    {
        const std::size_t index = m_made.size();
        Made made;
        made.key = m_options.run + '-' + std::to_string(index);
        made.due = m_begin + arrival.at;
        made.idealMs = arrival.longestRunMs() / m_options.fastestSpeed + m_options.roundTripMs;
        made.body = makeBody(arrival, made.key);
        m_made.push_back(std::move(made));
        m_report.set_submissions(m_report.submissions() + 1);
        m_report.set_tasks(m_report.tasks() + arrival.runMs.size());
        m_report.set_max_lag_ms(std::max(m_report.max_lag_ms(), milliseconds(now - m_made[index].due)));
        submit(index, arrival.entry);
        if (arrival.resubmission) {
            followUp(*arrival.resubmission, [this, index](std::size_t entry) { resubmit(index, entry); });
        }
        if (arrival.cancel) {
            followUp(*arrival.cancel, [this, index](std::size_t entry) { cancel(index, entry); });
        }
    }

    std::string makeBody(const Arrival &arrival, const std::string &key)
    {
        schema::Submission submission;
        submission.set_customer(m_options.customer);
        submission.set_key(key);
        submission.set_created_ms(wallMilliseconds());
        submission.set_kind(arrival.kind);
        submission.set_deadline_ms(m_options.deadlineMs);
        submission.set_non_idempotent(arrival.nonIdempotent);
        if (m_options.tickets != TicketUse::None) {
            const bool own = m_options.tickets == TicketUse::Own;
            submission.set_ticket(m_tickets[own ? arrival.entry : arrival.ticketEntry]);
        }
        std::vector<std::string> payloads;
        for (const std::uint32_t runMs : arrival.runMs) {
            // The key and the index make each output tell whose it is.
            payloads.push_back("{\"run_ms\":" + std::to_string(runMs) + ",\"task\":\"" + key + '/'
                               + std::to_string(payloads.size()) + "\"}");
            auto *task = submission.add_tasks();
            task->set_payload(payloads.back());
            task->set_expected_run_ms(runMs);
        }
        const bool repeatable = arrival.kind == schema::SUBMISSION_KIND_REQUEST && !arrival.nonIdempotent;
        m_checker.submitted(key, std::move(payloads), repeatable);
        return toJson(submission);
    }

    void followUp(const FollowUp &what, std::function<void(std::size_t)> run)
    {
        ++m_followUps;
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(what.after);
        QTimer::singleShot(delay, &m_context, [this, entry = what.entry, run = std::move(run)] {
            --m_followUps;
            run(entry);
        });
    }

    void resubmit(std::size_t index, std::size_t entry)
    {
        m_report.set_resubmissions(m_report.resubmissions() + 1);
        submit(index, entry);
    }

    void submit(std::size_t index, std::size_t entry)
    {
        HttpCall call;
        call.target = submissionsPath();
        call.body = m_made[index].body;
        send(std::move(call), index, entry, [this, index, entry] { lost(index, entry); });
    }

    void cancel(std::size_t index, std::size_t entry)
    {
        m_report.set_cancels(m_report.cancels() + 1);
        HttpCall call;
        call.method = "DELETE";
        call.target = submissionsPath() + '/' + m_made[index].key;
        send(std::move(call), index, entry, [] {});
    }

    void send(HttpCall call, std::size_t index, std::size_t entry, std::function<void()> lost)
    {
        call.authorization = authorization();
        call.timeout = m_options.timeout;
        ++m_pending;
        m_clients[entry]->call(std::move(call), [this, index, entry, lost = std::move(lost)](const CallResult &result) {
            --m_pending;
            ended(index, entry, result, lost);
        });
    }

    void ended(std::size_t index, std::size_t entry, const CallResult &result, const std::function<void()> &lost)
    {
        m_lastAnswer = currentInstant();
        if (result.end == CallEnd::NotSent) {
            m_report.set_unsent_calls(m_report.unsent_calls() + 1);
            lost();
            return;
        }
        if (result.end == CallEnd::Lost) {
            m_report.set_lost_calls(m_report.lost_calls() + 1);
            lost();
            return;
        }
        answered(m_made[index], entry, result);
    }

    void answered(Made &made, std::size_t entry, const CallResult &result)
    {
        if (m_options.tickets != TicketUse::None) {
            rememberTicket(entry, result.body);
        }
        const auto status = m_checker.answered(made.key, result.status, result.body);
        if (status != schema::ANSWER_STATUS_COMPLETE || made.answered) {
            return;
        }
        made.answered = true;
        m_histogram.add(milliseconds(m_lastAnswer - made.due) / made.idealMs);
    }

    void lost(std::size_t index, std::size_t entry)
    {
        if (m_made[index].lostCalls >= m_options.lostRetries) {
            return;
        }
        ++m_made[index].lostCalls;
        const std::size_t other = (entry + 1) % m_clients.size();
        followUp(FollowUp { LostPause, other }, [this, index](std::size_t next) { resubmit(index, next); });
    }

    void finish()
    {
        m_report.set_run(m_options.run);
        m_report.set_seed(m_options.seed);
        m_report.set_seconds(milliseconds(m_lastAnswer - m_begin) / 1000);
        m_report.set_task_rate(static_cast<double>(m_report.tasks()) * 1000
                               / static_cast<double>(m_options.duration.count()));
        *m_report.mutable_response() = m_histogram.summary();
        m_starts.start([this](const std::optional<Error> &error) {
            if (error) {
                m_done(*error);
                return;
            }
            m_checker.finish(!m_options.targets.empty(), m_report);
            m_done(m_report);
        });
    }

    [[nodiscard]] std::string authorization() const
    {
        return "Bearer " + m_options.customerKey;
    }

    [[nodiscard]] std::string submissionsPath() const
    {
        return "/v1/customers/" + m_options.customer + "/submissions";
    }

    QObject m_context;
    LoadOptions m_options;
    ArrivalSource m_source;
    OutcomeChecker m_checker;
    RatioHistogram m_histogram;
    schema::LoadReport m_report;
    std::vector<std::string> m_tickets; ///< Newest ticket of each entry instance.
    std::vector<Made> m_made;
    std::optional<Arrival> m_next;
    bool m_ended = false; ///< No more arrivals.
    bool m_stopped = false; ///< stop() was called, perhaps before the first arrival.
    std::uint64_t m_pending = 0; ///< Calls.
    std::uint64_t m_followUps = 0; ///< Timers of what callers do later.
    Instant m_begin;
    Instant m_lastAnswer;
    std::function<void(Result<schema::LoadReport>)> m_done;
    StartReader m_starts;
    QTimer m_timer;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
};

LoadRun::LoadRun(const LoadOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

LoadRun::~LoadRun() = default;

void LoadRun::start(std::function<void(Result<schema::LoadReport>)> done)
{
    m_impl->start(std::move(done));
}

void LoadRun::stop()
{
    m_impl->stop();
}

std::string LoadRun::progress() const
{
    return m_impl->progress();
}

} // namespace Eelgrasscleat
