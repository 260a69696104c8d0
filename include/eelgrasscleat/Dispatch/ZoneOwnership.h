/// @file
/// Who owns the targets of an availability zone. One instance of the zone is the owner; the platform's group of the
/// zone decides, and its generation fences earlier owners at the targets. No clock, thread or socket inside.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>

#include <cstdint>
#include <optional>

namespace Eelgrasscleat
{

/// Time limits of the ownership of a zone.
struct OwnershipPolicy
{
    /// A member renews its membership this often: a quarter of its time to live.
    Duration renewInterval = std::chrono::milliseconds(300);
    /// Time to live of a membership. A dead owner's zone is free again after it.
    Duration timeToLive = std::chrono::milliseconds(1200);
    /// An instance joins when no owner was heard of for this long.
    Duration takeoverDelay = std::chrono::milliseconds(500);
    /// More of that delay for an instance with little processor time, so that others come first.
    Duration handicap {};
    /// A member that isn't owner leaves again when it has heard of another owner for this long.
    Duration standbyDelay = std::chrono::milliseconds(1000);
    /// Longest time that runs may go on after the platform wants the zone handed over.
    Duration handoverTime = std::chrono::milliseconds(1500);
    /// Pause after an owner that nobody in its zone hears has stepped down.
    Duration stepDownPause = std::chrono::seconds(3);
};

/// What an instance sees of its zone.
struct ZoneView
{
    bool ownerHeard = false; ///< Another instance of the zone says that it is the owner.
    bool peersKnown = false; ///< There are other instances in the zone.
    bool peersHeard = false; ///< At least one of them was heard from lately.
};

/// Answer of the platform to a renewal.
struct MembershipAnswer
{
    std::uint64_t generation = 0;
    bool holdsZone = false; ///< The zone is assigned to this member.
    bool isAlone = false; ///< No other member has part of the group.
};

/// What an instance is to do next.
enum class MembershipAction
{
    None,
    Renew, ///< Join the group, or renew the membership.
    Leave,
};

/// Keeps track of one instance's part in its zone.
class ZoneOwnership
{
public:
    explicit ZoneOwnership(const OwnershipPolicy &policy);

    /// @param view what is seen of the zone
    /// @param isIdle whether no run is at work on targets that are handed over
    /// @returns what to send now; each Renew or Leave is followed by its answer or answerLost().
    MembershipAction advance(const ZoneView &view, bool isIdle, Instant now);
    void renewed(const MembershipAnswer &answer, Instant now);
    void left();
    /// A target knows a higher token than @p token: the zone was given to another instance without notice.
    void fenced(FencingToken token, Instant now);
    /// The platform gave no answer, or refused.
    void answerLost(Instant now);
    /// Planned stop: the zone is given up as soon as it is idle.
    void stop();

    /// @returns the token under which the zone's targets may be used; nothing if this instance isn't the owner.
    [[nodiscard]] std::optional<FencingToken> token() const;
    /// @returns whether runs end and none may start, because the zone is being handed over.
    [[nodiscard]] bool isHandingOver() const;
    /// @returns the generation to name in the next renewal; an older one while runs have to end first.
    [[nodiscard]] std::uint64_t generationToName() const;
    [[nodiscard]] bool isMember() const
    {
        return m_member;
    }

private:
    [[nodiscard]] bool wantsToLeave(const ZoneView &view, bool isIdle, Instant now);

    OwnershipPolicy m_policy;
    bool m_member = false;
    bool m_inFlight = false;
    bool m_stopping = false;
    bool m_steppingDown = false;
    bool m_othersPresent = false;
    std::optional<FencingToken> m_token;
    std::uint64_t m_generation = 0;
    std::uint64_t m_pendingGeneration = 0; ///< Not 0: handing over since m_handoverAt.
    Instant m_handoverAt {};
    Instant m_nextRenewAt {};
    Instant m_ownerHeardAt {};
    Instant m_notBefore {};
    Instant m_isolatedSince {};
    Instant m_memberSince {}; ///< Without being owner.
    bool m_started = false;
    bool m_leaving = false; ///< A Leave is in flight.
};

} // namespace Eelgrasscleat
