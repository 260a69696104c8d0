/// @file
/// What this instance knows of submissions that it does not run now: ended ones, claims, kept answers, ended homes;
/// and from which creation time on that knowledge is complete.
#pragma once

#include "AnswerCache.h"
#include "RememberedSubmissions.h"
#include "SubmissionRecord.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace Eelgrasscleat
{

/// The archive. Its idea of the wall time never runs back, so that what was forgotten stays too old.
class SubmissionArchive
{
public:
    explicit SubmissionArchive(const SubmissionTableSettings &settings);

    /// Takes note of the time; to be called before any question about age.
    void observe(const ClockReading &clock);

    /// @returns whether a submission of that age may have been forgotten.
    /// @param throughLog whether its home is decided through the log
    [[nodiscard]] bool isTooOld(std::uint64_t createdMs, bool throughLog) const;
    /// @returns whether @p createdMs is ahead of the last clock reading by more than @p skew.
    [[nodiscard]] bool isAhead(std::uint64_t createdMs, Duration skew) const;

    /// Enters the first claim of a digest, as read now. @returns false if an earlier claim is known.
    bool enterClaim(const Digest &digest, IncarnationId home);
    /// @returns the home that the log names, or nothing if no claim was read.
    [[nodiscard]] std::optional<IncarnationId> claimedHome(const Digest &digest);
    /// Remembers an ended submission for a refused body of that creation time too, so that the body stays refused.
    void extendEnded(const Digest &digest, std::uint64_t createdMs);

    /// Enters a submission that ended here. @param undecided its home was not known yet
    void enterEnded(const SubmissionRecord &record,
                    const schema::SubmissionAnswer &answer,
                    bool undecided,
                    const ClockReading &clock);
    /// @returns whether a submission with the same key and another body ended here.
    [[nodiscard]] bool conflictsWithEnded(const Digest &digest, const Digest &bodyDigest);
    /// @returns whether a submission of that digest ended here with this incarnation as its home.
    [[nodiscard]] bool isEndedAsHome(const Digest &digest);
    /// @returns the answer to a request about an ended submission, or nothing if none is known.
    /// @param bodyDigest body of a resubmission; nothing for a fetch or cancel
    [[nodiscard]] std::optional<schema::SubmissionAnswer>
    recall(const Digest &digest, const std::string &key, const std::optional<Digest> &bodyDigest);
    /// A submission that ended before its claim was read turns out to belong to this incarnation: it never ran.
    void decideEndedHere(const Digest &digest);
    /// The same, but another incarnation is the home: only that one knows the answer.
    /// @returns the answer if it was a cancel, which then has to be passed on to the home.
    std::optional<KeptAnswer> decideEndedElsewhere(const Digest &digest);

    /// Keeps an answer handed over by a peer.
    void importAnswer(const schema::KeptAnswers::Item &item, const ClockReading &clock);
    /// @returns the final answers that are kept.
    [[nodiscard]] std::vector<schema::KeptAnswers::Item> cachedAnswers(Instant now) const;

    /// Takes note that an incarnation has ended.
    void enterGone(IncarnationId incarnation);
    /// @returns whether the incarnation is known to have ended.
    [[nodiscard]] bool isGone(IncarnationId incarnation) const;

private:
    SubmissionTableSettings m_settings;
    std::int64_t m_wallMs = 0; ///< Last reading, for submissions from the future.
    std::int64_t m_latestWallMs = 0; ///< Highest reading, for ages.
    ClaimTable m_claims;
    EndedTable m_ended;
    AnswerCache m_answers;
    std::set<IncarnationId> m_gone;
    std::deque<IncarnationId> m_goneByAge;
};

} // namespace Eelgrasscleat
