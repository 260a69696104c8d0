/// @file
/// Keeps an owner's list of targets up to date while the platform's store turns the owner away: decides when a peer is
/// asked to read the list, and which one. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Time limits of a TargetListRefresh.
struct TargetListPolicy
{
    /// The list is out of date if it was not read in full for longer: somewhat more than a read waits for a record. A
    /// capacity that has shrunk must be known within 3 s of the target's announcement.
    Duration maxAge = std::chrono::seconds(2);
    /// Interval at which a peer reads the list for an owner that can't.
    Duration refreshInterval = std::chrono::seconds(1);
    /// Time for the answer of a peer; then another one is asked.
    Duration answerTimeout = std::chrono::milliseconds(600);
};

/// The age of the list, and the requests to peers. Peers that can't read the list either refuse at once.
class TargetListRefresh
{
public:
    explicit TargetListRefresh(const TargetListPolicy &policy = {})
        : m_policy(policy)
    {
    }

    /// The store has returned all entries as of @p when, or the list isn't needed yet. Ends the requests to peers.
    void confirmed(Instant when);
    /// @param peers peers that can be asked, in the order of their names
    /// @returns the peer to which a request is to be sent now.
    std::optional<InstanceName> advance(const std::vector<InstanceName> &peers, Instant now);
    /// The peer has returned the list.
    /// @returns whether it was asked; other lists may be old.
    bool answered(const InstanceName &peer);
    /// The peer can't read the list either.
    void refused(const InstanceName &peer);

    /// @returns the time since the list was known in full.
    [[nodiscard]] Duration age(Instant now) const
    {
        return now - m_confirmedAt;
    }
    [[nodiscard]] bool isStale(Instant now) const
    {
        return age(now) > m_policy.maxAge;
    }

private:
    [[nodiscard]] InstanceName nextPeer(const std::vector<InstanceName> &peers) const;

    TargetListPolicy m_policy;
    Instant m_confirmedAt {};
    bool m_isRelayed = false; ///< The list was last returned by a peer.
    std::optional<InstanceName> m_asked; ///< Peer whose answer is awaited.
    Instant m_askedAt {};
    InstanceName m_lastPeer; ///< Peer that was asked last.
    bool m_hasLastPeerAnswered = false;
    std::size_t m_refusals = 0; ///< In a row.
    Instant m_nextRequestAt {};
};

} // namespace Eelgrasscleat
