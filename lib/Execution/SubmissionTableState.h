/// @file
/// Internal state of the submission table: determines the home of each submission and ends it with one answer.
#pragma once

#include "RecordStore.h"
#include "SubmissionArchive.h"
#include "TaskRunner.h"

#include <optional>
#include <string>

namespace Eelgrasscleat
{

/// A received submission with its digests.
struct IncomingSubmission
{
    const schema::Submission &body;
    const CustomerRules &rules;
    CallerId caller;
    bool forwarded;
    Digest digest; ///< Of customer and key.
    Digest bodyDigest;
    std::optional<IncarnationId> home; ///< Home that its ticket names.
};

/// Internal state of a SubmissionTable, whose methods are documented in the public header.
struct SubmissionTable::State
{
public:
    State(IncarnationId self, const SubmissionTableSettings &settings);

    /// Handles a well-formed submission.
    void submit(const IncomingSubmission &incoming, const ClockReading &clock, ExecutionActions &out);
    /// Determines the home of a submission by a claim that was read.
    void resolveByClaim(const Digest &digest, IncarnationId claimant, const ClockReading &clock, ExecutionActions &out);
    /// Cancels every submission known under the key.
    void cancel(const Digest &digest,
                const CustomerName &customer,
                const std::string &key,
                CallerId caller,
                IncarnationId home,
                const ClockReading &clock,
                ExecutionActions &out);
    /// Answers a caller.
    void answer(CallerId caller, schema::SubmissionAnswer answer, ExecutionActions &out) const;
    /// Fails a record that has its home here. The certainty follows from the progress of its tasks.
    void fail(SubmissionRecord &record, schema::FailureReason reason, const ClockReading &clock, ExecutionActions &out);
    /// Fails a record whose home is undecided, with the certainty "may have run". It is archived and never starts here.
    void failUndecided(SubmissionRecord &record,
                       schema::FailureReason reason,
                       const ClockReading &clock,
                       ExecutionActions &out);
    /// Ends a record as determined by the task runner; no effect if @p due is empty or the record has already ended.
    void endIfDue(const std::optional<SubmissionEnd> &due, const ClockReading &clock, ExecutionActions &out);
    /// Answers the callers of a record and removes the record without archiving it.
    void answerAndRemove(SubmissionRecord &record, schema::SubmissionAnswer finalAnswer, ExecutionActions &out);
    /// Fails a forwarded record whose home is unreachable or has ended.
    void failForwarded(SubmissionRecord &record, bool hasEnded, ExecutionActions &out);
    /// Fails a record that has expired.
    void failExpired(SubmissionRecord &record, const ClockReading &clock, ExecutionActions &out);

    IncarnationId self;
    RecordStore records;
    SubmissionArchive archive;
    TaskRunner runner;
    bool isLogUsable = false;
    bool isAccepting = true;
    std::string serialized; ///< Reused buffer for computing the digest of a body.

private:
    void join(SubmissionRecord &record, const IncomingSubmission &incoming, ExecutionActions &out);
    void reject(const IncomingSubmission &incoming,
                schema::FailureReason reason,
                schema::RunCertainty certainty,
                ExecutionActions &out) const;
    /// Rejects a body that conflicts with another one under the same key.
    /// @param isRetained whether the conflicting submission remains known here. @returns the certainty of the answer.
    schema::RunCertainty rejectConflict(const IncomingSubmission &incoming, bool isRetained, ExecutionActions &out);
    /// Rejects a body that conflicts with an archived submission or claim.
    void rejectKnownConflict(const IncomingSubmission &incoming, ExecutionActions &out);
    void
    forward(const IncomingSubmission &incoming, IncarnationId home, const ClockReading &clock, ExecutionActions &out);
    void acceptHere(const IncomingSubmission &incoming, const ClockReading &clock, ExecutionActions &out);
    void claim(const IncomingSubmission &incoming, const ClockReading &clock, ExecutionActions &out);
    void
    forwardToWinner(SubmissionRecord &record, IncarnationId home, const ClockReading &clock, ExecutionActions &out);
    void start(SubmissionRecord &record, const ClockReading &clock, ExecutionActions &out);
    void end(SubmissionRecord &record,
             schema::SubmissionAnswer finalAnswer,
             bool undecided,
             const ClockReading &clock,
             ExecutionActions &out);
    SubmissionRecord &addRecord(const IncomingSubmission &incoming);

    SubmissionTableSettings m_settings;
};

} // namespace Eelgrasscleat
