/// @file
/// Life cycle of an attempt: permit, placement, start and outcome.
#include "TaskDispatcher.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

/// Time beyond the maximum run of a task that is allowed for the transfer of its answer.
static constexpr std::chrono::milliseconds AnswerMargin { 2000 };

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

static ResourceName customerResource(const CustomerName &customer)
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

/// Admits customers that have a free permit and aren't blocked in the current call of startQueuedTasks().
class TaskDispatcher::StartGate : public CustomerEligibility
{
public:
    StartGate(const PermitLedger &ledger, const std::set<CustomerName> &blockedCustomers, Instant now)
        : m_ledger(ledger)
        , m_blockedCustomers(blockedCustomers)
        , m_now(now)
    {
    }

    [[nodiscard]] bool canStart(const CustomerName &customer) const override
    {
        return !m_blockedCustomers.contains(customer) && m_ledger.free(customerResource(customer), m_now) > 0;
    }

private:
    const PermitLedger &m_ledger;
    const std::set<CustomerName> &m_blockedCustomers;
    Instant m_now;
};

TaskDispatcher::TaskDispatcher(const DispatcherContext &context,
                               std::size_t maxInFlight,
                               std::uint32_t instancesInZone,
                               std::chrono::milliseconds longestRun)
    : m_context(context)
    , m_maxInFlight(maxInFlight)
    , m_instancesInZone(std::max(1U, instancesInZone))
    , m_longestRun(longestRun)
{
}

static PlacementRequest
makePlacementRequest(const schema::Submission &submission, std::uint32_t task, const schema::Contract &contract)
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
        if (!m_context.placer.canEverRun(makePlacementRequest(submission, static_cast<std::uint32_t>(i), contract))) {
            return false;
        }
    }
    return true;
}

