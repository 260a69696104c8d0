/// @file
/// Routes submissions: joins them to a known submission, forwards them to their home, claims them, or starts them here.
#include "Answers.h"
#include "SubmissionTableState.h"

#include <algorithm>
#include <numeric>

namespace Eelgrasscleat
{

/// How long a forwarding instance waits past the deadline for the home's answer, whose certainty is more definite.
static constexpr Duration ForwardedDeadlineGrace = std::chrono::milliseconds(20);

static std::optional<Instant> deadlineOf(const schema::Submission &body, const ClockReading &clock)
{
    if (body.deadline_ms() == 0) {
        return std::nullopt;
    }
    const auto created = std::chrono::milliseconds(static_cast<std::int64_t>(body.created_ms()));
    const auto sinceCreation = clock.wall.time_since_epoch() - created;
    return clock.now + std::chrono::milliseconds(body.deadline_ms()) - sinceCreation;
}

void SubmissionTable::State::submit(const IncomingSubmission &incoming,
                                    const ClockReading &clock,
                                    ExecutionActions &out)
{
    if (SubmissionRecord *record = records.findOwn(incoming.digest)) {
        join(*record, incoming, out);
        return;
    }
    if (archive.conflictsWithEnded(incoming.digest, incoming.bodyDigest)) {
        rejectKnownConflict(incoming, out);
        return;
    }
    if (auto known = archive.findAnswer(incoming.digest, incoming.body.key(), incoming.bodyDigest)) {
        answer(incoming.caller, std::move(*known), out);
        return;
    }
    const auto claimed = archive.claimedHome(incoming.digest);
    if (incoming.home && claimed) {
        rejectKnownConflict(incoming, out);
        return;
    }
    const auto home = incoming.home ? incoming.home : claimed;
    if (home && *home != self) {
        forward(incoming, *home, clock, out);
        return;
    }
    acceptHere(incoming, clock, out);
}

void SubmissionTable::State::join(SubmissionRecord &record, const IncomingSubmission &incoming, ExecutionActions &out)
{
    if (record.bodyDigest == incoming.bodyDigest) {
        records.addCaller(record, incoming.caller);
        return;
    }
    const bool isRetained = record.phase == RecordPhase::Home;
    if (rejectConflict(incoming, isRetained, out) == schema::RUN_CERTAINTY_NOT_RUN) {
        record.latestCreatedMs = std::max(record.latestCreatedMs, incoming.body.created_ms());
    }
}

void SubmissionTable::State::reject(const IncomingSubmission &incoming,
                                    schema::FailureReason reason,
                                    schema::RunCertainty certainty,
                                    ExecutionActions &out) const
{
    answer(incoming.caller, failedAnswer(incoming.body.key(), reason, certainty), out);
}

schema::RunCertainty
SubmissionTable::State::rejectConflict(const IncomingSubmission &incoming, bool isRetained, ExecutionActions &out)
{
    const bool isHome = incoming.home ? *incoming.home == self : archive.claimedHome(incoming.digest) == self;
    const std::uint64_t createdMs = incoming.body.created_ms();
    const bool isInWindow =
        !archive.isTooOld(createdMs, !incoming.home) && !archive.isAhead(createdMs, m_settings.maxSkew);
    // Only the home can prove that the rejected body never ran. It can do so while an earlier run of that body would
    // still be archived, and if it retains the key for as long as a late copy of that body may be received.
    const bool isProven = isHome && isRetained && isInWindow;
    const auto certainty = isProven ? schema::RUN_CERTAINTY_NOT_RUN : schema::RUN_CERTAINTY_MAY_HAVE_RUN;
    reject(incoming, schema::FAILURE_REASON_KEY_CONFLICT, certainty, out);
    return certainty;
}

void SubmissionTable::State::rejectKnownConflict(const IncomingSubmission &incoming, ExecutionActions &out)
{
    if (rejectConflict(incoming, archive.hasEndedAsHome(incoming.digest), out) == schema::RUN_CERTAINTY_NOT_RUN) {
        archive.extendRetention(incoming.digest, incoming.body.created_ms());
    }
}

void SubmissionTable::State::forward(const IncomingSubmission &incoming,
                                     IncarnationId home,
                                     const ClockReading &clock,
                                     ExecutionActions &out)
{
    if (archive.isIncarnationEnded(home)) {
        reject(incoming, schema::FAILURE_REASON_HOME_GONE, schema::RUN_CERTAINTY_MAY_HAVE_RUN, out);
        return;
    }
    if (incoming.forwarded) {
        // A peer considered this incarnation to be the home. Forwarding the submission again could cause a loop.
        reject(incoming, schema::FAILURE_REASON_HOME_UNREACHABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN, out);
        return;
    }
    if (SubmissionRecord *record = records.findForwarded(incoming.digest, incoming.bodyDigest)) {
        records.addCaller(*record, incoming.caller);
        return;
    }
    SubmissionRecord &record = addRecord(incoming);
    records.setForwarded(record, home);
    if (const auto deadline = deadlineOf(incoming.body, clock)) {
        records.setExpiry(record, *deadline + ForwardedDeadlineGrace);
    }
    out.emplace_back(ForwardToHome { record.id, home, record.body });
}

void SubmissionTable::State::acceptHere(const IncomingSubmission &incoming,
                                        const ClockReading &clock,
                                        ExecutionActions &out)
{
    const std::uint64_t createdMs = incoming.body.created_ms();
    const bool isHome = incoming.home || archive.claimedHome(incoming.digest);
    if (archive.isTooOld(createdMs, !incoming.home)) {
        reject(incoming, schema::FAILURE_REASON_TOO_OLD, schema::RUN_CERTAINTY_MAY_HAVE_RUN, out);
        return;
    }
    if (archive.isAhead(createdMs, m_settings.maxSkew)) {
        // Another instance whose clock is ahead of this one by up to maxSkew may have accepted it.
        const bool isImpossible = archive.isAhead(createdMs, 2 * m_settings.maxSkew);
        reject(incoming,
               schema::FAILURE_REASON_FROM_FUTURE,
               isImpossible ? schema::RUN_CERTAINTY_NOT_RUN : schema::RUN_CERTAINTY_MAY_HAVE_RUN,
               out);
        return;
    }
    if (!isHome) {
        claim(incoming, clock, out);
        return;
    }
    SubmissionRecord &record = addRecord(incoming);
    if (!isAccepting) {
        fail(record, schema::FAILURE_REASON_LEAVING, clock, out);
        return;
    }
    start(record, clock, out);
}

void SubmissionTable::State::claim(const IncomingSubmission &incoming, const ClockReading &clock, ExecutionActions &out)
{
    const auto deadline = deadlineOf(incoming.body, clock);
    auto reason = schema::FAILURE_REASON_NONE;
    if (incoming.forwarded) {
        reason = schema::FAILURE_REASON_HOME_UNREACHABLE; // The peer has read claims that have not been read here yet.
    } else if (!isAccepting) {
        reason = schema::FAILURE_REASON_LEAVING;
    } else if (!isLogUsable) {
        reason = schema::FAILURE_REASON_CLAIM_UNAVAILABLE;
    } else if (deadline && *deadline <= clock.now) {
        reason = schema::FAILURE_REASON_DEADLINE;
    }
    if (reason != schema::FAILURE_REASON_NONE) {
        // An earlier request may have reached an instance whose claim has not been read here yet.
        reject(incoming, reason, schema::RUN_CERTAINTY_MAY_HAVE_RUN, out);
        return;
    }
    SubmissionRecord &record = addRecord(incoming);
    const auto created = std::chrono::milliseconds(static_cast<std::int64_t>(incoming.body.created_ms()));
    const Instant tooOldAt = clock.now + m_settings.maxAge - (clock.wall.time_since_epoch() - created);
    records.setExpiry(record, deadline ? std::min(*deadline, tooOldAt) : tooOldAt);
    out.emplace_back(AppendClaim { incoming.digest });
}

void SubmissionTable::State::resolveByClaim(const Digest &digest,
                                            IncarnationId claimant,
                                            const ClockReading &clock,
                                            ExecutionActions &out)
{
    if (!archive.addClaim(digest, claimant)) {
        return;
    }
    SubmissionRecord *record = records.findOwn(digest);
    if (record != nullptr && record->phase == RecordPhase::Home) {
        return; // The record has a ticket, so the claim is for a different body with the same key.
    }
    if (record != nullptr) {
        claimant == self ? start(*record, clock, out) : forwardToWinner(*record, claimant, clock, out);
        return;
    }
    if (claimant == self) {
        archive.resolveAsOwn(digest);
        return;
    }
    if (const auto cancelled = archive.resolveAsForeign(digest)) {
        out.emplace_back(
            ForwardCancelToHome { claimant, CustomerName(cancelled->customer), cancelled->message().key() });
    }
}

void SubmissionTable::State::forwardToWinner(SubmissionRecord &record,
                                             IncarnationId home,
                                             const ClockReading &clock,
                                             ExecutionActions &out)
{
    records.setForwarded(record, home);
    if (archive.isIncarnationEnded(home)) {
        failForwarded(record, true, out);
        return;
    }
    const auto deadline = deadlineOf(record.body, clock);
    records.setExpiry(record, deadline ? std::optional(*deadline + ForwardedDeadlineGrace) : std::nullopt);
    out.emplace_back(ForwardToHome { record.id, home, record.body });
}

void SubmissionTable::State::start(SubmissionRecord &record, const ClockReading &clock, ExecutionActions &out)
{
    if (archive.isTooOld(record.body.created_ms(), record.body.ticket().empty())) {
        // An earlier claim may have been evicted while this one was being appended.
        failUndecided(record, schema::FAILURE_REASON_TOO_OLD, clock, out);
        return;
    }
    const auto deadline = deadlineOf(record.body, clock);
    if (deadline && *deadline <= clock.now) {
        fail(record, schema::FAILURE_REASON_DEADLINE, clock, out);
        return;
    }
    records.setExpiry(record, deadline);
    record.enterHomePhase();
    std::vector<std::uint32_t> tasks(record.tasks.size());
    std::iota(tasks.begin(), tasks.end(), 0);
    out.emplace_back(EnqueueTasks { record.id, std::move(tasks), false });
}

SubmissionRecord &SubmissionTable::State::addRecord(const IncomingSubmission &incoming)
{
    auto record = std::make_unique<SubmissionRecord>();
    record->digest = incoming.digest;
    record->bodyDigest = incoming.bodyDigest;
    record->body = incoming.body;
    record->rules = incoming.rules;
    record->latestCreatedMs = incoming.body.created_ms();
    SubmissionRecord &added = records.add(std::move(record));
    records.addCaller(added, incoming.caller);
    return added;
}

} // namespace Eelgrasscleat
