/// @file
/// State machine of an instance's membership in the group of its zone.
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

namespace Eelgrasscleat
{

namespace
{

/// An owner that hears nobody of its zone for this long is cut off from it.
constexpr Duration kIsolation = std::chrono::milliseconds(800);

} // namespace

ZoneOwnership::ZoneOwnership(const OwnershipPolicy &policy)
    : m_policy(policy)
{
}

std::optional<FencingToken> ZoneOwnership::token() const
{
    return m_token;
}

bool ZoneOwnership::isHandingOver() const
{
    return m_token && (m_pendingGeneration != 0 || m_steppingDown || m_stopping);
}

std::uint64_t ZoneOwnership::generationToName() const
{
    return m_generation;
}

void ZoneOwnership::stop()
{
    m_stopping = true;
}

bool ZoneOwnership::wantsToLeave(const ZoneView &view, bool isIdle, Instant now)
{
    if (m_token) {
        if (view.peersHeard || !view.peersKnown) {
            m_isolatedSince = now;
        }
        // Another member is alive and this instance can't hear it: the others are better served by that one.
        if (m_othersPresent && now - m_isolatedSince > kIsolation && !m_steppingDown) {
            m_steppingDown = true;
            m_handoverAt = now;
        }
        const bool over = m_steppingDown && now - m_handoverAt >= m_policy.handoverTime;
        return (m_stopping || m_steppingDown) && (isIdle || over);
    }
    return m_stopping || (view.ownerHeard && now - m_memberSince > m_policy.standbyDelay);
}

MembershipAction ZoneOwnership::advance(const ZoneView &view, bool isIdle, Instant now)
{
    if (!m_started) {
        m_started = true;
        m_ownerHeardAt = now;
        m_isolatedSince = now;
    }
    if (view.ownerHeard) {
        m_ownerHeardAt = now;
    }
    if (m_inFlight) {
        return MembershipAction::None;
    }
    if (!m_member) {
        const bool orphaned = now - m_ownerHeardAt >= m_policy.takeoverDelay + m_policy.handicap;
        if (m_stopping || !orphaned || now < m_notBefore) {
            return MembershipAction::None;
        }
        m_member = true;
        m_memberSince = now;
        m_inFlight = true;
        m_generation = 0;
        return MembershipAction::Renew;
    }
    if (wantsToLeave(view, isIdle, now)) {
        m_inFlight = true;
        m_leaving = true;
        m_token.reset();
        m_pendingGeneration = 0;
        if (m_steppingDown) {
            m_notBefore = now + m_policy.stepDownPause;
        }
        m_steppingDown = false;
        return MembershipAction::Leave;
    }
    if (m_pendingGeneration != 0 && (isIdle || now - m_handoverAt >= m_policy.handoverTime)) {
        m_generation = m_pendingGeneration;
        m_pendingGeneration = 0;
        m_token.reset();
        m_memberSince = now;
        m_nextRenewAt = now;
    }
    if (now < m_nextRenewAt) {
        return MembershipAction::None;
    }
    m_inFlight = true;
    return MembershipAction::Renew;
}

void ZoneOwnership::renewed(const MembershipAnswer &answer, Instant now)
{
    m_inFlight = false;
    m_nextRenewAt = now + m_policy.renewInterval;
    m_othersPresent = !answer.isAlone;
    if (answer.holdsZone) {
        m_pendingGeneration = 0;
        m_generation = answer.generation;
        if (!m_token) {
            m_token = FencingToken(answer.generation);
            m_isolatedSince = now;
        }
        return;
    }
    if (!m_token) {
        m_generation = answer.generation;
        return;
    }
    if (m_pendingGeneration == 0) {
        m_handoverAt = now;
    }
    m_pendingGeneration = answer.generation;
}

void ZoneOwnership::left()
{
    m_inFlight = false;
    m_leaving = false;
    m_member = false;
    m_othersPresent = false;
}

void ZoneOwnership::fenced(FencingToken token, Instant now)
{
    if (!m_token || m_token->value > token.value) {
        return;
    }
    // If the group still assigns the zone to this member, the next answer brings a newer generation.
    m_token.reset();
    m_pendingGeneration = 0;
    m_memberSince = now;
    m_nextRenewAt = now;
}

void ZoneOwnership::answerLost(Instant now)
{
    m_inFlight = false;
    m_nextRenewAt = now + m_policy.renewInterval;
    if (m_leaving) {
        left(); // The membership ends with its time to live.
    }
}

} // namespace Eelgrasscleat
