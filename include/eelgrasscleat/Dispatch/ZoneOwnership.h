/// @file
/// Decides which targets of an availability zone this instance owns. The zone's targets are partitioned into shards.
/// The platform's group of the zone assigns the shards to its members, and the group's generation serves as the fencing
/// token against earlier owners. The number of members is kept as small as the number of targets allows, since a job
/// can only be placed on the targets of a single owner. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/InstanceCapacity.h>
#include <eelgrasscleat/Dispatch/JobTypes.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>

namespace Eelgrasscleat
{

/// Number of a shard, a partition of a zone's targets.
using ShardNumber = std::uint32_t;

/// @returns the shard of a target if there are @p shards shards.
ShardNumber shardOf(const TargetName &target, std::uint32_t shards);

/// Time limits and thresholds of the ownership of a zone.
struct OwnershipPolicy
{
    /// Interval between renewals of a membership: a quarter of its time to live.
    Duration renewInterval = std::chrono::milliseconds(250);
    /// Renewal interval of a member without shards: it learns of its first shard only from the response to a renewal.
    Duration pendingRenewInterval = std::chrono::milliseconds(100);
    /// Time to live of a membership: the shortest that the platform accepts. The shards of a dead owner are reassigned
    /// after it.
    Duration timeToLive = std::chrono::milliseconds(1000);
    /// An instance joins after this long without contact to any owner, if not all of its zone's instances are
    /// reachable: an unreachable one may be the owner.
    Duration takeoverDelay = std::chrono::milliseconds(500);
    /// Added to takeoverDelay while as many reachable candidates as the zone needs owners precede this instance: they
    /// take over themselves, unless they reach an owner that this instance doesn't.
    Duration rankedTakeoverDelay = std::chrono::milliseconds(500);
    /// Added to takeoverDelay if ZoneView::takesOverLate is set: two takeovers.
    Duration extraTakeoverDelay = std::chrono::milliseconds(1500);
    /// When the owners have had more targets each than planned for this long, the first instances in the order of
    /// owners join, as many as are needed. Covers two status messages from each owner.
    Duration scaleOutDelay = std::chrono::milliseconds(200);
    /// After this long the other instances join, too: the preceding ones may not see the overload. Above the time that
    /// a preceding one needs to join, with the handover of its shards.
    Duration fallbackScaleOutDelay = std::chrono::milliseconds(4000);
    /// Delay of the first renewal after shards were assigned: other members that join at the same time change the
    /// assignment at once, while there is nothing to hand over yet.
    Duration firstRenewDelay = std::chrono::milliseconds(50);
    /// The last owners in the order of owners step down when the preceding ones have had capacity for all targets for
    /// this long.
    Duration scaleInDelay = std::chrono::milliseconds(2000);
    /// A member without shards leaves after this long if there is an owner.
    Duration idleMemberTimeout = std::chrono::milliseconds(1000);
    /// Maximum time for runs to end once the platform has asked for a shard to be handed over.
    Duration handoverTime = std::chrono::milliseconds(1500);
    /// Time for which an instance doesn't rejoin after it has stepped down.
    Duration rejoinDelay = std::chrono::seconds(3);
};

/// An instance's view of its zone.
struct ZoneView
{
    std::size_t otherOwners = 0; ///< Other reachable instances of the zone that report that they own targets.
    std::size_t ownedTargets = 0; ///< Targets owned by these and by this instance.
    std::size_t precedingOwners = 0; ///< Those of them that precede this instance in the order of owners.
    bool hasPeers = false; ///< There are other instances in the zone.
    bool hasReachablePeers = false; ///< At least one of those with which this instance holds sessions is reachable.
    bool allPeersReachable = false; ///< All instances that take over before others are reachable.
    std::size_t precedingCandidates = 0; ///< Reachable candidates that precede this instance in the order of owners.
    bool isSettled = true; ///< The list of the zone's instances has not grown lately, so that it is probably complete.
    bool takesOverLate = false; ///< Other instances of the zone take over first.
    std::size_t listedOwners = 0; ///< Owners that others list but with which this instance has no session.
    std::size_t targetsPerOwner = kMaxTargetsPerOwner; ///< What the weakest owner can carry.
    std::size_t usefulOwners = SIZE_MAX; ///< With more owners, the weakest ones would limit the others.
    std::size_t weakOwners = 0; ///< Other reachable owners that can't carry targetsPerOwner.
    std::size_t strongPrecedingOwners = 0; ///< Those of precedingOwners that can.
    bool isWeak = false; ///< This instance can't carry targetsPerOwner either.
};

/// The platform's response to a renewal.
struct MembershipAnswer
{
    std::uint64_t generation = 0;
    std::set<ShardNumber> shards; ///< Assigned to this member.
    bool isSoleOwner = false; ///< No other member has a shard.
};

/// The next request to the platform's group.
enum class MembershipAction
{
    None,
    Renew, ///< Join the group, or renew the membership.
    Leave,
};

/// State machine of one instance's membership in the group of its zone.
class ZoneOwnership
{
public:
    explicit ZoneOwnership(const OwnershipPolicy &policy);

