/// @file
/// State machine of an instance's membership in the group of its zone.
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

namespace
{

/// An owner that can't reach any peer in its zone for this long is considered isolated.
constexpr Duration kIsolationTimeout = std::chrono::milliseconds(800);
/// An owner steps down only if the others then own at most this share of ZoneView::targetsPerOwner. The hysteresis
/// keeps it from being needed again at once.
constexpr double kScaleInFillLimit = 0.75;
/// The same for an owner that can't carry its part, which is better replaced by fuller ones. The rest keeps it from
/// being needed again when a few targets come and go.
constexpr double kReplacedFillLimit = 0.95;

/// @returns the number of owners that the zone's targets need.
std::size_t neededOwners(const ZoneView &view)
{
    const std::size_t needed = (view.ownedTargets + view.targetsPerOwner - 1) / view.targetsPerOwner;
    return std::min(needed, view.usefulOwners);
}

} // namespace

ShardNumber shardOf(const TargetName &target, std::uint32_t shards)
{
    // FNV-1a: all instances and builds must agree on the hash, which std::hash doesn't guarantee.
    constexpr std::uint32_t kOffsetBasis = 2166136261U;
    constexpr std::uint32_t kPrime = 16777619U;
    std::uint32_t hash = kOffsetBasis;
    for (const char it : target.value) {
        hash = (hash ^ static_cast<unsigned char>(it)) * kPrime;
    }
    return hash % shards;
}

ZoneOwnership::ZoneOwnership(const OwnershipPolicy &policy)
    : m_policy(policy)
{
}

bool ZoneOwnership::isHandingOver(ShardNumber shard) const
{
    return m_stopping || m_steppingDown || m_revokedShards.count(shard) > 0;
}

bool ZoneOwnership::isCandidate(Instant now) const
{
    return !m_stopping && m_shards.empty() && now >= m_rejoinAt;
}

bool ZoneOwnership::wantsTargetCount(const ZoneView &view, Instant now) const
{
    return m_member || (isCandidate(now) && !view.takesOverLate && view.hasPeers && view.otherOwners == 0);
}

void ZoneOwnership::stop()
{
    m_stopping = true;
}

/// @returns the number of other owners that need no replacement by this instance. A weak instance replaces none.
std::size_t ZoneOwnership::capableOwners(const ZoneView &view)
{
    assert(view.weakOwners <= view.otherOwners && "weak owners are some of the others");
    return view.isWeak ? view.otherOwners : view.otherOwners - view.weakOwners;
}

bool ZoneOwnership::wantsToJoin(const ZoneView &view, Instant now)
{
    if (m_stopping || now < m_rejoinAt || !view.isSettled) {
        return false;
    }
    if (isCandidate(now) && view.otherOwners == 0 && view.hasPeers && view.allPeersReachable
        && view.precedingCandidates < std::max<std::size_t>(1, neededOwners(view))) {
        return true;
    }
    const bool isOutranked = view.precedingCandidates >= std::max<std::size_t>(1, neededOwners(view));
    const Duration extraDelay = view.takesOverLate ? m_policy.extraTakeoverDelay
        : isOutranked                              ? m_policy.rankedTakeoverDelay
                                                   : Duration::zero();
    if (now - m_ownerSeenAt >= m_policy.takeoverDelay + extraDelay) {
        return true;
    }
    if (view.otherOwners == 0) {
        return false;
    }
    const bool isNeeded = capableOwners(view) + view.listedOwners + view.precedingCandidates < neededOwners(view);
    return now - m_enoughOwnersAt >= (isNeeded ? m_policy.scaleOutDelay : m_policy.fallbackScaleOutDelay);
}

/// Several instances may have taken over at the same time. All owners that the targets don't need step down together,
/// since each change of the members moves shards. A weak one, which took over while stronger ones were away, steps down
/// as soon as these carry all targets.
void ZoneOwnership::checkSurplus(const ZoneView &view, Instant now)
{
    const std::size_t owners = view.isWeak ? view.strongPrecedingOwners : view.precedingOwners;
    const auto capacity = static_cast<double>(owners * view.targetsPerOwner);
    const double fillLimit = view.isWeak ? kReplacedFillLimit : kScaleInFillLimit;
    const bool isSurplus =
        !m_shards.empty() && view.otherOwners > 0 && static_cast<double>(view.ownedTargets) <= capacity * fillLimit;
    if (!isSurplus) {
        m_neededAt = now;
    } else if (now - m_neededAt >= m_policy.scaleInDelay && !m_steppingDown) {
        m_steppingDown = true;
        m_handoverAt = now;
    }
}

