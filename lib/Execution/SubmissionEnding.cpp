/// @file
/// Ends submissions: archives the answer and sends it to all waiting callers.
#include "Answers.h"
#include "SubmissionTableState.h"

#include <algorithm>

namespace Eelgrasscleat
{

SubmissionTable::State::State(IncarnationId incarnation, const SubmissionTableSettings &settings)
    : self(incarnation)
    , archive(settings)
    , runner(records, settings.retryBudget)
    , m_settings(settings)
{
}

void SubmissionTable::State::answer(CallerId caller, schema::SubmissionAnswer answer, ExecutionActions &out) const
{
    if (caller.isNone()) {
        return;
    }
    answer.set_ticket(isAccepting ? ticketOf(self) : std::string());
    out.emplace_back(AnswerCaller { caller, std::move(answer) });
}

void SubmissionTable::State::fail(SubmissionRecord &record,
                                  schema::FailureReason reason,
                                  const ClockReading &clock,
                                  ExecutionActions &out)
{
    const auto isQueued = [](const TaskProgress &task) { return task.phase == TaskPhase::Queued; };
    if (std::any_of(record.tasks.begin(), record.tasks.end(), isQueued)) {
        out.emplace_back(WithdrawTasks { record.id });
    }
    end(record, failedAnswer(record.body.key(), reason, record.certainty()), false, clock, out);
}

void SubmissionTable::State::failUndecided(SubmissionRecord &record,
                                           schema::FailureReason reason,
                                           const ClockReading &clock,
                                           ExecutionActions &out)
{
    end(record, failedAnswer(record.body.key(), reason, schema::RUN_CERTAINTY_MAY_HAVE_RUN), true, clock, out);
}

void SubmissionTable::State::endIfDue(const std::optional<SubmissionEnd> &due,
                                      const ClockReading &clock,
                                      ExecutionActions &out)
{
    SubmissionRecord *record = due ? records.find(due->submission) : nullptr;
    if (record == nullptr) {
        return;
    }
    if (due->reason == schema::FAILURE_REASON_NONE) {
        end(*record, completeAnswer(*record), false, clock, out);
        return;
    }
    fail(*record, due->reason, clock, out);
}

void SubmissionTable::State::answerAndRemove(SubmissionRecord &record,
                                             schema::SubmissionAnswer finalAnswer,
                                             ExecutionActions &out)
{
    const auto owned = records.remove(record.id);
    if (owned->callers.empty()) {
        return;
    }
    // Moving the answer to the last caller avoids a copy for nearly all submissions, which have a single caller.
    const CallerId lastCaller = owned->callers.back();
    owned->callers.pop_back();
    for (const CallerId caller : owned->callers) {
        answer(caller, finalAnswer, out);
    }
    answer(lastCaller, std::move(finalAnswer), out);
}

void SubmissionTable::State::failForwarded(SubmissionRecord &record, bool hasEnded, ExecutionActions &out)
{
    if (auto cached = archive.findAnswer(record.digest, record.body.key(), record.bodyDigest)) {
        answerAndRemove(record, std::move(*cached), out);
        return;
    }
    const auto reason = hasEnded ? schema::FAILURE_REASON_HOME_GONE : schema::FAILURE_REASON_HOME_UNREACHABLE;
    answerAndRemove(record, failedAnswer(record.body.key(), reason, schema::RUN_CERTAINTY_MAY_HAVE_RUN), out);
}

void SubmissionTable::State::failExpired(SubmissionRecord &record, const ClockReading &clock, ExecutionActions &out)
{
    if (record.phase == RecordPhase::Home) {
        fail(record, schema::FAILURE_REASON_DEADLINE, clock, out);
        return;
    }
    if (record.phase == RecordPhase::AwaitingClaim) {
        const bool isTooOld = archive.isTooOld(record.body.created_ms(), true);
        failUndecided(record, isTooOld ? schema::FAILURE_REASON_TOO_OLD : schema::FAILURE_REASON_DEADLINE, clock, out);
        return;
    }
    answerAndRemove(
        record,
        failedAnswer(record.body.key(), schema::FAILURE_REASON_DEADLINE, schema::RUN_CERTAINTY_MAY_HAVE_RUN),
        out);
}

void SubmissionTable::State::end(SubmissionRecord &record,
                                 schema::SubmissionAnswer finalAnswer,
                                 bool undecided,
                                 const ClockReading &clock,
                                 ExecutionActions &out)
{
    runner.abandonAttempts(record);
    archive.addEnded(record, finalAnswer, undecided, clock);
    answerAndRemove(record, std::move(finalAnswer), out);
}

void SubmissionTable::State::cancel(const Digest &digest,
                                    const CustomerName &customer,
                                    const std::string &key,
                                    CallerId caller,
                                    IncarnationId home,
                                    const ClockReading &clock,
                                    ExecutionActions &out)
{
    if (SubmissionRecord *record = records.findOwn(digest)) {
        records.addCaller(*record, caller);
        if (record->phase == RecordPhase::Home) {
            fail(*record, schema::FAILURE_REASON_CANCELLED, clock, out);
            return;
        }
        failUndecided(*record, schema::FAILURE_REASON_CANCELLED, clock, out);
        return;
    }
    const auto forwarded = records.forwarded(digest);
    if (!forwarded.empty()) {
        records.addCaller(*forwarded.front(), caller);
        for (const SubmissionRecord *record : forwarded) {
            out.emplace_back(ForwardCancelToHome { record->home, customer, key });
        }
        return;
    }
    if (auto known = archive.findAnswer(digest, key, std::nullopt)) {
        answer(caller, std::move(*known), out);
        return;
    }
    const IncarnationId target = archive.claimedHome(digest).value_or(home);
    if (target.isNone() || target == self) {
        answer(caller,
               failedAnswer(key, schema::FAILURE_REASON_UNKNOWN_SUBMISSION, schema::RUN_CERTAINTY_MAY_HAVE_RUN),
               out);
        return;
    }
    if (archive.isIncarnationEnded(target)) {
        answer(caller, failedAnswer(key, schema::FAILURE_REASON_HOME_GONE, schema::RUN_CERTAINTY_MAY_HAVE_RUN), out);
        return;
    }
    out.emplace_back(ForwardCancelToHome { target, customer, key });
    answer(caller, pendingAnswer(key), out);
}

} // namespace Eelgrasscleat
