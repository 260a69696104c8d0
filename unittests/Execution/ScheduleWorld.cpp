/// @file
/// The random steps, the callers, and the checks of their answers.
#include "ScheduleWorld.h"

#include <algorithm>
#include <stdexcept>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;

static constexpr milliseconds MaxAge { 10'000 };
static constexpr milliseconds MaxSkew { 200 };
static constexpr std::uint64_t ClockErrorMs = 100;
/// Beyond MaxSkew, but not so far that an instance may say not run to what it would take a moment later.
static constexpr std::uint64_t MaxClientAheadMs = 250;
static const CustomerName Customer { "club" };

ScheduleWorld::ScheduleWorld(std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t i = 0; i < NodeCount; ++i) {
        kill(i, false);
    }
}

void ScheduleWorld::run(int steps)
{
    for (int i = 0; i < steps; ++i) {
        step();
    }
    settle();
}

ClockReading ScheduleWorld::clockOf(const Node &node) const
{
    const auto sinceStart = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    return { m_now, WallTime(sinceStart + node.clockError) };
}

std::size_t ScheduleWorld::drawAwakeNode()
{
    std::size_t at = draw(NodeCount);
    while (m_nodes[at].frozen) {
        at = (at + 1) % NodeCount;
    }
    return at;
}

std::size_t ScheduleWorld::nodeOf(IncarnationId incarnation) const
{
    const auto isIt = [&](const Node &node) { return node.incarnation == incarnation; };
    return static_cast<std::size_t>(std::find_if(m_nodes.begin(), m_nodes.end(), isIt) - m_nodes.begin());
}

std::string ScheduleWorld::outputOf(const std::string &payload)
{
    return "out:" + payload;
}

void ScheduleWorld::note(const std::string &text)
{
    m_trace.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + " ms: " + text);
}

void ScheduleWorld::require(bool holds, const std::string &what) const
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

void ScheduleWorld::step()
{
    const std::uint64_t kind = draw(100);
    const std::size_t at = drawAwakeNode();
    if (kind < 6) {
        submitNew();
    } else if (kind < 14) {
        if (!m_clients.empty()) {
            submitAgain(draw(m_clients.size()), at);
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
        moveStart(true);
    } else if (kind < 84) {
        deliverOutcome(draw(4) == 0);
    } else if (kind < 91) {
        advance(milliseconds(draw(20) == 0 ? draw(6000) : draw(60)));
    } else if (kind < 92) {
        stopOrKill(at);
    } else if (kind < 94) {
        Node &node = m_nodes[draw(NodeCount)];
        const auto frozen = std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node &n) { return n.frozen; });
        node.frozen = !node.frozen && frozen < 2;
    } else if (kind < 95) {
        const std::pair cut(draw(NodeCount), draw(NodeCount));
        if (!m_cuts.insert(cut).second) {
            m_cuts.erase(cut);
        }
    } else if (kind < 96) {
        m_logDown = !m_logDown;
        for (Node &node : m_nodes) {
            ExecutionActions out;
            node.table->setLogUsable(!m_logDown && node.nextOffset == m_log.size(), clockOf(node), out);
        }
        note(m_logDown ? "log down" : "log up");
    } else if (kind < 98) {
        cancelOne();
    } else if (kind < 99) {
        reportLost(at, m_nodes[draw(NodeCount)].incarnation);
    } else if (m_lastCaller > 0) {
        const CallerId caller(draw(m_lastCaller) + 1);
        const auto it = m_requests.find(caller);
        if (it != m_requests.end() && !it->second.answered && !m_nodes[it->second.node].frozen) {
            m_nodes[it->second.node].table->detachCaller(caller);
            it->second.answered = true;
        }
    }
}

