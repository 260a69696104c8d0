/// @file
/// Record of a submission that has not ended on this instance, with the progress of its tasks.
#pragma once

#include <eelgrasscleat/Execution/SubmissionTable.h>

#include <optional>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// State of a submission on this instance.
enum class RecordPhase
{
    AwaitingClaim, ///< The log has not determined its home yet.
    Home, ///< This incarnation is its home; its tasks may start.
    Forwarded, ///< Its home is another incarnation, to which it has been forwarded.
};

/// State of a task.
enum class TaskPhase : std::uint8_t
{
    Queued,
    AwaitingBudget, ///< Waits until the retry budget permits another attempt.
    Attempted,
    Done,
};

/// Progress of one task.
struct TaskProgress
{
    TaskPhase phase = TaskPhase::Queued;
    bool wasAttempted = false; ///< The next attempt is a retry.
    AttemptId attempt; ///< The attempt in progress, in phase Attempted.
    std::string output;
};

/// A submission in progress.
struct SubmissionRecord
{
    SubmissionId id;
    Digest digest; ///< Of customer and key.
    Digest bodyDigest;
    schema::Submission body;
    CustomerRules rules;
    RecordPhase phase = RecordPhase::AwaitingClaim;
    IncarnationId home; ///< In phase Forwarded.
    std::vector<CallerId> callers;
    std::uint64_t latestCreatedMs = 0; ///< Latest creation time among this body and the
                                       ///< conflicting bodies rejected as not run; determines how long the key stays
                                       ///< reserved after the submission has ended.
    std::optional<Instant> expiresAt; ///< When it fails if it has not ended before.

    std::vector<TaskProgress> tasks; ///< In phase Home.
    std::uint32_t tasksLeft = 0;
    std::uint32_t openAttempts = 0;
    bool hasRun = false; ///< A target reported that a task ran.
    bool hasLostAttempt = false; ///< An attempt ended without proof that the task did not run.

    /// @returns whether its task may be retried after an unknown outcome.
    [[nodiscard]] bool canRepeat() const;
    /// @returns what is known about whether its tasks ran, in phase Home.
    [[nodiscard]] schema::RunCertainty certainty() const;
    /// Moves the record to phase Home and initializes its tasks.
    void enterHomePhase();
};

} // namespace Eelgrasscleat
