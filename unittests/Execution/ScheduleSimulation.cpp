/// @file
/// Implements the random steps, the callers and the checks of their answers.
#include "ScheduleSimulation.h"

#include <algorithm>
#include <stdexcept>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;

static constexpr milliseconds MaxAge { 10'000 };
static constexpr milliseconds MaxSkew { 200 };
static constexpr std::uint64_t ClockErrorMs = 100;
/// Exceeds MaxSkew, but not by so much that an instance could answer "not run" to a submission that it would accept
/// shortly afterwards.
static constexpr std::uint64_t MaxClientAheadMs = 250;
static const CustomerName Customer { "club" };

ScheduleSimulation::ScheduleSimulation(std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        kill(i, false);
    }
}

void ScheduleSimulation::run(int steps)
{
    for (int i = 0; i < steps; ++i) {
        step();
    }
    drain();
}

ClockReading ScheduleSimulation::clockOf(const Instance &instance) const
{
    const auto sinceStart = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    return { m_now, WallTime(sinceStart + instance.clockError) };
}

std::size_t ScheduleSimulation::drawRunningInstance()
{
    std::size_t at = draw(InstanceCount);
    while (m_instances[at].frozen) {
        at = (at + 1) % InstanceCount;
    }
    return at;
}

std::size_t ScheduleSimulation::instanceOf(IncarnationId incarnation) const
{
    const auto hasIncarnation = [&](const Instance &instance) { return instance.incarnation == incarnation; };
    return static_cast<std::size_t>(std::find_if(m_instances.begin(), m_instances.end(), hasIncarnation)
                                    - m_instances.begin());
}

std::string ScheduleSimulation::outputOf(const std::string &payload)
{
    return "out:" + payload;
}

void ScheduleSimulation::trace(const std::string &text)
{
    m_trace.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + " ms: " + text);
}

void ScheduleSimulation::require(bool holds, const std::string &what) const
{
    if (holds) {
        return;
    }
    std::string text = what + "; schedule:\n";
    for (const std::string &line : m_trace) {
        text += line + "\n";
    }
    throw std::runtime_error(text);
}

void ScheduleSimulation::step()
{
    const std::uint64_t kind = draw(100);
    const std::size_t at = drawRunningInstance();
    if (kind < 6) {
        submitNew();
    } else if (kind < 14) {
        if (!m_clients.empty()) {
            submitAt(draw(m_clients.size()), at);
        }
    } else if (kind < 30) {
        deliverMessage(draw(5) == 0);
    } else if (kind < 32) {
        if (!m_messages.empty()) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(draw(m_messages.size())));
        }
    } else if (kind < 40) {
        appendClaim(at);
    } else if (kind < 52) {
        readLog(at);
    } else if (kind < 64) {
        beginAttempt(at);
    } else if (kind < 74) {
        deliverStart(true);
    } else if (kind < 84) {
        deliverOutcome(draw(4) == 0);
    } else if (kind < 91) {
        advance(milliseconds(draw(20) == 0 ? draw(6000) : draw(60)));
    } else if (kind < 92) {
        stopOrKill(at);
    } else if (kind < 94) {
        Instance &instance = m_instances[draw(InstanceCount)];
        const auto frozen =
            std::count_if(m_instances.begin(), m_instances.end(), [](const Instance &n) { return n.frozen; });
        instance.frozen = !instance.frozen && frozen < 2;
    } else if (kind < 95) {
        const std::pair cut(draw(InstanceCount), draw(InstanceCount));
        if (!m_cuts.insert(cut).second) {
            m_cuts.erase(cut);
        }
    } else if (kind < 96) {
        m_logDown = !m_logDown;
        for (Instance &instance : m_instances) {
            ExecutionActions out;
            instance.table->setLogUsable(!m_logDown && instance.nextOffset == m_log.size(), clockOf(instance), out);
        }
        trace(m_logDown ? "log down" : "log up");
    } else if (kind < 98) {
        cancelOne();
    } else if (kind < 99) {
        reportLost(at, m_instances[draw(InstanceCount)].incarnation);
    } else if (m_lastCaller > 0) {
        const CallerId caller(draw(m_lastCaller) + 1);
        const auto it = m_requests.find(caller);
        if (it != m_requests.end() && !it->second.answered && !m_instances[it->second.instance].frozen) {
            m_instances[it->second.instance].table->detachCaller(caller);
            it->second.answered = true;
        }
    }
}

