/// @file
/// The way of a task from the queue to a target and back.
#include "TaskDispatcher.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

/// Time beyond a task's longest run that its answer may take on the way.
static constexpr std::chrono::milliseconds AnswerSlack { 2000 };

static QueueUrgency toUrgency(schema::Urgency urgency)
{
    switch (urgency) {
    case schema::URGENCY_URGENT:
        return QueueUrgency::Urgent;
    case schema::URGENCY_PATIENT:
        return QueueUrgency::Patient;
    default:
        return QueueUrgency::Normal;
    }
}

static ResourceName resourceOf(const CustomerName &customer)
{
    return ResourceName(customer.value);
}

static PlacementOutcome toPlacementOutcome(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Done:
        return PlacementOutcome::Done;
    case AttemptOutcome::Failed:
        return PlacementOutcome::Failed;
    case AttemptOutcome::RefusedBusy:
        return PlacementOutcome::Refused;
    case AttemptOutcome::RefusedLeaving:
        return PlacementOutcome::Leaving;
    case AttemptOutcome::NotSent:
        return PlacementOutcome::Unreachable;
    case AttemptOutcome::Lost:
        return PlacementOutcome::Lost;
    }
    return PlacementOutcome::Lost;
}

/// Opens for customers that have a permit and were not found without a target in this pump.
class TaskDispatcher::OpenGate : public CustomerEligibility
{
public:
    OpenGate(const PermitLedger &ledger, const std::set<CustomerName> &blocked, Instant now)
        : m_ledger(ledger)
        , m_blocked(blocked)
        , m_now(now)
    {
    }

    [[nodiscard]] bool canStart(const CustomerName &customer) const override
    {
        return !m_blocked.contains(customer) && m_ledger.free(resourceOf(customer), m_now) > 0;
    }

private:
    const PermitLedger &m_ledger;
    const std::set<CustomerName> &m_blocked;
    Instant m_now;
};

TaskDispatcher::TaskDispatcher(const DispatcherParts &parts,
                               std::size_t maxInFlight,
                               std::uint32_t instancesInZone,
                               std::chrono::milliseconds longestRun)
    : m_parts(parts)
    , m_maxInFlight(maxInFlight)
    , m_instancesInZone(std::max(1U, instancesInZone))
    , m_longestRun(longestRun)
{
}

static PlacementRequest
placementRequest(const schema::Submission &submission, std::uint32_t task, const schema::Contract &contract)
{
    const schema::TaskSpec &spec = submission.tasks(static_cast<int>(task));
    PlacementRequest request;
    request.service = ServiceName(contract.service());
    request.customer = CustomerName(contract.customer());
    request.requirements = Requirements { spec.accelerators(), spec.cores(), spec.memory_mb() };
    request.expectedRun = std::chrono::milliseconds(spec.expected_run_ms());
    request.urgent = contract.urgency() == schema::URGENCY_URGENT;
    request.jobTaskCount = static_cast<std::uint32_t>(submission.tasks_size());
    request.remainingTasks = request.jobTaskCount;
    return request;
}

bool TaskDispatcher::canEverRun(const schema::Submission &submission, const schema::Contract &contract) const
{
    for (int i = 0; i < submission.tasks_size(); ++i) {
        if (!m_parts.placer.canEverRun(placementRequest(submission, static_cast<std::uint32_t>(i), contract))) {
            return false;
        }
    }
    return true;
}

void TaskDispatcher::enqueue(const EnqueueTasks &tasks, const ClockReading &clock, ExecutionActions &out)
{
    const schema::Submission *body = m_parts.submissions.body(tasks.submission);
    if (body == nullptr) {
        return;
    }
    const schema::Contract *contract = m_parts.config.contract(CustomerName(body->customer()));
    if (contract == nullptr) {
        m_parts.submissions.queueRefused(tasks.submission, schema::FAILURE_REASON_UNKNOWN_CUSTOMER, clock, out);
        return;
    }
    if (!tasks.again && !canEverRun(*body, *contract)) {
        m_parts.submissions.queueRefused(tasks.submission, schema::FAILURE_REASON_NO_SUITABLE_TARGET, clock, out);
        return;
    }
    QueuedTask queued;
    queued.customer = CustomerName(body->customer());
    queued.urgency = toUrgency(contract->urgency());
    queued.queuedAt = clock.now;
    queued.submissionTaskCount = static_cast<std::uint32_t>(body->tasks_size());
    if (body->deadline_ms() > 0) {
        const WallTime deadline { std::chrono::milliseconds(body->created_ms() + body->deadline_ms()) };
        queued.deadline = clock.now + (deadline - clock.wall);
    }
    std::vector<QueuedTask> all;
    all.reserve(tasks.tasks.size());
    for (const std::uint32_t it : tasks.tasks) {
        queued.task = TaskRef { tasks.submission, it };
        all.push_back(queued);
    }
    if (tasks.again) {
        std::for_each(all.begin(), all.end(), [this](const QueuedTask &it) { m_parts.queue.requeue(it); });
        return;
    }
    if (m_parts.queue.push(all)) {
        m_parts.submissions.queueRefused(tasks.submission, schema::FAILURE_REASON_QUEUE_FULL, clock, out);
    }
}

void TaskDispatcher::withdraw(SubmissionId submission)
{
    m_parts.queue.removeSubmission(submission);
}

void TaskDispatcher::pump(const ClockReading &clock, ExecutionActions &execution, CoreActions &out)
{
    m_blocked.clear();
    const OpenGate gate(m_parts.ledger, m_blocked, clock.now);
    while (m_attempts.size() < m_maxInFlight) {
        const auto task = m_parts.queue.pop(clock.now, gate);
        if (!task) {
            return;
        }
        if (!startOne(*task, clock, execution, out)) {
            m_blocked.insert(task->customer);
        }
    }
}

