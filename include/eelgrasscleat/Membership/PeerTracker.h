/// @file
/// Tracks the liveness, incarnations and reported state of the entry instances, based on heartbeats and the
/// "incarnations" stream. Uses no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>
#include <records.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// State of a peer as of its last heartbeat.
struct PeerState
{
    PeerId id;
    Instant lastHeard;
    std::uint64_t configVersion = 0;
    std::uint64_t configNextOffset = 0;
    bool leaving = false;
    bool platformReachable = false;
    Duration confirmedAge {}; ///< Time since the confirmation of the peer's own name, as of its last heartbeat.
};

/// Liveness of an incarnation.
enum class IncarnationStatus
{
    Unknown,
    Alive, ///< A heartbeat was received within the timeout.
    Unreachable, ///< No heartbeat was received within the timeout; it may still be alive.
    Ended, ///< It left cleanly, or its name was taken over and no heartbeat was received within the timeout since then.
};

/// Tracks the incarnations of all peers.
class PeerTracker
{
public:
    /// @param timeout time without a heartbeat after which a peer is considered unreachable
    PeerTracker(PeerId self, Duration timeout);

    /// Applies a received heartbeat. A heartbeat of a replaced incarnation only shows that it is still running.
    void applyHeartbeat(const PeerId &from, const schema::Heartbeat &heartbeat, Instant now);
    /// Applies a record of the "incarnations" stream; must be called in log order.
    void applyIncarnationRecord(const schema::IncarnationRecord &record, Instant now);

    /// @returns the liveness of an incarnation.
    [[nodiscard]] IncarnationStatus statusOf(IncarnationId incarnation, Instant now) const;
    /// @returns whether the incarnation may have just started: it is not known to have left or been replaced, and no
    /// heartbeat of it has been received yet.
    [[nodiscard]] bool awaitsFirstHeartbeat(IncarnationId incarnation) const;
    /// @returns the peers that are alive, only the newest incarnation of each name.
    [[nodiscard]] std::vector<PeerState> alivePeers(Instant now) const;
    /// @returns whether this instance may confirm that @p peer still holds its name: the newest JOINED record read for
    /// that name is the peer's, or none has been read, and no heartbeat of another incarnation of that name without a
    /// JOINED record was received within the timeout.
    [[nodiscard]] bool mayConfirm(const PeerId &peer, Instant now) const;
    /// @returns the incarnation that replaced @p peer according to the stream, to be reported to the peer.
    [[nodiscard]] std::optional<IncarnationId> replacementOf(const PeerId &peer) const;
    /// @returns the newest known incarnation of a name. An incarnation whose JOINED record has not been read is ordered
    /// by when it was first heard of.
    [[nodiscard]] std::optional<PeerId> currentPeer(const InstanceName &name) const;
    /// @returns the name of an incarnation, or nothing if the incarnation is unknown.
    [[nodiscard]] std::optional<InstanceName> nameOf(IncarnationId incarnation) const;

private:
    struct IncarnationInfo
    {
        InstanceName name;
        PeerState state; ///< As of its last heartbeat.
        bool hasHeartbeat = false; ///< A heartbeat has been received.
        bool hasLeft = false; ///< Its LEFT record has been read.
        bool hasJoined = false; ///< Its JOINED record has been read.
        std::uint64_t order = 0; ///< Position of its JOINED record, or of when it was first heard of if none was read.
        std::optional<Instant> replacedAt; ///< When a newer JOINED record of its name was read.
    };

    IncarnationInfo &findOrAdd(IncarnationId incarnation, const InstanceName &name);
    void evictOldest();
    [[nodiscard]] bool isWithinTimeout(const IncarnationInfo &info, Instant now) const;

    PeerId m_self;
    Duration m_timeout;
    std::uint64_t m_nextOrder = 1;
    std::map<InstanceName, IncarnationId> m_holders; ///< Incarnation with the newest JOINED record of each name.
    std::map<IncarnationId, IncarnationInfo> m_incarnations;
    std::deque<IncarnationId> m_insertionOrder; ///< Oldest first.
};

} // namespace Eelgrasscleat