void ScheduleSimulation::submitNew()
{
    Client client;
    const std::size_t index = m_clients.size();
    const bool reusesKey = index > 0 && draw(8) == 0;
    client.body.set_customer(Customer.value);
    client.body.set_key(reusesKey ? m_clients[draw(index)].body.key() : "k" + std::to_string(index));
    if (draw(2) == 0) {
        client.body.set_ticket(ticketOf(m_instances[draw(InstanceCount)].incarnation));
    }
    const auto wall = clockOf(m_instances[0]).wall.time_since_epoch();
    const std::uint64_t aheadMs = draw(10) == 0 ? draw(MaxClientAheadMs) : 0;
    client.body.set_created_ms(static_cast<std::uint64_t>(wall.count()) + aheadMs);
    client.body.set_deadline_ms(draw(2) == 0 ? 0 : static_cast<std::uint32_t>(100 + draw(3000)));
    const bool isRequest = draw(3) == 0;
    client.body.set_kind(isRequest ? schema::SUBMISSION_KIND_REQUEST : schema::SUBMISSION_KIND_JOB);
    client.body.set_non_idempotent(draw(2) == 0);
    client.rules.idempotent = draw(2) == 0;
    client.starts.resize(isRequest ? 1 : 1 + draw(4));
    for (std::size_t i = 0; i < client.starts.size(); ++i) {
        client.body.add_tasks()->set_payload(std::to_string(index) + ":" + std::to_string(i));
    }
    m_clients.push_back(client);
    submitAt(index, drawRunningInstance());
}

void ScheduleSimulation::submitAt(std::size_t client, std::size_t at)
{
    Instance &instance = m_instances[at];
    const CallerId caller(++m_lastCaller);
    m_requests[caller] = { client, at, instance.incarnation, false };
    trace("caller " + std::to_string(caller.value) + " submits " + std::to_string(client) + " key "
          + m_clients[client].body.key() + " ticket " + m_clients[client].body.ticket() + " at incarnation "
          + std::to_string(instance.incarnation.value));
    ExecutionActions out;
    instance.table->submit(m_clients[client].body, m_clients[client].rules, caller, false, clockOf(instance), out);
    apply(at, out);
}

void ScheduleSimulation::cancelOne()
{
    if (m_clients.empty()) {
        return;
    }
    const std::size_t client = draw(m_clients.size());
    const std::size_t at = drawRunningInstance();
    const schema::Submission &body = m_clients[client].body;
    trace("cancel of key " + body.key() + " at incarnation " + std::to_string(m_instances[at].incarnation.value));
    ExecutionActions out;
    m_instances[at].table->cancel(Customer,
                                  body.key(),
                                  CallerId(),
                                  clockOf(m_instances[at]),
                                  out,
                                  parseTicket(body.ticket()).value_or(IncarnationId()));
    apply(at, out);
}

void ScheduleSimulation::apply(std::size_t at, ExecutionActions &actions)
{
    Instance &instance = m_instances[at];
    for (ExecutionAction &action : actions) {
        if (const auto *claim = std::get_if<AppendClaim>(&action)) {
            instance.pendingClaims.push_back(claim->digest);
        } else if (const auto *forward = std::get_if<ForwardToHome>(&action)) {
            ++m_counts.forwards;
            m_messages.push_back({ at, instance.incarnation, forward->home, *forward, {} });
        } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&action)) {
            m_messages.push_back({ at, instance.incarnation, cancel->home, *cancel, {} });
        } else if (const auto *tasks = std::get_if<EnqueueTasks>(&action)) {
            for (const std::uint32_t index : tasks->tasks) {
                instance.queue.push_back({ tasks->submission, index });
            }
        } else if (std::holds_alternative<AnswerCaller>(action)) {
            handleAnswer(at, std::get<AnswerCaller>(action));
        }
        // Withdrawn tasks remain in this queue on purpose: beginAttempt() must reject them.
    }
    actions.clear();
}

void ScheduleSimulation::handleAnswer(std::size_t at, const AnswerCaller &answer)
{
    Instance &instance = m_instances[at];
    const auto peer = instance.peerRequests.find(answer.caller);
    if (peer != instance.peerRequests.end()) {
        const PeerRequest &request = peer->second;
        m_messages.push_back({ at, instance.incarnation, request.fromIncarnation, answer.answer, request.submission });
        instance.peerRequests.erase(peer);
        return;
    }
    const auto it = m_requests.find(answer.caller);
    require(it != m_requests.end(), "an answer to an unknown caller");
    require(!it->second.answered, "caller " + std::to_string(answer.caller.value) + " answered twice");
    require(it->second.incarnation == instance.incarnation, "an answer by another instance");
    checkAnswer(it->second, answer.answer);
    it->second.answered = true;
}