void TaskDispatcher::enqueue(const EnqueueTasks &tasks, const ClockReading &clock, ExecutionActions &out)
{
    const schema::Submission *body = m_context.submissions.body(tasks.submission);
    if (body == nullptr) {
        return;
    }
    const schema::Contract *contract = m_context.config.contract(CustomerName(body->customer()));
    if (contract == nullptr) {
        m_context.submissions.handleQueueRefusal(tasks.submission, schema::FAILURE_REASON_UNKNOWN_CUSTOMER, clock, out);
        return;
    }
    if (!tasks.isRetry && !canEverRun(*body, *contract)) {
        m_context.submissions.handleQueueRefusal(
            tasks.submission, schema::FAILURE_REASON_NO_SUITABLE_TARGET, clock, out);
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
    std::vector<QueuedTask> queuedTasks;
    queuedTasks.reserve(tasks.tasks.size());
    for (const std::uint32_t it : tasks.tasks) {
        queued.task = TaskRef { tasks.submission, it };
        queuedTasks.push_back(queued);
    }
    if (tasks.isRetry) {
        std::for_each(
            queuedTasks.begin(), queuedTasks.end(), [this](const QueuedTask &it) { m_context.queue.requeue(it); });
        return;
    }
    if (m_context.queue.push(queuedTasks)) {
        m_context.submissions.handleQueueRefusal(tasks.submission, schema::FAILURE_REASON_QUEUE_FULL, clock, out);
    }
}

void TaskDispatcher::removeTasks(SubmissionId submission)
{
    m_context.queue.removeSubmission(submission);
}

void TaskDispatcher::startQueuedTasks(const ClockReading &clock, ExecutionActions &execution, CoreActions &out)
{
    m_blockedCustomers.clear();
    const StartGate gate(m_context.ledger, m_blockedCustomers, clock.now);
    while (m_attempts.size() < m_maxInFlight) {
        const auto task = m_context.queue.pop(clock.now, gate);
        if (!task) {
            return;
        }
        if (!startTask(*task, clock, execution, out)) {
            m_blockedCustomers.insert(task->customer);
        }
    }
}

/// @returns false if the task was put back into the queue, so that its customer is blocked for now.
bool TaskDispatcher::startTask(const QueuedTask &task,
                               const ClockReading &clock,
                               ExecutionActions &execution,
                               CoreActions &out)
{
    const schema::Submission *body = m_context.submissions.body(task.task.submission);
    if (body == nullptr) {
        return true;
    }
    const schema::Contract *contract = m_context.config.contract(task.customer);
    if (contract == nullptr) {
        m_context.submissions.failQueuedTask(task.task, schema::FAILURE_REASON_UNKNOWN_CUSTOMER, clock, execution);
        return true;
    }
    Attempt attempt;
    attempt.request = makePlacementRequest(*body, task.task.index, *contract);
    attempt.request.queued = static_cast<std::uint32_t>(m_context.queue.size(task.customer));
    attempt.request.remainingTasks = m_context.submissions.tasksLeft(task.task.submission);
    const auto placement = m_context.placer.choose(attempt.request, clock.now, m_context.random);
    if (!placement) {
        m_context.queue.requeue(task);
        return false;
    }
    const auto permit = m_context.ledger.tryAcquire(customerResource(task.customer), clock.now);
    if (!permit) {
        m_context.queue.requeue(task);
        return false;
    }
    const auto id = m_context.submissions.beginAttempt(task.task, clock);
    if (!id) {
        m_context.ledger.release(*permit, clock.now);
        return true;
    }
    attempt.permit = *permit;
    attempt.placement = *placement;
    attempt.startedAt = clock.now;
    m_context.placer.attemptStarted(*placement, clock.now);
    out.emplace_back(makeStart(*id, task, *body, *contract, attempt));
    m_attempts.emplace(*id, std::move(attempt));
    ++m_startCount;
    return true;
}

StartOnTarget TaskDispatcher::makeStart(AttemptId attempt,
                                        const QueuedTask &task,
                                        const schema::Submission &submission,
                                        const schema::Contract &contract,
                                        const Attempt &inFlight) const
{
    const auto it = m_context.config.targets().find(inFlight.placement.target);
    assert(it != m_context.config.targets().end() && "placement chooses only configured targets");
    const schema::Target &target = it->second;
    StartOnTarget action;
    action.attempt = attempt;
    action.target = inFlight.placement.target;
    action.address = target.address();
    action.port = static_cast<std::uint16_t>(target.port());
    action.connections = std::max(1U, target.connections() / m_instancesInZone);
    const auto run = std::min(std::chrono::milliseconds(contract.max_run_ms()), m_longestRun);
    action.timeout = run + AnswerMargin;
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
        // The target may still run the task, so the permit stays in use for the maximum time that this can take.
        m_context.ledger.releaseAfterMaxRunTime(attempt.permit, attempt.startedAt, clock.now);
    } else {
        m_context.ledger.release(attempt.permit, clock.now);
    }
    m_context.placer.attemptEnded(attempt.placement,
                                  attempt.request,
                                  toPlacementOutcome(event.outcome),
                                  clock.now - attempt.startedAt,
                                  clock.now);
    report.startedAt = attempt.startedAt;
    if (event.outcome == AttemptOutcome::RefusedLeaving) {
        report.leavingTarget = attempt.placement.target;
    } else if (event.outcome == AttemptOutcome::Done || event.outcome == AttemptOutcome::Failed) {
        report.ranOn = attempt.placement.target;
    }
    report.retry = m_context.submissions.endAttempt(event.attempt, event.outcome, event.output, clock, out);
    return report;
}

void TaskDispatcher::tick(const ClockReading &clock, ExecutionActions &out)
{
    for (const QueuedTask &it : m_context.queue.expire(clock.now)) {
        m_context.submissions.failQueuedTask(it.task, schema::FAILURE_REASON_DEADLINE, clock, out);
    }
    std::set<CustomerName> waiting;
    for (const CustomerName &it : m_context.queue.waitingCustomers()) {
        waiting.insert(it);
        m_context.ledger.setWaiting(customerResource(it), static_cast<std::uint32_t>(m_context.queue.size(it)));
    }
    for (const CustomerName &it : m_reportedCustomers) {
        if (!waiting.contains(it)) {
            m_context.ledger.setWaiting(customerResource(it), 0);
        }
    }
    m_reportedCustomers = std::move(waiting);
}

std::size_t TaskDispatcher::inFlight() const
{
    return m_attempts.size();
}

std::uint64_t TaskDispatcher::startCount() const
{
    return m_startCount;
}

} // namespace Eelgrasscleat
