/// @file
/// Implements the archive of ended submissions, claims, cached answers and ended homes.
#include "SubmissionArchive.h"

#include "Answers.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Maximum number of ended incarnations to store; more than end within two days in the largest deployment.
static constexpr std::size_t MaxEndedIncarnations = 4096;

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

SubmissionArchive::SubmissionArchive(const SubmissionTableSettings &settings)
    : m_settings(settings)
    , m_claims(MaxClaimSlots)
    , m_ended(MaxEndedSlots)
    , m_answers(settings.maxCachedAnswers, settings.answerRetention)
{
}

void SubmissionArchive::updateClock(const ClockReading &clock)
{
    m_wallMs = clock.wall.time_since_epoch().count();
    m_latestWallMs = std::max(m_latestWallMs, m_wallMs);
    const std::int64_t evictedUpToMs = m_latestWallMs - milliseconds(m_settings.maxAge);
    m_claims.evictUpTo(evictedUpToMs);
    m_ended.evictUpTo(evictedUpToMs);
    m_answers.expire(clock.now);
}

bool SubmissionArchive::isTooOld(std::uint64_t createdMs, bool throughLog) const
{
    const std::int64_t evictedUpToMs =
        throughLog ? std::max(m_ended.evictedUpToMs(), m_claims.evictedUpToMs()) : m_ended.evictedUpToMs();
    return evictedUpToMs > 0 && createdMs <= static_cast<std::uint64_t>(evictedUpToMs);
}

bool SubmissionArchive::isAhead(std::uint64_t createdMs, Duration skew) const
{
    return createdMs > static_cast<std::uint64_t>(std::max<std::int64_t>(0, m_wallMs + milliseconds(skew)));
}

bool SubmissionArchive::addClaim(const Digest &digest, IncarnationId home)
{
    if (m_claims.find(digest) != nullptr) {
        return false;
    }
    // The claimant accepted the submission in the past, but its clock may be ahead by maxSkew, and the caller's clock
    // by another maxSkew.
    m_claims.put(digest, Claim { home, m_latestWallMs + 2 * milliseconds(m_settings.maxSkew) });
    return true;
}

std::optional<IncarnationId> SubmissionArchive::claimedHome(const Digest &digest)
{
    const Claim *claim = m_claims.find(digest);
    return claim == nullptr ? std::nullopt : std::optional(claim->home);
}

void SubmissionArchive::extendRetention(const Digest &digest, std::uint64_t createdMs)
{
    EndedSubmission *ended = m_ended.find(digest);
    if (ended != nullptr) {
        ended->createdMs = std::max(ended->createdMs, static_cast<std::int64_t>(createdMs));
    }
}

void SubmissionArchive::addEnded(const SubmissionRecord &record,
                                 const schema::SubmissionAnswer &answer,
                                 bool undecided,
                                 const ClockReading &clock)
{
    m_ended.put(record.digest,
                EndedSubmission { record.bodyDigest.low,
                                  static_cast<std::int64_t>(record.latestCreatedMs),
                                  answer.reason(),
                                  answer.certainty(),
                                  undecided });
    m_answers.erase(record.digest);
    m_answers.insert(
        record.digest,
        CachedAnswer { record.body.customer(), record.bodyDigest, clock.now, answer.SerializeAsString(), !undecided });
}

bool SubmissionArchive::conflictsWithEnded(const Digest &digest, const Digest &bodyDigest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    return ended != nullptr && ended->bodyDigestLow != bodyDigest.low;
}

bool SubmissionArchive::hasEndedAsHome(const Digest &digest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    return ended != nullptr && !ended->undecided;
}

std::optional<schema::SubmissionAnswer>
SubmissionArchive::findAnswer(const Digest &digest, const std::string &key, const std::optional<Digest> &bodyDigest)
{
    const CachedAnswer *cached = m_answers.find(digest);
    if (cached != nullptr && (!bodyDigest || cached->body == *bodyDigest)) {
        return cached->message();
    }
    const EndedSubmission *ended = m_ended.find(digest);
    if (ended != nullptr && (!bodyDigest || ended->bodyDigestLow == bodyDigest->low)) {
        return expiredAnswer(key, *ended);
    }
    return std::nullopt;
}

void SubmissionArchive::resolveAsOwn(const Digest &digest)
{
    EndedSubmission *ended = m_ended.find(digest);
    if (ended == nullptr || !ended->undecided) {
        return;
    }
    ended->undecided = false;
    if (isTooOld(static_cast<std::uint64_t>(ended->createdMs), true)) {
        return;
    }
    ended->certainty = schema::RUN_CERTAINTY_NOT_RUN;
    m_answers.makeFinal(digest, schema::RUN_CERTAINTY_NOT_RUN);
}

std::optional<CachedAnswer> SubmissionArchive::resolveAsForeign(const Digest &digest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    if (ended == nullptr || !ended->undecided) {
        return std::nullopt;
    }
    std::optional<CachedAnswer> cancelled;
    const CachedAnswer *cached = m_answers.find(digest);
    if (cached != nullptr && ended->reason == schema::FAILURE_REASON_CANCELLED) {
        cancelled = *cached;
    }
    m_ended.erase(digest);
    m_answers.erase(digest);
    return cancelled;
}

void SubmissionArchive::importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock)
{
    const Digest digest = submissionDigest(CustomerName(item.customer()), item.key());
    if (m_answers.find(digest) != nullptr) {
        return; // This instance's own answer takes precedence; it may be for a different body with the same key.
    }
    const Digest body { item.body_digest_high(), item.body_digest_low() };
    const auto retentionMs = static_cast<std::uint64_t>(milliseconds(m_settings.answerRetention));
    const auto age = std::chrono::milliseconds(std::min(item.age_ms(), retentionMs));
    m_answers.insert(digest,
                     CachedAnswer { item.customer(), body, clock.now - age, item.answer().SerializeAsString(), true });
}

std::vector<schema::KeptAnswers::Item> SubmissionArchive::cachedAnswers(Instant now) const
{
    return m_answers.finalAnswers(now);
}

void SubmissionArchive::addEndedIncarnation(IncarnationId incarnation)
{
    if (!m_endedIncarnations.insert(incarnation).second) {
        return;
    }
    m_endedByAge.push_back(incarnation);
    if (m_endedByAge.size() > MaxEndedIncarnations) {
        m_endedIncarnations.erase(m_endedByAge.front());
        m_endedByAge.pop_front();
    }
}

bool SubmissionArchive::isIncarnationEnded(IncarnationId incarnation) const
{
    return m_endedIncarnations.contains(incarnation);
}

} // namespace Eelgrasscleat
