/// @file
/// Implements attempts and retries.
#include "TaskRunner.h"

namespace Eelgrasscleat
{

/// How long a task waits for the retry budget before its submission fails.
static constexpr Duration MaxBudgetWait = std::chrono::seconds(2);

TaskRunner::TaskRunner(RecordStore &records, double retryBudget)
    : m_records(records)
    , m_budget(retryBudget)
{
}

std::optional<AttemptId> TaskRunner::begin(const TaskRef &task, Instant now)
{
    SubmissionRecord *record = m_records.find(task.submission);
    if (record == nullptr || record->phase != RecordPhase::Home || task.index >= record->tasks.size()) {
        return std::nullopt;
    }
    TaskProgress &progress = record->tasks[task.index];
    const bool isPastDeadline = record->expiresAt && *record->expiresAt <= now;
    if (progress.phase != TaskPhase::Queued || isPastDeadline) {
        return std::nullopt;
    }
    if (!progress.wasAttempted) {
        m_budget.addFirstAttempt();
    }
    progress.wasAttempted = true;
    progress.phase = TaskPhase::Attempted;
    progress.attempt = m_attempts.begin(task);
    ++record->openAttempts;
    return progress.attempt;
}

AttemptEffect TaskRunner::end(
    AttemptId attempt, AttemptOutcome outcome, const std::string &output, Instant now, ExecutionActions &out)
{
    const auto task = m_attempts.end(attempt);
    if (!task) {
        return {};
    }
    SubmissionRecord &record = *m_records.find(task->submission);
    --record.openAttempts;
    switch (outcome) {
    case AttemptOutcome::Done:
        record.hasRun = true;
        record.tasks[task->index].phase = TaskPhase::Done;
        record.tasks[task->index].output = output;
        if (--record.tasksLeft > 0) {
            return {};
        }
        return { std::nullopt, SubmissionEnd { record.id } };
    case AttemptOutcome::Failed:
        record.hasRun = true;
        return { std::nullopt, SubmissionEnd { record.id, schema::FAILURE_REASON_TARGET_FAILED } };
    case AttemptOutcome::NotSent:
        return retry(record, *task, RetryDecision::RetriedNotSent, now, out);
    case AttemptOutcome::RefusedBusy:
    case AttemptOutcome::RefusedLeaving:
        return retry(record, *task, RetryDecision::RetriedRefused, now, out);
    case AttemptOutcome::Lost:
        break;
    }
    record.hasLostAttempt = true;
    if (record.canRepeat()) {
        return retry(record, *task, RetryDecision::RetriedIdempotent, now, out);
    }
    return { RetryDecision::RefusedMayHaveRun, SubmissionEnd { record.id, schema::FAILURE_REASON_TARGET_LOST } };
}

void TaskRunner::abandonAttempts(const SubmissionRecord &record)
{
    if (record.openAttempts == 0) {
        return;
    }
    for (const TaskProgress &progress : record.tasks) {
        if (progress.phase == TaskPhase::Attempted) {
            m_attempts.end(progress.attempt);
        }
    }
}

std::vector<SubmissionEnd> TaskRunner::requeueWaiting(Instant now, ExecutionActions &out)
{
    std::vector<SubmissionEnd> ends;
    while (!m_waiting.empty()) {
        const WaitingTask &waiting = m_waiting.front();
        TaskProgress *progress = findWaiting(waiting.task);
        if (progress != nullptr && waiting.giveUpAt <= now) {
            const SubmissionRecord &record = *m_records.find(waiting.task.submission);
            ends.push_back(
                { record.id,
                  record.hasLostAttempt ? schema::FAILURE_REASON_TARGET_LOST : schema::FAILURE_REASON_TARGET_REFUSED });
        } else if (progress != nullptr) {
            if (!m_budget.tryAcquire()) {
                break;
            }
            progress->phase = TaskPhase::Queued;
            out.emplace_back(EnqueueTasks { waiting.task.submission, { waiting.task.index }, true });
        }
        m_waiting.pop_front();
    }
    return ends;
}

AttemptEffect TaskRunner::retry(
    SubmissionRecord &record, const TaskRef &task, RetryDecision granted, Instant now, ExecutionActions &out)
{
    TaskProgress &progress = record.tasks[task.index];
    if (!m_budget.tryAcquire()) {
        progress.phase = TaskPhase::AwaitingBudget;
        m_waiting.push_back({ task, now + MaxBudgetWait });
        return { RetryDecision::RefusedByBudget, std::nullopt };
    }
    progress.phase = TaskPhase::Queued;
    out.emplace_back(EnqueueTasks { record.id, { task.index }, true });
    return { granted, std::nullopt };
}

TaskProgress *TaskRunner::findWaiting(const TaskRef &task) const
{
    SubmissionRecord *record = m_records.find(task.submission);
    if (record == nullptr) {
        return nullptr;
    }
    TaskProgress &progress = record->tasks[task.index];
    return progress.phase == TaskPhase::AwaitingBudget ? &progress : nullptr;
}

} // namespace Eelgrasscleat
