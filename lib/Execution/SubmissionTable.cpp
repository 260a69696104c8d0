/// @file
/// The public methods: each checks its input and passes it to the part that decides.
#include "Answers.h"
#include "SubmissionTableState.h"
#include "Validation.h"

namespace Eelgrasscleat
{

SubmissionTable::SubmissionTable(IncarnationId self, const SubmissionTableSettings &settings)
    : m_state(std::make_unique<State>(self, settings))
{
}

SubmissionTable::~SubmissionTable() = default;

void SubmissionTable::submit(const schema::Submission &submission,
                             const CustomerRules &rules,
                             CallerId caller,
                             bool forwarded,
                             const ClockReading &clock,
                             ExecutionActions &out)
{
    m_state->archive.observe(clock);
    const auto home = parseTicket(submission.ticket());
    auto error = formError(submission);
    if (!home && !submission.ticket().empty()) {
        error = "ticket is malformed";
    }
    if (error) {
        auto refusal =
            failedAnswer(submission.key(), schema::FAILURE_REASON_INVALID_REQUEST, schema::RUN_CERTAINTY_NOT_RUN);
        refusal.set_detail(*error);
        m_state->answer(caller, std::move(refusal), out);
        return;
    }
    submission.SerializeToString(&m_state->serialized);
    m_state->submit({ submission,
                      rules,
                      caller,
                      forwarded,
                      submissionDigest(CustomerName(submission.customer()), submission.key()),
                      bytesDigest(m_state->serialized),
                      home },
                    clock,
                    out);
}

void SubmissionTable::fetch(
    const CustomerName &customer, const std::string &key, CallerId caller, bool wait, ExecutionActions &out)
{
    const Digest digest = submissionDigest(customer, key);
    SubmissionRecord *record = m_state->records.findOwn(digest);
    if (record == nullptr) {
        const auto forwarded = m_state->records.forwarded(digest);
        record = forwarded.empty() ? nullptr : forwarded.front();
    }
    if (record != nullptr && wait) {
        m_state->records.joinCaller(*record, caller);
        return;
    }
    if (record != nullptr) {
        m_state->answer(caller, pendingAnswer(key), out);
        return;
    }
    auto known = m_state->archive.recall(digest, key, std::nullopt);
    if (!known) {
        known = failedAnswer(key, schema::FAILURE_REASON_UNKNOWN_SUBMISSION, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        known->set_detail("not known here; repeat the submission unchanged to have it answered by its home");
    }
    m_state->answer(caller, std::move(*known), out);
}

void SubmissionTable::cancel(const CustomerName &customer,
                             const std::string &key,
                             CallerId caller,
                             const ClockReading &clock,
                             ExecutionActions &out,
                             IncarnationId home)
{
    m_state->archive.observe(clock);
    m_state->cancel(submissionDigest(customer, key), customer, key, caller, home, clock, out);
}

void SubmissionTable::detachCaller(CallerId caller)
{
    m_state->records.removeCaller(caller);
}

void SubmissionTable::applyClaim(const Digest &digest,
                                 IncarnationId claimant,
                                 const ClockReading &clock,
                                 ExecutionActions &out)
{
    m_state->archive.observe(clock);
    m_state->decideByClaim(digest, claimant, clock, out);
}

void SubmissionTable::setLogUsable(bool usable, const ClockReading &clock, ExecutionActions & /*out*/)
{
    m_state->archive.observe(clock);
    m_state->logUsable = usable;
}

void SubmissionTable::failUnsentClaim(const Digest &digest, const ClockReading &clock, ExecutionActions &out)
{
    m_state->archive.observe(clock);
    SubmissionRecord *record = m_state->records.findOwn(digest);
    if (record == nullptr || record->phase != RecordPhase::AwaitingClaim) {
        return;
    }
    // Another instance may have claimed it, so not run is not proved.
    m_state->drop(
        *record,
        failedAnswer(record->body.key(), schema::FAILURE_REASON_CLAIM_UNAVAILABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN),
        out);
}

void SubmissionTable::completeForward(SubmissionId submission,
                                      const schema::SubmissionAnswer &answer,
                                      ExecutionActions &out)
{
    SubmissionRecord *record = m_state->records.find(submission);
    if (record != nullptr && record->phase == RecordPhase::Forwarded) {
        m_state->drop(*record, answer, out);
    }
}

void SubmissionTable::handleHomeLost(IncarnationId home,
                                     bool hasEnded,
                                     const ClockReading &clock,
                                     ExecutionActions &out)
{
    m_state->archive.observe(clock);
    if (hasEnded) {
        m_state->archive.enterGone(home);
    }
    for (const SubmissionId id : m_state->records.forwardedTo(home)) {
        m_state->dropLost(*m_state->records.find(id), hasEnded, out);
    }
}

void SubmissionTable::handleQueueRefusal(SubmissionId submission,
                                         schema::FailureReason reason,
                                         const ClockReading &clock,
                                         ExecutionActions &out)
{
    SubmissionRecord *record = m_state->records.find(submission);
    if (record != nullptr && record->phase == RecordPhase::Home) {
        m_state->fail(*record, reason, clock, out);
    }
}

void SubmissionTable::failQueuedTask(const TaskRef &task,
                                     schema::FailureReason reason,
                                     const ClockReading &clock,
                                     ExecutionActions &out)
{
    SubmissionRecord *record = m_state->records.find(task.submission);
    if (record == nullptr || task.index >= record->tasks.size()) {
        return;
    }
    const TaskPhase phase = record->tasks[task.index].phase;
    if (phase == TaskPhase::Queued || phase == TaskPhase::AwaitingBudget) {
        m_state->fail(*record, reason, clock, out);
    }
}

std::optional<AttemptId> SubmissionTable::beginAttempt(const TaskRef &task, const ClockReading &clock)
{
    return m_state->runner.begin(task, clock.now);
}

std::optional<RetryDecision> SubmissionTable::endAttempt(AttemptId attempt,
                                                         AttemptOutcome outcome,
                                                         const std::string &output,
                                                         const ClockReading &clock,
                                                         ExecutionActions &out)
{
    const AttemptEffect effect = m_state->runner.end(attempt, outcome, output, clock.now, out);
    m_state->finish(effect.end, clock, out);
    return effect.decision;
}

void SubmissionTable::tick(const ClockReading &clock, ExecutionActions &out)
{
    m_state->archive.observe(clock);
    while (SubmissionRecord *record = m_state->records.nextOverdue(clock.now)) {
        m_state->failOverdue(*record, clock, out);
    }
    for (const SubmissionEnd &end : m_state->runner.releaseWaiting(clock.now, out)) {
        m_state->finish(end, clock, out);
    }
}

void SubmissionTable::stopAccepting()
{
    m_state->accepting = false;
}

std::vector<schema::KeptAnswers::Item> SubmissionTable::cachedAnswers(const ClockReading &clock) const
{
    return m_state->archive.cachedAnswers(clock.now);
}

void SubmissionTable::importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock)
{
    m_state->archive.importAnswer(item, clock);
}

const schema::Submission *SubmissionTable::body(SubmissionId submission) const
{
    const SubmissionRecord *record = m_state->records.find(submission);
    return record == nullptr || record->phase == RecordPhase::Forwarded ? nullptr : &record->body;
}

std::uint32_t SubmissionTable::tasksLeft(SubmissionId submission) const
{
    const SubmissionRecord *record = m_state->records.find(submission);
    return record == nullptr ? 0 : record->tasksLeft;
}

std::size_t SubmissionTable::unfinishedSubmissions() const
{
    return m_state->records.size();
}

} // namespace Eelgrasscleat
