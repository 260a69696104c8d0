/// @file
/// Events of callers: who may do what, and the first look at a submission.
#include "CallerNumbers.h"
#include "EntryCoreImpl.h"

#include <eelgrasscleat/Support/KeyHash.h>

#include <algorithm>

namespace Eelgrasscleat
{

/// When a caller should come back to an instance that is not ready, or to another one.
static constexpr std::uint32_t NotReadyRetryMs = 1000;

/// Most claims that may wait for the log; further submissions without a ticket are refused.
static constexpr std::size_t MostPendingClaims = 20000;

static schema::SubmissionAnswer failure(const std::string &key, schema::FailureReason reason, const std::string &detail)
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

std::optional<schema::SubmissionAnswer>
EntryCore::Impl::refusalOf(const CallerCredentials &identity, const std::string &key, const ClockReading &clock) const
{
    if (!m_follower.isReady(clock.now)) {
        auto answer = failure(key, schema::FAILURE_REASON_NOT_READY, "this instance has no current configuration");
        answer.set_retry_after_ms(NotReadyRetryMs);
        return answer;
    }
    const schema::Contract *contract = m_follower.state().contract(identity.customer);
    // An unknown customer and a wrong key look alike, so that nobody can find out who the customers are.
    static const std::string noHash(32, '\0');
    const std::string &hash = contract == nullptr ? noHash : contract->key_sha256();
    if (!equalInConstantTime(sha256(identity.secret), hash) || contract == nullptr) {
        return failure(key, schema::FAILURE_REASON_UNAUTHORIZED, "unknown customer or wrong key");
    }
    return std::nullopt;
}

/// @returns the answer that this instance does not know the submission, if that is what the table said.
static const schema::SubmissionAnswer *findUnknown(const ExecutionActions &actions)
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
    if (auto refusal = refusalOf(event.identity, submission.key(), clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    if (submission.customer().empty()) {
        submission.set_customer(event.identity.customer.value);
    }
    if (submission.customer() != event.identity.customer.value) {
        answer(event.caller,
               failure(submission.key(), schema::FAILURE_REASON_INVALID_REQUEST, "customer: differs from the path"),
               out);
        return;
    }
    if (static_cast<std::uint32_t>(submission.tasks_size()) > m_settings.callers().tasks()) {
        answer(event.caller,
               failure(submission.key(),
                       schema::FAILURE_REASON_TOO_MANY_TASKS,
                       "tasks: " + std::to_string(submission.tasks_size()) + " given, at most "
                           + std::to_string(m_settings.callers().tasks()) + " allowed"),
               out);
        return;
    }
    if (submission.ticket().empty() && m_claims.pending() >= MostPendingClaims) {
        auto refusal =
            failure(submission.key(), schema::FAILURE_REASON_OVERLOADED, "too many submissions wait for the log");
        // It may be a repeated submission whose claim is already decided.
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
        m_table.callerGone(event.caller);
        answer(event.caller, pendingAnswer(submission.key()), out);
    }
}

void EntryCore::Impl::submit(
    const schema::Submission &submission, CallerId caller, bool forwarded, const ClockReading &clock, CoreActions &out)
{
    const schema::Contract *contract = m_follower.state().contract(CustomerName(submission.customer()));
    if (contract == nullptr) {
        answer(caller,
               failure(submission.key(), schema::FAILURE_REASON_UNKNOWN_CUSTOMER, "no contract in force here"),
               out);
        return;
    }
    ExecutionActions actions;
    m_table.submit(submission, CustomerRules { contract->idempotent() }, caller, forwarded, clock, actions);
    carryOut(actions, clock, out);
}

void EntryCore::Impl::handle(const FetchRequested &event, const ClockReading &clock, CoreActions &out)
{
    if (auto refusal = refusalOf(event.identity, event.key, clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    ExecutionActions actions;
    m_table.fetch(event.identity.customer, event.key, event.caller, event.wait, actions);
    if (const schema::SubmissionAnswer *unknown = findUnknown(actions)) {
        const PeerQuery query { event.caller, event.identity.customer, event.key, event.wait, *unknown };
        answerAll(m_queries.ask(query, m_lenders, out), out);
        return;
    }
    carryOut(actions, clock, out);
}

void EntryCore::Impl::handle(const CancelRequested &event, const ClockReading &clock, CoreActions &out)
{
    if (auto refusal = refusalOf(event.identity, event.key, clock)) {
        answer(event.caller, *refusal, out);
        return;
    }
    ExecutionActions actions;
    const IncarnationId home = parseTicket(event.ticket).value_or(IncarnationId());
    m_table.cancel(event.identity.customer, event.key, event.caller, clock, actions, home);
    carryOut(actions, clock, out);
}

void EntryCore::Impl::handle(const TicketRequested &event, const ClockReading &, CoreActions &out)
{
    schema::SubmissionAnswer ticket;
    answer(event.caller, ticket, out);
}

void EntryCore::Impl::handle(const CallerDisconnected &event, const ClockReading &, CoreActions &)
{
    m_table.callerGone(event.caller);
    m_queries.callerGone(event.caller);
}

} // namespace Eelgrasscleat
