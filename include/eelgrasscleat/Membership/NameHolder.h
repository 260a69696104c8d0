/// @file
/// Decides when this incarnation may use the resource bound to its instance name: the base share of every limit. A
/// state machine that uses no clock, thread or socket.
///
/// The "incarnations" stream determines the holder of each name: the incarnation with the newest JOINED record. A new
/// holder waits until its predecessor can no longer use the share. A holder must be confirmed periodically and stops
/// using the share as soon as its confirmation expires, so that a process that was frozen and replaced never uses the
/// share after it resumes.
///
/// Peers confirm each other, so that an availability zone that is partitioned from the platform can keep using its base
/// shares. This is safe under one assumption: any process that can exchange messages with a holder's peer would also
/// hear of the holder's successor there, because partitions occur only between zones and between a zone and the
/// platform. A successor sends heartbeats from its start, and a peer that has received one no longer confirms the
/// predecessor (PeerTracker::mayConfirm()). After a freeze, only replies to messages sent after the process resumed
/// count, and only from peers that are confirmed themselves, so that instances frozen at the same time can't confirm
/// each other.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <records.pb.h>

#include <optional>
#include <set>

namespace Eelgrasscleat
{

/// Timing parameters shared by all holders of a name.
struct NameHolderTimes
{
    Duration confirmationTimeout {}; ///< A holder whose last confirmation is older stops using the share.
    Duration freezeThreshold {}; ///< A longer gap between two steps is a freeze; the holder must be confirmed again.
    /// Additional wait of a successor that covers different clock rates and the time until its first heartbeats have
    /// reached all peers; at least two heartbeat intervals.
    Duration successionMargin {};
    Duration maxRunTime {}; ///< Longest time that work started by a predecessor can continue.
};

/// State of an incarnation with respect to its name.
enum class NameState
{
    Unregistered, ///< Its JOINED record has not been read back yet.
    Waiting, ///< It is registered, but a predecessor may still be using the share.
    Held, ///< It may use the share.
    Unconfirmed, ///< It must not use the share until it is confirmed again.
    Replaced, ///< A newer incarnation holds the name; this state is final.
};

/// Tracks whether this incarnation holds its name.
class NameHolder
{
public:
    NameHolder(PeerId self, const NameHolderTimes &times);

    /// Notes that the "incarnations" stream was read from its first record, so that no predecessor's record can have
    /// expired. Until then a predecessor is assumed to exist.
    void setStreamStartRead();
    /// Notes that records of the stream expired before they were read. They may have included a newer holder's record,
    /// so a registered incarnation becomes Replaced. This happens only if the process was frozen or partitioned for the
    /// log's whole retention while others appended.
    void handleMissedRecords();
    /// Applies a record of the "incarnations" stream; must be called in log order. Only the first JOINED record of an
    /// incarnation counts, a repeated append has no effect. @param now when the record was read
    void applyIncarnationRecord(const schema::IncarnationRecord &record, Instant now);
    /// Confirms the name by a read sent at @p readSentAt that reached the end of the stream: no newer holder existed
    /// then.
    void confirmByLog(Instant readSentAt, Instant now);
    /// Confirms the name by a peer that echoed a heartbeat sent at @p sentAt and knows of no newer holder. Ignored
    /// unless the peer is confirmed itself. @param peerConfirmedAge time since the peer's own confirmation, as reported
    /// by the peer
    void confirmByPeer(Instant sentAt, Duration peerConfirmedAge, Instant now);
    /// Handles a peer's report that @p newer holds this name.
    void handleReplacement(IncarnationId newer);
    /// Updates and returns the state at @p now. Call it at intervals of at most a tenth of the freeze threshold.
    NameState step(Instant now);

    /// @returns the time since the name was last confirmed, or Duration::max() if it is not confirmed.
    [[nodiscard]] Duration confirmedAge(Instant now) const;
    /// @returns this incarnation.
    [[nodiscard]] const PeerId &self() const;
    /// @returns whether no earlier holder can still be using the share. Only then may this incarnation append its LEFT
    /// record, because that record lets a successor use the share at once.
    [[nodiscard]] bool havePredecessorsEnded(Instant now) const;

private:
    void detectFreeze(Instant now);
    void confirm(Instant sentAt);

    PeerId m_self;
    NameHolderTimes m_times;
    std::set<IncarnationId> m_joined; ///< Incarnations of this name whose JOINED record has been read.
    std::optional<IncarnationId> m_predecessor;
    bool m_predecessorLeft = false;
    bool m_streamStartRead = false;
    bool m_registered = false;
    bool m_replaced = false;
    Instant m_usableFrom;
    std::optional<Instant> m_confirmedAt;
    std::optional<Instant> m_resumedAt; ///< End of the last freeze.
    std::optional<Instant> m_lastStep;
};

} // namespace Eelgrasscleat
