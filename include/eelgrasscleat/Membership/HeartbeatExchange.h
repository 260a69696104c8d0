/// @file
/// Confirmation of instance names through heartbeats. A state machine that uses no clock, thread or socket.
///
/// Heartbeats are one-way messages, and one that was buffered in a socket while its receiver was frozen looks recent.
/// Each heartbeat therefore carries a sequence number and echoes the highest sequence number received from the other
/// side. Only the echo of a heartbeat that was sent after the receiver resumed counts as a confirmation.
#pragma once

#include <eelgrasscleat/Membership/NameHolder.h>
#include <eelgrasscleat/Membership/PeerTracker.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Eelgrasscleat
{

/// Fills in and evaluates the confirmation fields of heartbeats.
class HeartbeatExchange
{
public:
    /// Both arguments are stored by reference and must outlive this object.
    HeartbeatExchange(NameHolder &holder, PeerTracker &peers);

    /// Starts a new round of heartbeats. Call it once per heartbeat interval.
    void startRound(Instant now);
    /// Fills in the sequence, echo, holder and age fields of this round's heartbeat to @p peer. The message's
    /// to_incarnation must equal the peer's incarnation. Until that is known, both are none and the heartbeat confirms
    /// nothing.
    void fill(schema::Heartbeat &heartbeat, const PeerId &peer, Instant now) const;
    /// Handles a received heartbeat: updates the peer tracker and, if the heartbeat was sent to this incarnation, the
    /// name holder.
    /// @param to the message's to_incarnation; may be an earlier incarnation that had the same address
    void handleHeartbeat(const PeerId &from, IncarnationId to, const schema::Heartbeat &heartbeat, Instant now);

private:
    /// Highest sequence number received from the newest incarnation heard of under a name.
    struct Echo
    {
        IncarnationId incarnation;
        std::uint64_t sequence = 0;
    };

    /// @returns when the round with this sequence number was sent, or nothing if it is no longer stored.
    [[nodiscard]] std::optional<Instant> roundSentAt(std::uint64_t sequence) const;

    NameHolder &m_holder;
    PeerTracker &m_peers;
    std::uint64_t m_sequence = 0;
    std::deque<Instant> m_roundTimes; ///< Send times of the latest rounds; the last one belongs to m_sequence.
    std::map<InstanceName, Echo> m_echoes; ///< Keyed by the sender's name.
};

} // namespace Eelgrasscleat
