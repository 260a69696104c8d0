/// @file
/// Fakes of the peers' streams, the log and the targets.
#include "ScheduleWorld.h"

#include <algorithm>

namespace Eelgrasscleat
{

static constexpr std::chrono::milliseconds Retention { 10'500 };

void ScheduleWorld::deliverMessage(bool copyStays)
{
    if (m_messages.empty()) {
        return;
    }
    const std::size_t index = draw(m_messages.size());
    const Message message = m_messages[index];
    const std::size_t to = nodeOf(message.to);
    if (to < NodeCount && (m_nodes[to].frozen || m_cuts.contains({ message.from, to }))) {
        return;
    }
    if (!copyStays) {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (to < NodeCount) {
        deliver(message);
    }
}

void ScheduleWorld::deliver(const Message &message)
{
    const std::size_t to = nodeOf(message.to);
    Node &node = m_nodes[to];
    ExecutionActions out;
    if (const auto *forward = std::get_if<ForwardToHome>(&message.content)) {
        const CallerId caller(++m_lastCaller);
        node.peerRequests[caller] = { message.from, message.fromIncarnation, forward->submission };
        const std::string &payload = forward->body.tasks(0).payload();
        const Client &client = m_clients[std::stoul(payload)];
        note("forward of " + payload + " reaches incarnation " + std::to_string(node.incarnation.value));
        node.table->submit(forward->body, client.rules, caller, true, clockOf(node), out);
    } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&message.content)) {
        note("cancel reaches incarnation " + std::to_string(node.incarnation.value));
        node.table->cancel(cancel->customer, cancel->key, CallerId(), clockOf(node), out);
    } else {
        node.table->completeForward(message.answers, std::get<schema::SubmissionAnswer>(message.content), out);
    }
    apply(to, out);
}

void ScheduleWorld::appendClaim(std::size_t at)
{
    Node &node = m_nodes[at];
    if (node.unwritten.empty()) {
        return;
    }
    const Digest digest = node.unwritten.front();
    const std::uint64_t fate = draw(10);
    if (m_logDown && fate == 0) {
        node.unwritten.erase(node.unwritten.begin());
        note("claim not sent by incarnation " + std::to_string(node.incarnation.value));
        ExecutionActions out;
        node.table->failUnsentClaim(digest, clockOf(node), out);
        apply(at, out);
        return;
    }
    if (m_logDown) {
        return;
    }
    m_log.push_back({ digest, node.incarnation, m_now });
    // In two of ten cases the answer is lost, and the append will be repeated.
    if (fate > 1) {
        node.unwritten.erase(node.unwritten.begin());
    }
    note("claim written by incarnation " + std::to_string(node.incarnation.value));
}

void ScheduleWorld::readLog(std::size_t at)
{
    Node &node = m_nodes[at];
    if (m_logDown) {
        return;
    }
    expireLog();
    ExecutionActions out;
    node.nextOffset = std::max(node.nextOffset, m_firstKept);
    for (std::uint64_t n = draw(6); n > 0 && node.nextOffset < m_log.size(); --n) {
        const LogRecord &record = m_log[node.nextOffset++];
        node.table->applyClaim(record.digest, record.claimant, clockOf(node), out);
        for (const ExecutionAction &action : out) {
            m_counts.lostClaims += std::holds_alternative<ForwardToHome>(action) ? 1 : 0;
        }
        note("incarnation " + std::to_string(node.incarnation.value) + " reads claim of "
             + std::to_string(record.claimant.value));
        apply(at, out);
    }
    if (node.nextOffset == m_log.size()) {
        node.table->setLogUsable(true, clockOf(node), out);
    }
}

void ScheduleWorld::expireLog()
{
    while (m_firstKept < m_log.size() && m_log[m_firstKept].at + Retention < m_now) {
        ++m_firstKept;
    }
}

void ScheduleWorld::beginAttempt(std::size_t at)
{
    Node &node = m_nodes[at];
    if (node.queue.empty()) {
        return;
    }
    const TaskRef task = node.queue.front();
    // Now and then the queue names a task twice; its second start has to be refused.
    if (draw(8) != 0) {
        node.queue.pop_front();
    }
    const schema::Submission *body = node.table->body(task.submission);
    if (draw(30) == 0) {
        ExecutionActions out;
        node.table->failQueuedTask(task, schema::FAILURE_REASON_NO_SUITABLE_TARGET, clockOf(node), out);
        apply(at, out);
        return;
    }
    const auto attempt = node.table->beginAttempt(task, clockOf(node));
    if (!attempt) {
        return;
    }
    require(body != nullptr, "an attempt without a body");
    const std::string payload = body->tasks(static_cast<int>(task.index)).payload();
    const Client &client = m_clients[std::stoul(payload)];
    const bool repeatable =
        body->kind() == schema::SUBMISSION_KIND_REQUEST && !body->non_idempotent() && client.rules.idempotent;
    m_starts.push_back({ at, node.incarnation, *attempt, payload, repeatable });
    note("incarnation " + std::to_string(node.incarnation.value) + " sends a start of " + payload);
}

void ScheduleWorld::moveStart(bool faulty)
{
    if (m_starts.empty()) {
        return;
    }
    const std::size_t index = draw(m_starts.size());
    const Attempt attempt = m_starts[index];
    const std::uint64_t fate = faulty ? draw(20) : 19;
    // A start whose sender believes it lost may still arrive.
    if (fate != 3) {
        m_starts.erase(m_starts.begin() + static_cast<std::ptrdiff_t>(index));
    }
    switch (fate) {
    case 0:
        m_outcomes.push_back({ attempt, AttemptOutcome::NotSent, {} });
        return;
    case 1:
        m_outcomes.push_back({ attempt, AttemptOutcome::RefusedBusy, {} });
        return;
    case 2:
        m_outcomes.push_back({ attempt, AttemptOutcome::RefusedLeaving, {} });
        return;
    case 3:
        m_outcomes.push_back({ attempt, AttemptOutcome::Lost, {} });
        return;
    case 4:
        recordStart(attempt);
        m_outcomes.push_back({ attempt, AttemptOutcome::Failed, {} });
        return;
    default:
        recordStart(attempt);
        m_outcomes.push_back({ attempt, AttemptOutcome::Done, outputOf(attempt.payload) });
        return;
    }
}

void ScheduleWorld::recordStart(const Attempt &attempt)
{
    Client &client = m_clients[std::stoul(attempt.payload)];
    const std::size_t index = std::stoul(attempt.payload.substr(attempt.payload.find(':') + 1));
    note("start of " + attempt.payload + " by incarnation " + std::to_string(attempt.incarnation.value));
    ++m_counts.starts;
    ++client.starts[index];
    require(client.starts[index] == 1 || attempt.repeatable, "task " + attempt.payload + " started twice");
    require(!client.toldNotRun, "task " + attempt.payload + " started after its caller was told not run");
}

void ScheduleWorld::deliverOutcome(bool copyStays)
{
    if (m_outcomes.empty()) {
        return;
    }
    const std::size_t index = draw(m_outcomes.size());
    const Outcome outcome = m_outcomes[index];
    Node &node = m_nodes[outcome.attempt.node];
    if (node.frozen) {
        return;
    }
    if (!copyStays) {
        m_outcomes.erase(m_outcomes.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (node.incarnation != outcome.attempt.incarnation) {
        return;
    }
    ExecutionActions out;
    node.table->endAttempt(outcome.attempt.id, outcome.outcome, outcome.output, clockOf(node), out);
    note(std::string(attemptOutcomeName(outcome.outcome)) + " of " + outcome.attempt.payload);
    apply(outcome.attempt.node, out);
}

} // namespace Eelgrasscleat
