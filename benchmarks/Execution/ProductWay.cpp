/// @file
/// Joins the product's tables with the simulated log, network and targets.
#include "ProductWay.h"

#include <records.pb.h>

namespace Eelgrasscleat
{

/// Least time between two appends of one instance.
static constexpr Duration AppendInterval = std::chrono::milliseconds(30);
/// A record of the log as JSON: base64 of its bytes, and its offset and names.
static constexpr std::size_t RecordOverheadBytes = 40;

static std::size_t bytesOnWire(const std::vector<Digest> &digests, IncarnationId claimant)
{
    schema::ClaimBatch batch;
    batch.set_incarnation(claimant.value);
    for (const Digest &digest : digests) {
        batch.add_digests(digest.high);
        batch.add_digests(digest.low);
    }
    return batch.ByteSizeLong() * 4 / 3 + RecordOverheadBytes;
}

ProductWay::ProductWay(Simulation &simulation, double ticketShare)
    : m_simulation(simulation)
    , m_ticketShare(ticketShare)
    , m_nodes(simulation.instances().size())
{
}

void ProductWay::restarted(std::size_t at)
{
    SubmissionTableSettings settings;
    settings.answerRetention = std::chrono::minutes(10);
    settings.maxAge = std::chrono::hours(1);
    settings.maxSkew = std::chrono::seconds(1);
    m_nodes[at] = Node();
    m_nodes[at].table = std::make_unique<SubmissionTable>(m_simulation.instances()[at].incarnation, settings);
}

void ProductWay::platformChanged(std::size_t at)
{
    ExecutionActions out;
    if (m_simulation.reachesPlatform(at)) {
        readLog(at, m_simulation.log().size());
    }
    m_nodes[at].table->setLogUsable(m_simulation.reachesPlatform(at), m_simulation.clock(), out);
    apply(at, out);
}

schema::Submission ProductWay::bodyOf(std::size_t number)
{
    const SimulatedCaller &caller = m_simulation.caller(number);
    schema::Submission body;
    body.set_customer("club");
    body.set_key(std::to_string(number));
    if (caller.ticketDraw < m_ticketShare) {
        body.set_ticket(ticketOf(caller.ticketHome));
    }
    const auto created = std::chrono::duration_cast<std::chrono::milliseconds>(caller.arrival.time_since_epoch());
    body.set_created_ms(static_cast<std::uint64_t>(created.count()));
    body.add_tasks()->set_payload(body.key());
    return body;
}

void ProductWay::submit(std::size_t caller, std::size_t at)
{
    const CallerId id(++m_lastCaller);
    m_nodes[at].destinations[id] = { caller, 0, {} };
    ExecutionActions out;
    m_nodes[at].table->submit(bodyOf(caller), {}, id, false, m_simulation.clock(), out);
    apply(at, out);
}

void ProductWay::apply(std::size_t at, ExecutionActions &actions)
{
    for (const ExecutionAction &action : actions) {
        if (const auto *claim = std::get_if<AppendClaim>(&action)) {
            m_nodes[at].unwritten.push_back(claim->digest);
            appendClaims(at);
        } else if (const auto *toHome = std::get_if<ForwardToHome>(&action)) {
            forward(at, *toHome);
        } else if (const auto *tasks = std::get_if<EnqueueTasks>(&action)) {
            start(at, *tasks);
        } else if (const auto *last = std::get_if<AnswerCaller>(&action)) {
            answer(at, *last);
        }
    }
}

void ProductWay::forward(std::size_t at, const ForwardToHome &action)
{
    const auto &instances = m_simulation.instances();
    std::size_t to = 0;
    while (to < instances.size() && instances[to].incarnation != action.home) {
        ++to;
    }
    const bool gone = to == instances.size();
    const auto lost = [this, at, home = action.home, gone] {
        ExecutionActions out;
        m_nodes[at].table->handleHomeLost(home, gone, m_simulation.clock(), out);
        apply(at, out);
    };
    if (gone) {
        m_simulation.afterAt(at, Duration(1), lost);
        return;
    }
    const auto arrived = [this, at, to, action] {
        const CallerId id(++m_lastCaller);
        m_nodes[to].destinations[id] = { 0, at, action.submission };
        ExecutionActions out;
        m_nodes[to].table->submit(action.body, {}, id, true, m_simulation.clock(), out);
        apply(to, out);
    };
    m_simulation.send(at, to, 0, arrived, lost);
}

void ProductWay::start(std::size_t at, const EnqueueTasks &action)
{
    SubmissionTable &table = *m_nodes[at].table;
    const std::size_t caller = std::stoul(table.body(action.submission)->key());
    const auto attempt = table.beginAttempt({ action.submission, 0 }, m_simulation.clock());
    m_simulation.started(caller, at);
    m_simulation.afterAt(at, ServiceTime, [this, at, attempt] {
        ExecutionActions out;
        m_nodes[at].table->endAttempt(*attempt, AttemptOutcome::Done, "done", m_simulation.clock(), out);
        apply(at, out);
    });
}

void ProductWay::answer(std::size_t at, const AnswerCaller &action)
{
    const Destination destination = m_nodes[at].destinations.at(action.caller);
    m_nodes[at].destinations.erase(action.caller);
    if (destination.forward.isNone()) {
        auto end = CallerEnd::Unknown;
        if (action.answer.status() == schema::ANSWER_STATUS_COMPLETE) {
            end = CallerEnd::Complete;
        } else if (action.answer.certainty() == schema::RUN_CERTAINTY_NOT_RUN) {
            end = CallerEnd::NotRun;
        }
        m_simulation.answered(destination.caller, at, end, action.answer.retry_after_ms() > 0);
        return;
    }
    const auto arrived = [this, destination, answer = action.answer] {
        ExecutionActions out;
        m_nodes[destination.peer].table->completeForward(destination.forward, answer, out);
        apply(destination.peer, out);
    };
    m_simulation.send(at, destination.peer, 0, arrived, [] {});
}

void ProductWay::appendClaims(std::size_t at)
{
    Node &node = m_nodes[at];
    if (node.appending || node.unwritten.empty()) {
        return;
    }
    node.appending = true;
    ClaimRecord record { m_simulation.instances()[at].incarnation, std::move(node.unwritten), 0 };
    node.unwritten.clear();
    record.bytes = bytesOnWire(record.digests, record.claimant);
    m_simulation.countBytes(record.bytes);
    const Instant sent = m_simulation.now();
    m_simulation.append(at, record, [this, at, record, sent](bool written) {
        ExecutionActions out;
        for (const Digest &digest : record.digests) {
            if (!written) {
                m_nodes[at].table->failUnsentClaim(digest, m_simulation.clock(), out);
            }
        }
        apply(at, out);
        const Duration wait = std::max(Duration(0), sent + AppendInterval - m_simulation.now());
        m_simulation.afterAt(at, wait, [this, at] {
            m_nodes[at].appending = false;
            appendClaims(at);
        });
    });
}

void ProductWay::readLog(std::size_t at, std::size_t end)
{
    Node &node = m_nodes[at];
    ExecutionActions out;
    while (node.nextRecord < end) {
        const ClaimRecord &record = m_simulation.log()[node.nextRecord++];
        m_simulation.countBytes(record.bytes);
        for (const Digest &digest : record.digests) {
            node.table->applyClaim(digest, record.claimant, m_simulation.clock(), out);
        }
    }
    apply(at, out);
}

} // namespace Eelgrasscleat
