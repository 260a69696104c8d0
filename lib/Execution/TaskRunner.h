/// @file
/// Manages the attempts and retries of the tasks of submissions that have their home here.
#pragma once

#include "AttemptTable.h"
#include "RecordStore.h"
#include "RetryBudget.h"

#include <deque>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// A submission that has to end, with the reason.
struct SubmissionEnd
{
    SubmissionId submission;
    schema::FailureReason reason = schema::FAILURE_REASON_NONE; ///< NONE if all its tasks are done.
};

/// Consequences of the end of an attempt.
struct AttemptEffect
{
    std::optional<RetryDecision> decision;
    std::optional<SubmissionEnd> end;
};

/// Begins and ends attempts. Updates the records but leaves ending a submission to the caller.
class TaskRunner
{
public:
    /// @param records the records of the tasks' submissions; must outlive the runner
    TaskRunner(RecordStore &records, double retryBudget);

    /// Begins an attempt. @returns the attempt, or nothing if the task must not be started.
    [[nodiscard]] std::optional<AttemptId> begin(const TaskRef &task, Instant now);
    /// Ends an attempt; an unknown or already ended one is ignored.
    AttemptEffect
    end(AttemptId attempt, AttemptOutcome outcome, const std::string &output, Instant now, ExecutionActions &out);
    /// Abandons the attempts in progress of a record that ends; their outcomes are ignored from then on.
    void abandonAttempts(const SubmissionRecord &record);

    /// Queues waiting tasks as far as the retry budget permits.
    /// @returns the submissions of tasks that have waited for the budget too long.
    [[nodiscard]] std::vector<SubmissionEnd> requeueWaiting(Instant now, ExecutionActions &out);

private:
    struct WaitingTask
    {
        TaskRef task;
        Instant giveUpAt;
    };

    AttemptEffect
    retry(SubmissionRecord &record, const TaskRef &task, RetryDecision granted, Instant now, ExecutionActions &out);
    [[nodiscard]] TaskProgress *findWaiting(const TaskRef &task) const;

    RecordStore &m_records;
    AttemptTable m_attempts;
    RetryBudget m_budget;
    std::deque<WaitingTask> m_waiting; ///< Tasks in phase AwaitingBudget, and stale entries of ended submissions.
};

} // namespace Eelgrasscleat