void ScheduleSimulation::checkAnswer(Request &request, const schema::SubmissionAnswer &answer)
{
    Client &client = m_clients[request.client];
    const auto isStarted = [](int n) { return n > 0; };
    const bool someStarted = std::any_of(client.starts.begin(), client.starts.end(), isStarted);
    trace("client " + std::to_string(request.client) + " is answered " + schema::FailureReason_Name(answer.reason())
          + " " + schema::RunCertainty_Name(answer.certainty()));
    require(answer.key() == client.body.key(), "an answer with another key");
    if (answer.status() == schema::ANSWER_STATUS_COMPLETE) {
        ++m_counts.complete;
        require(answer.results_size() == client.body.tasks_size(), "a partial answer");
        for (int i = 0; i < answer.results_size(); ++i) {
            require(answer.results(i).output() == outputOf(client.body.tasks(i).payload()), "another task's result");
        }
        return;
    }
    require(answer.status() == schema::ANSWER_STATUS_FAILED && answer.results().empty(), "neither complete nor failed");
    ++m_counts.failed[answer.reason()];
    if (answer.certainty() == schema::RUN_CERTAINTY_RAN) {
        require(someStarted, "answered ran, but no task was started");
    }
    if (answer.certainty() == schema::RUN_CERTAINTY_NOT_RUN) {
        ++m_counts.notRun;
        client.wasAnsweredNotRun = true;
        require(!someStarted, "answered not run, but a task was started");
    }
}

void ScheduleSimulation::advance(Duration by)
{
    m_now += by;
    for (std::size_t at = 0; at < InstanceCount; ++at) {
        if (!m_instances[at].frozen) {
            ExecutionActions out;
            m_instances[at].table->tick(clockOf(m_instances[at]), out);
            apply(at, out);
        }
    }
}

void ScheduleSimulation::stopOrKill(std::size_t at)
{
    Instance &instance = m_instances[at];
    if (instance.leaving || draw(2) == 0) {
        kill(at, instance.leaving);
        return;
    }
    instance.leaving = true;
    instance.table->stopAccepting();
    trace("incarnation " + std::to_string(instance.incarnation.value) + " stops accepting");
}

void ScheduleSimulation::kill(std::size_t at, bool planned)
{
    Instance &instance = m_instances[at];
    const std::size_t successor = (at + 1) % InstanceCount;
    if (planned) {
        for (const auto &item : instance.table->cachedAnswers(clockOf(instance))) {
            m_instances[successor].table->importAnswer(item, clockOf(m_instances[successor]));
        }
    }
    for (auto &[caller, request] : m_requests) {
        request.answered |= request.incarnation == instance.incarnation;
    }
    instance = Instance();
    instance.incarnation = IncarnationId(++m_lastIncarnation);
    instance.clockError = milliseconds(draw(ClockErrorMs));
    SubmissionTableSettings settings;
    settings.maxCachedAnswers = 1 + draw(20);
    settings.answerRetention = milliseconds(3000);
    settings.maxAge = MaxAge;
    settings.maxSkew = MaxSkew;
    instance.table = std::make_unique<SubmissionTable>(instance.incarnation, settings);
    trace("incarnation " + std::to_string(instance.incarnation.value) + " replaces that of instance "
          + std::to_string(at));
}

void ScheduleSimulation::reportLost(std::size_t at, IncarnationId home)
{
    ExecutionActions out;
    m_instances[at].table->handleHomeLost(home, instanceOf(home) == InstanceCount, clockOf(m_instances[at]), out);
    apply(at, out);
}

void ScheduleSimulation::drain()
{
    m_logDown = false;
    m_cuts.clear();
    for (Instance &instance : m_instances) {
        instance.frozen = false;
    }
    while (hasWork()) {
        for (std::size_t at = 0; at < InstanceCount; ++at) {
            appendClaim(at);
            readLog(at);
            beginAttempt(at);
        }
        deliverStart(false);
        deliverOutcome(false);
        deliverMessage(false);
        advance(milliseconds(5));
    }
    // Submissions that still wait for a lost message fail when the peer's stream breaks.
    for (std::size_t at = 0; at < InstanceCount; ++at) {
        for (std::uint64_t home = 1; home <= m_lastIncarnation; ++home) {
            reportLost(at, IncarnationId(home));
        }
    }
    advance(MaxAge + MaxSkew);
    for (const auto &[caller, request] : m_requests) {
        require(request.answered, "caller " + std::to_string(caller.value) + " was never answered");
    }
    for (const Instance &instance : m_instances) {
        require(instance.table->unfinishedSubmissions() == 0, "a submission never ended");
    }
}

bool ScheduleSimulation::hasWork() const
{
    const auto isBusy = [this](const Instance &instance) {
        return !instance.queue.empty() || !instance.pendingClaims.empty() || instance.nextOffset < m_log.size();
    };
    return !m_messages.empty() || !m_starts.empty() || !m_outcomes.empty()
        || std::any_of(m_instances.begin(), m_instances.end(), isBusy);
}

} // namespace Eelgrasscleat
