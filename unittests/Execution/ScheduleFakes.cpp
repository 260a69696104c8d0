/// @file
/// Implements the fake peer streams, log and targets.
#include "ScheduleSimulation.h"

#include <algorithm>

namespace Eelgrasscleat
{

static constexpr std::chrono::milliseconds Retention { 10'500 };

void ScheduleSimulation::deliverMessage(bool duplicate)
{
    if (m_messages.empty()) {
        return;
    }
    const std::size_t index = draw(m_messages.size());
    const Message message = m_messages[index];
    const std::size_t to = instanceOf(message.to);
    if (to < InstanceCount && (m_instances[to].frozen || m_cuts.contains({ message.from, to }))) {
        return;
    }
    if (!duplicate) {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (to < InstanceCount) {
        deliver(message);
    }
}

void ScheduleSimulation::deliver(const Message &message)
{
    const std::size_t to = instanceOf(message.to);
    Instance &instance = m_instances[to];
    ExecutionActions out;
    if (const auto *forward = std::get_if<ForwardToHome>(&message.content)) {
        const CallerId caller(++m_lastCaller);
        instance.peerRequests[caller] = { message.from, message.fromIncarnation, forward->submission };
        const std::string &payload = forward->body.tasks(0).payload();
        const Client &client = m_clients[std::stoul(payload)];
        trace("forward of " + payload + " reaches incarnation " + std::to_string(instance.incarnation.value));
        instance.table->submit(forward->body, client.rules, caller, true, clockOf(instance), out);
    } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&message.content)) {
        trace("cancel reaches incarnation " + std::to_string(instance.incarnation.value));
        instance.table->cancel(cancel->customer, cancel->key, CallerId(), clockOf(instance), out);
    } else {
        instance.table->completeForward(message.forward, std::get<schema::SubmissionAnswer>(message.content), out);
    }
    apply(to, out);
}

void ScheduleSimulation::appendClaim(std::size_t at)
{
    Instance &instance = m_instances[at];
    if (instance.pendingClaims.empty()) {
        return;
    }
    const Digest digest = instance.pendingClaims.front();
    const std::uint64_t fate = draw(10);
    if (m_logDown && fate == 0) {
        instance.pendingClaims.erase(instance.pendingClaims.begin());
        trace("claim not sent by incarnation " + std::to_string(instance.incarnation.value));
        ExecutionActions out;
        instance.table->failUnsentClaim(digest, clockOf(instance), out);
        apply(at, out);
        return;
    }
    if (m_logDown) {
        return;
    }
    m_log.push_back({ digest, instance.incarnation, m_now });
    // In two of ten cases the response is lost and the append is repeated.
    if (fate > 1) {
        instance.pendingClaims.erase(instance.pendingClaims.begin());
    }
    trace("claim written by incarnation " + std::to_string(instance.incarnation.value));
}

void ScheduleSimulation::readLog(std::size_t at)
{
    Instance &instance = m_instances[at];
    if (m_logDown) {
        return;
    }
    expireLog();
    ExecutionActions out;
    instance.nextOffset = std::max(instance.nextOffset, m_firstKept);
    for (std::uint64_t n = draw(6); n > 0 && instance.nextOffset < m_log.size(); --n) {
        const LogRecord &record = m_log[instance.nextOffset++];
        instance.table->applyClaim(record.digest, record.claimant, clockOf(instance), out);
        for (const ExecutionAction &action : out) {
            m_counts.lostClaims += std::holds_alternative<ForwardToHome>(action) ? 1 : 0;
        }
        trace("incarnation " + std::to_string(instance.incarnation.value) + " reads claim of "
              + std::to_string(record.claimant.value));
        apply(at, out);
    }
    if (instance.nextOffset == m_log.size()) {
        instance.table->setLogUsable(true, clockOf(instance), out);
    }
}

void ScheduleSimulation::expireLog()
{
    while (m_firstKept < m_log.size() && m_log[m_firstKept].at + Retention < m_now) {
        ++m_firstKept;
    }
}

void ScheduleSimulation::beginAttempt(std::size_t at)
{
    Instance &instance = m_instances[at];
    if (instance.queue.empty()) {
        return;
    }
    const TaskRef task = instance.queue.front();
    // Occasionally a task stays in the queue; its second start must be rejected.
    if (draw(8) != 0) {
        instance.queue.pop_front();
    }
    const schema::Submission *body = instance.table->body(task.submission);
    if (draw(30) == 0) {
        ExecutionActions out;
        instance.table->failQueuedTask(task, schema::FAILURE_REASON_NO_SUITABLE_TARGET, clockOf(instance), out);
        apply(at, out);
        return;
    }
    const auto attempt = instance.table->beginAttempt(task, clockOf(instance));
    if (!attempt) {
        return;
    }
    require(body != nullptr, "an attempt without a body");
    const std::string payload = body->tasks(static_cast<int>(task.index)).payload();
    const Client &client = m_clients[std::stoul(payload)];
    const bool repeatable =
        body->kind() == schema::SUBMISSION_KIND_REQUEST && !body->non_idempotent() && client.rules.idempotent;
    m_starts.push_back({ at, instance.incarnation, *attempt, payload, repeatable });
    trace("incarnation " + std::to_string(instance.incarnation.value) + " sends a start of " + payload);
}

void ScheduleSimulation::deliverStart(bool faulty)
{
    if (m_starts.empty()) {
        return;
    }
    const std::size_t index = draw(m_starts.size());
    const Attempt attempt = m_starts[index];
    const std::uint64_t fate = faulty ? draw(20) : 19;
    // A start whose sender considers it lost may still arrive.
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

void ScheduleSimulation::recordStart(const Attempt &attempt)
{
    Client &client = m_clients[std::stoul(attempt.payload)];
    const std::size_t index = std::stoul(attempt.payload.substr(attempt.payload.find(':') + 1));
    trace("start of " + attempt.payload + " by incarnation " + std::to_string(attempt.incarnation.value));
    ++m_counts.starts;
    ++client.starts[index];
    require(client.starts[index] == 1 || attempt.repeatable, "task " + attempt.payload + " started twice");
    require(!client.wasAnsweredNotRun, "task " + attempt.payload + " started after its caller was answered not run");
}

void ScheduleSimulation::deliverOutcome(bool duplicate)
{
    if (m_outcomes.empty()) {
        return;
    }
    const std::size_t index = draw(m_outcomes.size());
    const Outcome outcome = m_outcomes[index];
    Instance &instance = m_instances[outcome.attempt.instance];
    if (instance.frozen) {
        return;
    }
    if (!duplicate) {
        m_outcomes.erase(m_outcomes.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (instance.incarnation != outcome.attempt.incarnation) {
        return;
    }
    ExecutionActions out;
    instance.table->endAttempt(outcome.attempt.id, outcome.outcome, outcome.output, clockOf(instance), out);
    trace(std::string(attemptOutcomeName(outcome.outcome)) + " of " + outcome.attempt.payload);
    apply(outcome.attempt.instance, out);
}

} // namespace Eelgrasscleat
