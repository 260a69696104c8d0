/// @file
/// State machine for the submissions of one entry instance: their home, the attempts of their tasks and their answer.
/// Uses no clock, thread or socket.
///
/// Only one incarnation, the home, may run a submission. The home is named by the submission's ticket or, without a
/// ticket, by the first claim in the platform's log. No other incarnation starts any of its tasks, even after the home
/// has ended: a submission that is unfinished at that point fails with the certainty "may have run".
///
/// A submission is identified by its whole body: a resubmission repeats every field unchanged, including the ticket and
/// created_ms. None of its tasks is started twice, except that an idempotent request may be retried after an unknown
/// outcome. The same key with a different body, even if only the ticket differs, is a different submission; every
/// instance that knows both rejects it with KEY_CONFLICT.
///
/// An answer with the certainty "not run" is final: a resubmission receives the same answer and is never started. To
/// run the work after all, the caller has to submit it under a new key.
#pragma once

#include <eelgrasscleat/Support/Digest.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>
#include <submission.pb.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

/// Requests that a claim for this submission be appended to the log. applyClaim() reports it once it has been read.
struct AppendClaim
{
    Digest digest;
};

/// Requests that the submission be forwarded to its home. completeForward() or handleHomeLost() reports the outcome.
struct ForwardToHome
{
    SubmissionId submission;
    IncarnationId home;
    schema::Submission body;
};

/// Requests that a cancellation be forwarded to the submission's home.
struct ForwardCancelToHome
{
    IncarnationId home;
    CustomerName customer;
    std::string key;
};

/// Requests that tasks be queued: all tasks of a new submission, or one task that is to be retried.
struct EnqueueTasks
{
    SubmissionId submission;
    std::vector<std::uint32_t> tasks;
    bool isRetry = false; ///< The task is requeued at the front; it is not a new submission.
};

/// Requests that the submission's tasks be removed from the queue because it has ended.
struct WithdrawTasks
{
    SubmissionId submission;
};

/// Requests that an answer be sent to a caller.
struct AnswerCaller
{
    CallerId caller;
    schema::SubmissionAnswer answer;
};

using ExecutionAction =
    std::variant<AppendClaim, ForwardToHome, ForwardCancelToHome, EnqueueTasks, WithdrawTasks, AnswerCaller>;
using ExecutionActions = std::vector<ExecutionAction>;

/// How an attempt ended, as far as the dispatcher can tell.
enum class AttemptOutcome
{
    Done, ///< The target reported that the task ran and returned an output.
    Failed, ///< The target reported that the task ran and failed.
    RefusedBusy, ///< The target was busy and refused the start; the task did not run.
    RefusedLeaving, ///< The target is leaving and refused the start; the task did not run.
    NotSent, ///< No byte of the start was written; the task did not run.
    Lost, ///< The start was written but not answered; the task may have run.
};

/// @returns the name of @p outcome used in logs and metrics.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// Whether a task is retried, and why.
enum class RetryDecision
{
    RetriedNotSent,
    RetriedRefused,
    RetriedIdempotent,
    RefusedByBudget,
    RefusedMayHaveRun,
};

/// @returns the name of @p decision used in logs and metrics.
std::string_view retryDecisionName(RetryDecision decision);

/// Per-customer settings that affect execution.
struct CustomerRules
{
    bool idempotent = false; ///< A single request may be retried after an unknown outcome.
};

/// Settings of a SubmissionTable.
struct SubmissionTableSettings
{
    std::size_t maxCachedAnswers = 20000;
    Duration answerRetention {}; ///< How long an answer is cached after the submission has ended.
    Duration maxAge {}; ///< Older submissions are rejected because the table may have evicted earlier requests of them.
                        ///< Must be shorter than the retention of the claims stream by more than twice maxSkew.
    Duration maxSkew {}; ///< Largest lead of a caller's clock, and largest difference between two instances' clocks.
    double retryBudget = 0.1; ///< Retries allowed per first attempt.
};

/// Tracks submissions from acceptance to their answer. Methods append the actions that the owner must perform to `out`.
class SubmissionTable
{
public:
    SubmissionTable(IncarnationId self, const SubmissionTableSettings &settings);
    ~SubmissionTable();
    SubmissionTable(const SubmissionTable &) = delete;
    SubmissionTable &operator=(const SubmissionTable &) = delete;

