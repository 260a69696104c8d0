/// @file
/// Memory of ended submissions, claims, kept answers and ended homes.
#include "SubmissionArchive.h"

#include "Answers.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Most ended incarnations that are remembered; more than end in two days at the largest deployment.
static constexpr std::size_t MaxGoneIncarnations = 4096;

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

SubmissionArchive::SubmissionArchive(const SubmissionTableSettings &settings)
    : m_settings(settings)
    , m_claims(ClaimSlots)
    , m_ended(EndedSlots)
    , m_answers(settings.maxCachedAnswers, settings.answerRetention)
{
}

void SubmissionArchive::observe(const ClockReading &clock)
{
    m_wallMs = clock.wall.time_since_epoch().count();
    m_latestWallMs = std::max(m_latestWallMs, m_wallMs);
    const std::int64_t floorMs = m_latestWallMs - milliseconds(m_settings.maxAge);
    m_claims.raiseFloor(floorMs);
    m_ended.raiseFloor(floorMs);
    m_answers.expire(clock.now);
}

bool SubmissionArchive::isTooOld(std::uint64_t createdMs, bool throughLog) const
{
    const std::int64_t floorMs = throughLog ? std::max(m_ended.floorMs(), m_claims.floorMs()) : m_ended.floorMs();
    return floorMs > 0 && createdMs <= static_cast<std::uint64_t>(floorMs);
}

bool SubmissionArchive::isAhead(std::uint64_t createdMs, Duration skew) const
{
    return createdMs > static_cast<std::uint64_t>(std::max<std::int64_t>(0, m_wallMs + milliseconds(skew)));
}

bool SubmissionArchive::enterClaim(const Digest &digest, IncarnationId home)
{
    if (m_claims.find(digest) != nullptr) {
        return false;
    }
    // The claimant took the submission before now, by a clock up to maxSkew ahead, from a caller up to maxSkew ahead.
    m_claims.put(digest, Claim { home, m_latestWallMs + 2 * milliseconds(m_settings.maxSkew) });
    return true;
}

std::optional<IncarnationId> SubmissionArchive::claimedHome(const Digest &digest)
{
    const Claim *claim = m_claims.find(digest);
    return claim == nullptr ? std::nullopt : std::optional(claim->home);
}

void SubmissionArchive::extendEnded(const Digest &digest, std::uint64_t createdMs)
{
    EndedSubmission *ended = m_ended.find(digest);
    if (ended != nullptr) {
        ended->createdMs = std::max(ended->createdMs, static_cast<std::int64_t>(createdMs));
    }
}

void SubmissionArchive::enterEnded(const SubmissionRecord &record,
                                   const schema::SubmissionAnswer &answer,
                                   bool undecided,
                                   const ClockReading &clock)
{
    m_ended.put(record.digest,
                EndedSubmission { record.bodyDigest.low,
                                  static_cast<std::int64_t>(record.rememberedMs),
                                  answer.reason(),
                                  answer.certainty(),
                                  undecided });
    m_answers.drop(record.digest);
    m_answers.keep(
        record.digest,
        KeptAnswer { record.body.customer(), record.bodyDigest, clock.now, answer.SerializeAsString(), !undecided });
}

bool SubmissionArchive::conflictsWithEnded(const Digest &digest, const Digest &bodyDigest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    return ended != nullptr && ended->body != bodyDigest.low;
}

bool SubmissionArchive::isEndedAsHome(const Digest &digest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    return ended != nullptr && !ended->undecided;
}

std::optional<schema::SubmissionAnswer>
SubmissionArchive::recall(const Digest &digest, const std::string &key, const std::optional<Digest> &bodyDigest)
{
    const KeptAnswer *kept = m_answers.find(digest);
    if (kept != nullptr && (!bodyDigest || kept->body == *bodyDigest)) {
        return kept->message();
    }
    const EndedSubmission *ended = m_ended.find(digest);
    if (ended != nullptr && (!bodyDigest || ended->body == bodyDigest->low)) {
        return expiredAnswer(key, *ended);
    }
    return std::nullopt;
}

void SubmissionArchive::decideEndedHere(const Digest &digest)
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

std::optional<KeptAnswer> SubmissionArchive::decideEndedElsewhere(const Digest &digest)
{
    const EndedSubmission *ended = m_ended.find(digest);
    if (ended == nullptr || !ended->undecided) {
        return std::nullopt;
    }
    std::optional<KeptAnswer> cancelled;
    const KeptAnswer *kept = m_answers.find(digest);
    if (kept != nullptr && ended->reason == schema::FAILURE_REASON_CANCELLED) {
        cancelled = *kept;
    }
    m_ended.erase(digest);
    m_answers.drop(digest);
    return cancelled;
}

void SubmissionArchive::importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock)
{
    const Digest digest = submissionDigest(CustomerName(item.customer()), item.key());
    if (m_answers.find(digest) != nullptr) {
        return; // This instance's own answer may be to another body with the same key.
    }
    const Digest body { item.body_digest_high(), item.body_digest_low() };
    const auto keepMs = static_cast<std::uint64_t>(milliseconds(m_settings.answerRetention));
    const auto age = std::chrono::milliseconds(std::min(item.age_ms(), keepMs));
    m_answers.keep(digest,
                   KeptAnswer { item.customer(), body, clock.now - age, item.answer().SerializeAsString(), true });
}

std::vector<schema::KeptAnswers::Item> SubmissionArchive::cachedAnswers(Instant now) const
{
    return m_answers.items(now);
}

void SubmissionArchive::enterGone(IncarnationId incarnation)
{
    if (!m_gone.insert(incarnation).second) {
        return;
    }
    m_goneByAge.push_back(incarnation);
    if (m_goneByAge.size() > MaxGoneIncarnations) {
        m_gone.erase(m_goneByAge.front());
        m_goneByAge.pop_front();
    }
}

bool SubmissionArchive::isGone(IncarnationId incarnation) const
{
    return m_gone.contains(incarnation);
}

} // namespace Eelgrasscleat