    /// The first request is a Leave that ends the membership of this instance's earlier life.
    /// @param view current view of the zone
    /// @param isIdle whether no run is active on the targets being handed over
    /// @returns the request to send now. Each Renew must be followed by renewed() or requestFailed(), each Leave by
    /// left() or requestFailed().
    MembershipAction advance(const ZoneView &view, bool isIdle, Instant now);
    void renewed(const MembershipAnswer &answer, Instant now);
    void left();
    /// A target has seen a token higher than @p token: its shard was reassigned without a handover.
    void fenced(FencingToken token, Instant now);
    /// The platform did not respond, or refused the request.
    void requestFailed(Instant now);
    /// Planned shutdown: releases all shards as soon as their targets are idle.
    void stop();

    /// @returns the owned shards, each with the fencing token for commands to its targets.
    [[nodiscard]] const std::map<ShardNumber, FencingToken> &shards() const
    {
        return m_shards;
    }
    /// @returns whether no run may start on the shard's targets because it is being handed over.
    [[nodiscard]] bool isHandingOver(ShardNumber shard) const;
    /// @returns the generation to report in the next renewal; not the latest one while runs still have to end before a
    /// handover.
    [[nodiscard]] std::uint64_t generationToReport() const
    {
        return m_generation;
    }
    [[nodiscard]] bool isMember() const
    {
        return m_member;
    }
    /// @returns whether the zone's targets should be counted now, because this instance may have to join and their
    /// number decides how many instances do.
    [[nodiscard]] bool wantsTargetCount(const ZoneView &view, Instant now) const;
    /// @returns whether this instance, which owns nothing, would join if its zone needed an owner and no other
    /// candidate preceded it, or has joined and waits for its first shard: until then it is neither an owner nor gone.
    [[nodiscard]] bool isCandidate(Instant now) const;

private:
    [[nodiscard]] bool wantsToJoin(const ZoneView &view, Instant now);
    [[nodiscard]] static std::size_t capableOwners(const ZoneView &view);
    void checkSurplus(const ZoneView &view, Instant now);
    [[nodiscard]] bool wantsToLeave(const ZoneView &view, bool isIdle, bool wasSteppingDown, Instant now);
    void finishHandover(Instant now);

    OwnershipPolicy m_policy;
    std::map<ShardNumber, FencingToken> m_shards;
    std::set<ShardNumber> m_revokedShards; ///< Assigned to another member; being handed over since m_handoverAt.
    std::uint64_t m_generation = 0;
    std::uint64_t m_pendingGeneration = 0; ///< Reported once the revoked shards are released.
    Instant m_handoverAt {};
    Instant m_nextRenewAt {};
    Instant m_ownerSeenAt {}; ///< When another owner was last reachable.
    Instant m_enoughOwnersAt {}; ///< When there last were enough owners for the targets.
    Instant m_neededAt {}; ///< When this instance was last needed as an owner.
    Instant m_rejoinAt {}; ///< No join before this time.
    Instant m_isolatedSince {};
    Instant m_withoutShardsSince {};
    bool m_member = false;
    bool m_inFlight = false;
    bool m_leaving = false; ///< A Leave is in flight.
    bool m_stopping = false;
    bool m_steppingDown = false;
    bool m_hasOtherOwners = false; ///< According to the platform.
    bool m_started = false;
};

} // namespace Eelgrasscleat