    /// Accepts a submission or resubmission of a caller or peer. The caller is answered once, when the submission ends.
    /// @param forwarded whether a peer forwarded it because it considers this incarnation to be the home
    void submit(const schema::Submission &submission,
                const CustomerRules &rules,
                CallerId caller,
                bool forwarded,
                const ClockReading &clock,
                ExecutionActions &out);
    /// Looks up an answer by key. @param wait whether to defer the answer until the submission has ended
    void fetch(const CustomerName &customer, const std::string &key, CallerId caller, bool wait, ExecutionActions &out);
    /// Cancels a submission: tasks that have not been started never will be. If the home is another incarnation, the
    /// caller is answered when the forwarded submission is, or at once as pending if none is in progress here.
    /// @param home home named by the caller's ticket, if it provides one
    void cancel(const CustomerName &customer,
                const std::string &key,
                CallerId caller,
                const ClockReading &clock,
                ExecutionActions &out,
                IncarnationId home = {});
    /// Removes a caller that has disconnected, so that it is no longer answered. The submission continues.
    void detachCaller(CallerId caller);

    /// Applies a claim read from the log. Must be called in log order for every claim, including those of other
    /// incarnations.
    void applyClaim(const Digest &digest, IncarnationId claimant, const ClockReading &clock, ExecutionActions &out);
    /// Sets whether claims can be decided through the log; initially they can't. The log is usable once the claims
    /// stream has been read from its oldest retained record. While it is not, submissions whose claim may have been
    /// written keep waiting, and new ones without a ticket are rejected with the certainty "may have run", because an
    /// earlier request of the submission may have reached an instance whose claim has not been read here yet.
    void setLogUsable(bool usable, const ClockReading &clock, ExecutionActions &out);
    /// Fails a submission whose claim was never sent to the log service (no byte of the append was written).
    void failUnsentClaim(const Digest &digest, const ClockReading &clock, ExecutionActions &out);

    /// Passes the home's answer to a forwarded submission on to its callers.
    void completeForward(SubmissionId submission, const schema::SubmissionAnswer &answer, ExecutionActions &out);
    /// Fails the submissions forwarded to @p home after the stream to it broke or it became unreachable.
    /// @param hasEnded whether the incarnation is known to have ended
    void handleHomeLost(IncarnationId home, bool hasEnded, const ClockReading &clock, ExecutionActions &out);

    /// Fails a submission whose tasks the queue rejected.
    void handleQueueRefusal(SubmissionId submission,
                            schema::FailureReason reason,
                            const ClockReading &clock,
                            ExecutionActions &out);
    /// Fails the submission of a queued task whose deadline has passed or that no target can run.
    void
    failQueuedTask(const TaskRef &task, schema::FailureReason reason, const ClockReading &clock, ExecutionActions &out);

    /// Begins an attempt of the task; called right before its start is sent.
    /// @returns the attempt, or nothing if the task must not be started.
    [[nodiscard]] std::optional<AttemptId> beginAttempt(const TaskRef &task, const ClockReading &clock);
    /// Ends an attempt. An unknown or already ended attempt is ignored.
    /// @returns the retry decision, if one was made.
    std::optional<RetryDecision> endAttempt(AttemptId attempt,
                                            AttemptOutcome outcome,
                                            const std::string &output,
                                            const ClockReading &clock,
                                            ExecutionActions &out);

    /// Fails submissions whose deadline has passed, requeues tasks that the retry budget now permits, and evicts
    /// expired answers.
    void tick(const ClockReading &clock, ExecutionActions &out);
    /// Begins a planned shutdown: rejects new submissions, with the certainty "not run" if this incarnation is their
    /// home. Accepted submissions continue, and those of other homes are still forwarded. Answers no longer carry a
    /// ticket.
    void stopAccepting();

    /// @returns the cached answers, to be transferred to a peer on a planned shutdown.
    [[nodiscard]] std::vector<schema::KeptAnswers::Item> cachedAnswers(const ClockReading &clock) const;
    /// Caches an answer transferred from a peer that is shutting down.
    void importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock);

    /// @returns the submission's body, or null if the submission is unknown or was forwarded to another home.
    [[nodiscard]] const schema::Submission *body(SubmissionId submission) const;
    /// @returns the number of tasks of the submission that are not done.
    [[nodiscard]] std::uint32_t tasksLeft(SubmissionId submission) const;
    /// @returns the number of submissions that have not ended.
    [[nodiscard]] std::size_t unfinishedSubmissions() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// @returns the ticket that names @p incarnation as home.
std::string ticketOf(IncarnationId incarnation);
/// @returns the incarnation named by a ticket, or nothing if the ticket is malformed.
std::optional<IncarnationId> parseTicket(std::string_view ticket);

} // namespace Eelgrasscleat