void ScheduleWorld::submitNew()
{
    Client client;
    const std::size_t index = m_clients.size();
    const bool takesOldKey = index > 0 && draw(8) == 0;
    client.body.set_customer(Customer.value);
    client.body.set_key(takesOldKey ? m_clients[draw(index)].body.key() : "k" + std::to_string(index));
    if (draw(2) == 0) {
        client.body.set_ticket(ticketOf(m_nodes[draw(NodeCount)].incarnation));
    }
    const auto wall = clockOf(m_nodes[0]).wall.time_since_epoch();
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
    submitAgain(index, drawAwakeNode());
}

void ScheduleWorld::submitAgain(std::size_t client, std::size_t at)
{
    Node &node = m_nodes[at];
    const CallerId caller(++m_lastCaller);
    m_requests[caller] = { client, at, node.incarnation, false };
    note("caller " + std::to_string(caller.value) + " submits " + std::to_string(client) + " key "
         + m_clients[client].body.key() + " ticket " + m_clients[client].body.ticket() + " at incarnation "
         + std::to_string(node.incarnation.value));
    ExecutionActions out;
    node.table->submit(m_clients[client].body, m_clients[client].rules, caller, false, clockOf(node), out);
    apply(at, out);
}

void ScheduleWorld::cancelOne()
{
    if (m_clients.empty()) {
        return;
    }
    const std::size_t client = draw(m_clients.size());
    const std::size_t at = drawAwakeNode();
    const schema::Submission &body = m_clients[client].body;
    note("cancel of key " + body.key() + " at incarnation " + std::to_string(m_nodes[at].incarnation.value));
    ExecutionActions out;
    m_nodes[at].table->cancel(Customer,
                              body.key(),
                              CallerId(),
                              clockOf(m_nodes[at]),
                              out,
                              parseTicket(body.ticket()).value_or(IncarnationId()));
    apply(at, out);
}

void ScheduleWorld::apply(std::size_t at, ExecutionActions &actions)
{
    Node &node = m_nodes[at];
    for (ExecutionAction &action : actions) {
        if (const auto *claim = std::get_if<AppendClaim>(&action)) {
            node.unwritten.push_back(claim->digest);
        } else if (const auto *forward = std::get_if<ForwardToHome>(&action)) {
            ++m_counts.forwards;
            m_messages.push_back({ at, node.incarnation, forward->home, *forward, {} });
        } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&action)) {
            m_messages.push_back({ at, node.incarnation, cancel->home, *cancel, {} });
        } else if (const auto *tasks = std::get_if<EnqueueTasks>(&action)) {
            for (const std::uint32_t index : tasks->tasks) {
                node.queue.push_back({ tasks->submission, index });
            }
        } else if (std::holds_alternative<AnswerCaller>(action)) {
            answered(at, std::get<AnswerCaller>(action));
        }
        // Withdrawn tasks stay in this queue on purpose: beginAttempt() has to refuse them.
    }
    actions.clear();
}

void ScheduleWorld::answered(std::size_t at, const AnswerCaller &answer)
{
    Node &node = m_nodes[at];
    const auto peer = node.peerRequests.find(answer.caller);
    if (peer != node.peerRequests.end()) {
        const PeerRequest &request = peer->second;
        m_messages.push_back({ at, node.incarnation, request.fromIncarnation, answer.answer, request.submission });
        node.peerRequests.erase(peer);
        return;
    }
    const auto it = m_requests.find(answer.caller);
    require(it != m_requests.end(), "an answer for nobody");
    require(!it->second.answered, "caller " + std::to_string(answer.caller.value) + " answered twice");
    require(it->second.incarnation == node.incarnation, "an answer by another instance");
    checkAnswer(it->second, answer.answer);
    it->second.answered = true;
}

