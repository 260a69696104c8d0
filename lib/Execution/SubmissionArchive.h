/// @file
/// Archive of the submissions that are not in progress here: ended submissions, claims, cached answers and ended homes.
/// Also determines the creation time after which this information is complete.
#pragma once

#include "AnswerCache.h"
#include "ArchivedSubmissions.h"
#include "SubmissionRecord.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace Eelgrasscleat
{

/// Archive of ended and claimed submissions. Ages are computed from the highest wall-clock reading, which never
/// decreases, so that a submission that may have been evicted remains too old.
class SubmissionArchive
{
public:
    explicit SubmissionArchive(const SubmissionTableSettings &settings);

    /// Updates the clock; must be called before any query that depends on age.
    void updateClock(const ClockReading &clock);

    /// @returns whether a submission created at that time may have been evicted.
    /// @param throughLog whether its home is determined by the log
    [[nodiscard]] bool isTooOld(std::uint64_t createdMs, bool throughLog) const;
    /// @returns whether @p createdMs is ahead of the last clock reading by more than @p skew.
    [[nodiscard]] bool isAhead(std::uint64_t createdMs, Duration skew) const;

    /// Adds a claim that has just been read, if it is the first one of its digest.
    /// @returns false if an earlier claim is known.
    bool addClaim(const Digest &digest, IncarnationId home);
    /// @returns the home determined by the log, or nothing if no claim has been read.
    [[nodiscard]] std::optional<IncarnationId> claimedHome(const Digest &digest);
    /// Extends the retention of an ended submission to cover a rejected body created at @p createdMs, so that the body
    /// remains rejected.
    void extendRetention(const Digest &digest, std::uint64_t createdMs);

    /// Adds a submission that ended here. @param undecided whether its home was still unknown
    void addEnded(const SubmissionRecord &record,
                  const schema::SubmissionAnswer &answer,
                  bool undecided,
                  const ClockReading &clock);
    /// @returns whether a submission with the same key and a different body ended here.
    [[nodiscard]] bool conflictsWithEnded(const Digest &digest, const Digest &bodyDigest);
    /// @returns whether a submission with that digest ended here while this incarnation was its home.
    [[nodiscard]] bool hasEndedAsHome(const Digest &digest);
    /// @returns the answer to a request for an ended submission, or nothing if none is known.
    /// @param bodyDigest digest of the body of a resubmission; nothing for a fetch or cancel
    [[nodiscard]] std::optional<schema::SubmissionAnswer>
    findAnswer(const Digest &digest, const std::string &key, const std::optional<Digest> &bodyDigest);
    /// Called when the claim read for a submission that ended undecided names this incarnation: it never ran.
    void resolveAsOwn(const Digest &digest);
    /// Called when the claim read for a submission that ended undecided names another incarnation. Removes the
    /// submission because only its home knows the answer.
    /// @returns the answer if the submission was cancelled; the cancellation then has to be forwarded to the home.
    std::optional<CachedAnswer> resolveAsForeign(const Digest &digest);

    /// Caches an answer transferred from a peer.
    void importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock);
    /// @returns the final answers that are cached.
    [[nodiscard]] std::vector<schema::KeptAnswers::Item> cachedAnswers(Instant now) const;

    /// Records that an incarnation has ended.
    void addEndedIncarnation(IncarnationId incarnation);
    /// @returns whether the incarnation is known to have ended.
    [[nodiscard]] bool isIncarnationEnded(IncarnationId incarnation) const;

private:
    SubmissionTableSettings m_settings;
    std::int64_t m_wallMs = 0; ///< Last reading, for detecting submissions from the future.
    std::int64_t m_latestWallMs = 0; ///< Highest reading, for computing ages.
    ClaimTable m_claims;
    EndedTable m_ended;
    AnswerCache m_answers;
    std::set<IncarnationId> m_endedIncarnations;
    std::deque<IncarnationId> m_endedByAge;
};

} // namespace Eelgrasscleat
