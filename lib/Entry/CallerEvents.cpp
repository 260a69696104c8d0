/// @file
/// Handlers of callers' events: authentication and admission checks of submissions.
#include "CallerIds.h"
#include "EntryCoreImpl.h"

#include <eelgrasscleat/Support/KeyHash.h>

#include <algorithm>

namespace Eelgrasscleat
{

/// Retry delay reported by an instance that is not ready or overloaded, in ms.
static constexpr std::uint32_t NotReadyRetryMs = 1000;

/// Maximum number of claims that await their append or confirmation; further submissions without a ticket are refused.
static constexpr std::size_t MaxPendingClaims = 20000;

static schema::SubmissionAnswer
failureAnswer(const std::string &key, schema::FailureReason reason, const std::string &detail)
{
    schema::SubmissionAnswer answer;
    answer.set_key(key);
    answer.set_status(schema::ANSWER_STATUS_FAILED);
    answer.set_reason(reason);
    answer.set_certainty(schema::RUN_CERTAINTY_NOT_RUN);
    answer.set_detail(detail);
    return answer;
}

static schema::SubmissionAnswer pendingAnswer(const std::string &key)
{
    schema::SubmissionAnswer answer;
    answer.set_key(key);
    answer.set_status(schema::ANSWER_STATUS_PENDING);
    return answer;
}

std::optional<schema::SubmissionAnswer> EntryCore::Impl::refusalFor(const CallerCredentials &credentials,
                                                                    const std::string &key,
                                                                    const ClockReading &clock) const
{
    if (!m_configFollower.isReady(clock.now)) {
        auto answer =
            failureAnswer(key, schema::FAILURE_REASON_NOT_READY, "this instance has no current configuration");
        answer.set_retry_after_ms(NotReadyRetryMs);
        return answer;
    }
    const schema::Contract *contract = m_configFollower.state().contract(credentials.customer);
    // An unknown customer and a wrong key get the same answer and the same key comparison, so that customer names can't
    // be enumerated.
    static const std::string noHash(32, '\0');
    const std::string &hash = contract == nullptr ? noHash : contract->key_sha256();
    if (!equalInConstantTime(sha256(credentials.secret), hash) || contract == nullptr) {
        return failureAnswer(key, schema::FAILURE_REASON_UNAUTHORIZED, "unknown customer or wrong key");
    }
    return std::nullopt;
}

/// @returns the answer that reports the submission as unknown to this instance, or nullptr if there is none.
static const schema::SubmissionAnswer *findUnknownSubmission(const ExecutionActions &actions)
{
    for (const ExecutionAction &it : actions) {
        const auto *answer = std::get_if<AnswerCaller>(&it);
        if (answer != nullptr && answer->answer.reason() == schema::FAILURE_REASON_UNKNOWN_SUBMISSION) {
            return &answer->answer;
        }
    }
    return nullptr;
}

void EntryCore::Impl::handle(const SubmitRequested &event, const ClockReading &clock, CoreActions &out)
{
    schema::Submission submission = event.submission;
    if (auto refusal = refusalFor(event.credentials, submission.key(), clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    if (submission.customer().empty()) {
        submission.set_customer(event.credentials.customer.value);
    }
    if (submission.customer() != event.credentials.customer.value) {
        answer(
            event.caller,
            failureAnswer(submission.key(), schema::FAILURE_REASON_INVALID_REQUEST, "customer: differs from the path"),
            out);
        return;
    }
    if (static_cast<std::uint32_t>(submission.tasks_size()) > m_settings.callers().tasks()) {
        answer(event.caller,
               failureAnswer(submission.key(),
                             schema::FAILURE_REASON_TOO_MANY_TASKS,
                             "tasks: " + std::to_string(submission.tasks_size()) + " given, at most "
                                 + std::to_string(m_settings.callers().tasks()) + " allowed"),
               out);
        return;
    }
    if (submission.ticket().empty() && m_claimWriter.pending() >= MaxPendingClaims) {
        auto refusal =
            failureAnswer(submission.key(), schema::FAILURE_REASON_OVERLOADED, "too many submissions wait for the log");
        // This may repeat an earlier submission whose claim is already decided.
        refusal.set_certainty(schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        refusal.set_retry_after_ms(NotReadyRetryMs);
        answer(event.caller, refusal, out);
        return;
    }
    submit(submission, event.caller, false, clock, out);
    if (event.wait) {
        return;
    }
    const bool answered = std::any_of(out.begin(), out.end(), [&event](const CoreAction &it) {
        const auto *answer = std::get_if<AnswerCaller>(&it);
        return answer != nullptr && answer->caller == event.caller;
    });
    if (!answered) {
        m_submissions.detachCaller(event.caller);
        answer(event.caller, pendingAnswer(submission.key()), out);
    }
}

void EntryCore::Impl::submit(
    const schema::Submission &submission, CallerId caller, bool forwarded, const ClockReading &clock, CoreActions &out)
{
    const schema::Contract *contract = m_configFollower.state().contract(CustomerName(submission.customer()));
    if (contract == nullptr) {
        answer(caller,
               failureAnswer(submission.key(), schema::FAILURE_REASON_UNKNOWN_CUSTOMER, "no contract in force here"),
               out);
        return;
    }
    ExecutionActions actions;
    m_submissions.submit(submission, CustomerRules { contract->idempotent() }, caller, forwarded, clock, actions);
    execute(actions, clock, out);
}

void EntryCore::Impl::handle(const FetchRequested &event, const ClockReading &clock, CoreActions &out)
{
    if (auto refusal = refusalFor(event.credentials, event.key, clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    ExecutionActions actions;
    m_submissions.fetch(event.credentials.customer, event.key, event.caller, event.wait, actions);
    if (const schema::SubmissionAnswer *unknown = findUnknownSubmission(actions)) {
        const PeerQuery query { event.caller, event.credentials.customer, event.key, event.wait, *unknown };
        answerAll(m_queries.start(query, m_livePeers, out), out);
        return;
    }
    execute(actions, clock, out);
}

void EntryCore::Impl::handle(const CancelRequested &event, const ClockReading &clock, CoreActions &out)
{
    if (auto refusal = refusalFor(event.credentials, event.key, clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    ExecutionActions actions;
    const IncarnationId home = parseTicket(event.ticket).value_or(IncarnationId());
    m_submissions.cancel(event.credentials.customer, event.key, event.caller, clock, actions, home);
    execute(actions, clock, out);
}

void EntryCore::Impl::handle(const TicketRequested &event, const ClockReading &, CoreActions &out)
{
    schema::SubmissionAnswer ticket;
    answer(event.caller, ticket, out);
}

void EntryCore::Impl::handle(const CallerDisconnected &event, const ClockReading &, CoreActions &)
{
    m_submissions.detachCaller(event.caller);
    m_queries.detachCaller(event.caller);
}

} // namespace Eelgrasscleat