void ScheduleWorld::checkAnswer(Request &request, const schema::SubmissionAnswer &answer)
{
    Client &client = m_clients[request.client];
    const auto isStarted = [](int n) { return n > 0; };
    const bool someStarted = std::any_of(client.starts.begin(), client.starts.end(), isStarted);
    note("client " + std::to_string(request.client) + " is told " + schema::FailureReason_Name(answer.reason()) + " "
         + schema::RunCertainty_Name(answer.certainty()));
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
        require(someStarted, "told ran, and nothing was started");
    }
    if (answer.certainty() == schema::RUN_CERTAINTY_NOT_RUN) {
        ++m_counts.notRun;
        client.toldNotRun = true;
        require(!someStarted, "told not run after a start");
    }
}

void ScheduleWorld::advance(Duration by)
{
    m_now += by;
    for (std::size_t at = 0; at < NodeCount; ++at) {
        if (!m_nodes[at].frozen) {
            ExecutionActions out;
            m_nodes[at].table->tick(clockOf(m_nodes[at]), out);
            apply(at, out);
        }
    }
}

void ScheduleWorld::stopOrKill(std::size_t at)
{
    Node &node = m_nodes[at];
    if (node.leaving || draw(2) == 0) {
        kill(at, node.leaving);
        return;
    }
    node.leaving = true;
    node.table->stopAccepting();
    note("incarnation " + std::to_string(node.incarnation.value) + " stops accepting");
}

void ScheduleWorld::kill(std::size_t at, bool planned)
{
    Node &node = m_nodes[at];
    const std::size_t heir = (at + 1) % NodeCount;
    if (planned) {
        for (const auto &item : node.table->cachedAnswers(clockOf(node))) {
            m_nodes[heir].table->importAnswer(item, clockOf(m_nodes[heir]));
        }
    }
    for (auto &[caller, request] : m_requests) {
        request.answered |= request.incarnation == node.incarnation;
    }
    node = Node();
    node.incarnation = IncarnationId(++m_lastIncarnation);
    node.clockError = milliseconds(draw(ClockErrorMs));
    SubmissionTableSettings settings;
    settings.maxCachedAnswers = 1 + draw(20);
    settings.answerRetention = milliseconds(3000);
    settings.maxAge = MaxAge;
    settings.maxSkew = MaxSkew;
    node.table = std::make_unique<SubmissionTable>(node.incarnation, settings);
    note("incarnation " + std::to_string(node.incarnation.value) + " replaces that of instance " + std::to_string(at));
}

void ScheduleWorld::reportLost(std::size_t at, IncarnationId home)
{
    ExecutionActions out;
    m_nodes[at].table->handleHomeLost(home, nodeOf(home) == NodeCount, clockOf(m_nodes[at]), out);
    apply(at, out);
}

void ScheduleWorld::settle()
{
    m_logDown = false;
    m_cuts.clear();
    for (Node &node : m_nodes) {
        node.frozen = false;
    }
    while (hasWork()) {
        for (std::size_t at = 0; at < NodeCount; ++at) {
            appendClaim(at);
            readLog(at);
            beginAttempt(at);
        }
        moveStart(false);
        deliverOutcome(false);
        deliverMessage(false);
        advance(milliseconds(5));
    }
    // What still waits for a lost message ends with the peer's stream.
    for (std::size_t at = 0; at < NodeCount; ++at) {
        for (std::uint64_t home = 1; home <= m_lastIncarnation; ++home) {
            reportLost(at, IncarnationId(home));
        }
    }
    advance(MaxAge + MaxSkew);
    for (const auto &[caller, request] : m_requests) {
        require(request.answered, "caller " + std::to_string(caller.value) + " was never answered");
    }
    for (const Node &node : m_nodes) {
        require(node.table->unfinishedSubmissions() == 0, "a submission never ended");
    }
}

bool ScheduleWorld::hasWork() const
{
    const auto isBusy = [this](const Node &node) {
        return !node.queue.empty() || !node.unwritten.empty() || node.nextOffset < m_log.size();
    };
    return !m_messages.empty() || !m_starts.empty() || !m_outcomes.empty()
        || std::any_of(m_nodes.begin(), m_nodes.end(), isBusy);
}

} // namespace Eelgrasscleat