/// @returns false if the task had to be put back, and its customer should wait.
bool TaskDispatcher::startOne(const QueuedTask &task,
                              const ClockReading &clock,
                              ExecutionActions &execution,
                              CoreActions &out)
{
    const schema::Submission *body = m_parts.submissions.body(task.task.submission);
    if (body == nullptr) {
        return true;
    }
    const schema::Contract *contract = m_parts.config.contract(task.customer);
    if (contract == nullptr) {
        m_parts.submissions.taskGivenUp(task.task, schema::FAILURE_REASON_UNKNOWN_CUSTOMER, clock, execution);
        return true;
    }
    Attempt attempt;
    attempt.request = placementRequest(*body, task.task.index, *contract);
    attempt.request.queued = static_cast<std::uint32_t>(m_parts.queue.size(task.customer));
    attempt.request.remainingTasks = m_parts.submissions.tasksLeft(task.task.submission);
    const auto placement = m_parts.placer.choose(attempt.request, clock.now, m_parts.random);
    if (!placement) {
        m_parts.queue.requeue(task);
        return false;
    }
    const auto permit = m_parts.ledger.tryAcquire(resourceOf(task.customer), clock.now);
    if (!permit) {
        m_parts.queue.requeue(task);
        return false;
    }
    const auto id = m_parts.submissions.beginAttempt(task.task, clock);
    if (!id) {
        m_parts.ledger.release(*permit, clock.now);
        return true;
    }
    attempt.permit = *permit;
    attempt.placement = *placement;
    attempt.startedAt = clock.now;
    m_parts.placer.attemptStarted(*placement, clock.now);
    out.emplace_back(startAction(*id, task, *body, *contract, attempt));
    m_attempts.emplace(*id, std::move(attempt));
    ++m_starts;
    return true;
}

StartOnTarget TaskDispatcher::startAction(AttemptId attempt,
                                          const QueuedTask &task,
                                          const schema::Submission &submission,
                                          const schema::Contract &contract,
                                          const Attempt &inFlight) const
{
    const auto it = m_parts.config.targets().find(inFlight.placement.target);
    assert(it != m_parts.config.targets().end() && "placement chooses only configured targets");
    const schema::Target &target = it->second;
    StartOnTarget action;
    action.attempt = attempt;
    action.target = inFlight.placement.target;
    action.address = target.address();
    action.port = static_cast<std::uint16_t>(target.port());
    action.connections = std::max(1U, target.connections() / m_instancesInZone);
    const auto run = std::min(std::chrono::milliseconds(contract.max_run_ms()), m_longestRun);
    action.timeout = run + AnswerSlack;
    action.startBefore = inFlight.permit.startBefore;
    action.request.set_attempt(std::to_string(attempt.value));
    action.request.set_customer(submission.customer());
    action.request.set_submission(submission.key());
    action.request.set_task(task.task.index);
    action.request.set_payload(submission.tasks(static_cast<int>(task.task.index)).payload());
    action.request.set_max_run_ms(static_cast<std::uint32_t>(run.count()));
    return action;
}

AttemptReport TaskDispatcher::attemptEnded(const AttemptEnded &event, const ClockReading &clock, ExecutionActions &out)
{
    AttemptReport report;
    const auto it = m_attempts.find(event.attempt);
    if (it == m_attempts.end()) {
        return report;
    }
    const Attempt attempt = std::move(it->second);
    m_attempts.erase(it);
    if (event.outcome == AttemptOutcome::Lost) {
        // The target may still be running it, so the permit stays taken for as long as that can last.
        m_parts.ledger.releaseAfterMaxRunTime(attempt.permit, attempt.startedAt, clock.now);
    } else {
        m_parts.ledger.release(attempt.permit, clock.now);
    }
    m_parts.placer.attemptEnded(attempt.placement,
                                attempt.request,
                                toPlacementOutcome(event.outcome),
                                clock.now - attempt.startedAt,
                                clock.now);
    report.startedAt = attempt.startedAt;
    if (event.outcome == AttemptOutcome::RefusedLeaving) {
        report.leaving = attempt.placement.target;
    } else if (event.outcome == AttemptOutcome::Done || event.outcome == AttemptOutcome::Failed) {
        report.ran = attempt.placement.target;
    }
    report.retry = m_parts.submissions.attemptEnded(event.attempt, event.outcome, event.output, clock, out);
    return report;
}

void TaskDispatcher::tick(const ClockReading &clock, ExecutionActions &out)
{
    for (const QueuedTask &it : m_parts.queue.expire(clock.now)) {
        m_parts.submissions.taskGivenUp(it.task, schema::FAILURE_REASON_DEADLINE, clock, out);
    }
    std::set<CustomerName> waiting;
    for (const CustomerName &it : m_parts.queue.waitingCustomers()) {
        waiting.insert(it);
        m_parts.ledger.setWaiting(resourceOf(it), static_cast<std::uint32_t>(m_parts.queue.size(it)));
    }
    for (const CustomerName &it : m_told) {
        if (!waiting.contains(it)) {
            m_parts.ledger.setWaiting(resourceOf(it), 0);
        }
    }
    m_told = std::move(waiting);
}

std::size_t TaskDispatcher::inFlight() const
{
    return m_attempts.size();
}

std::uint64_t TaskDispatcher::starts() const
{
    return m_starts;
}

} // namespace Eelgrasscleat