/// @param wasSteppingDown whether the owner was already stepping down when @p isIdle was determined; @p isIdle covers
/// its targets only then
bool ZoneOwnership::wantsToLeave(const ZoneView &view, bool isIdle, bool wasSteppingDown, Instant now)
{
    if (m_shards.empty()) {
        return m_stopping || (view.otherOwners > 0 && now - m_withoutShardsSince > m_policy.idleMemberTimeout);
    }
    if (view.hasReachablePeers || !view.hasPeers) {
        m_isolatedSince = now;
    }
    // Another member is alive but unreachable from here: it is the better owner for the other instances.
    if (m_hasOtherOwners && now - m_isolatedSince > kIsolationTimeout && !m_steppingDown) {
        m_steppingDown = true;
        m_handoverAt = now;
    }
    const bool isTimeUp = m_steppingDown && now - m_handoverAt >= m_policy.handoverTime;
    return (m_stopping || wasSteppingDown) && (isIdle || isTimeUp);
}

void ZoneOwnership::finishHandover(Instant now)
{
    for (const ShardNumber it : m_revokedShards) {
        m_shards.erase(it);
    }
    m_revokedShards.clear();
    m_generation = m_pendingGeneration;
    m_withoutShardsSince = now;
    m_nextRenewAt = now;
}

MembershipAction ZoneOwnership::advance(const ZoneView &view, bool isIdle, Instant now)
{
    if (!m_started) {
        m_started = true;
        m_ownerSeenAt = now;
        m_isolatedSince = now;
        m_enoughOwnersAt = now;
        m_neededAt = now;
        // A killed process leaves a membership behind, whose shards nobody gets before it expires.
        m_inFlight = true;
        m_leaving = true;
        return MembershipAction::Leave;
    }
    if (view.otherOwners > 0 || !view.isSettled) {
        m_ownerSeenAt = now;
    }
    const std::size_t owners = view.otherOwners + (m_shards.empty() ? 0 : 1);
    const std::size_t capable = capableOwners(view) + (m_shards.empty() ? 0 : 1);
    if (capable + view.listedOwners >= neededOwners(view)) {
        m_enoughOwnersAt = now;
    }
    const bool wasSteppingDown = m_steppingDown;
    if (owners > 0) {
        checkSurplus(view, now);
    }
    if (m_inFlight) {
        return MembershipAction::None;
    }
    if (!m_member) {
        if (!wantsToJoin(view, now)) {
            return MembershipAction::None;
        }
        m_member = true;
        m_withoutShardsSince = now;
        m_inFlight = true;
        m_generation = 0;
        return MembershipAction::Renew;
    }
    if (wantsToLeave(view, isIdle, wasSteppingDown, now)) {
        m_inFlight = true;
        m_leaving = true;
        m_shards.clear();
        m_revokedShards.clear();
        if (m_steppingDown) {
            m_rejoinAt = now + m_policy.rejoinDelay;
        }
        m_steppingDown = false;
        return MembershipAction::Leave;
    }
    if (!m_revokedShards.empty() && (isIdle || now - m_handoverAt >= m_policy.handoverTime)) {
        finishHandover(now);
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
    const bool isWaiting = m_shards.empty() && answer.shards.empty();
    const bool isFirst = m_shards.empty() && !answer.shards.empty();
    m_nextRenewAt = now
        + (isFirst         ? m_policy.firstRenewDelay
               : isWaiting ? m_policy.pendingRenewInterval
                           : m_policy.renewInterval);
    m_hasOtherOwners = !answer.isSoleOwner;
    if (m_shards.empty()) {
        m_isolatedSince = now;
    }
    for (const ShardNumber it : answer.shards) {
        m_revokedShards.erase(it);
        m_shards.emplace(it, FencingToken(answer.generation));
    }
    const bool wasHandingOver = !m_revokedShards.empty();
    for (const auto &it : m_shards) {
        if (answer.shards.count(it.first) == 0) {
            m_revokedShards.insert(it.first);
        }
    }
    m_pendingGeneration = answer.generation;
    if (m_revokedShards.empty()) {
        m_generation = answer.generation;
    } else if (!wasHandingOver) {
        m_handoverAt = now;
    }
}

void ZoneOwnership::left()
{
    m_inFlight = false;
    m_leaving = false;
    m_member = false;
    m_hasOtherOwners = false;
}

void ZoneOwnership::fenced(FencingToken token, Instant now)
{
    // If the group still assigns a shard to this member, the next renewal restores it under a newer generation.
    std::erase_if(m_shards, [token](const auto &it) { return it.second <= token; });
    std::erase_if(m_revokedShards, [this](ShardNumber it) { return m_shards.count(it) == 0; });
    m_withoutShardsSince = now;
    m_nextRenewAt = now;
}

void ZoneOwnership::requestFailed(Instant now)
{
    m_inFlight = false;
    m_nextRenewAt = now + m_policy.renewInterval;
    if (m_leaving) {
        left(); // The membership expires after its time to live.
    }
}

} // namespace Eelgrasscleat
