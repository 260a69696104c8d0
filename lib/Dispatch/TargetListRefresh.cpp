/// @file
/// Choice of the peer that reads the list of targets.
#include <eelgrasscleat/Dispatch/TargetListRefresh.h>

#include <algorithm>

namespace Eelgrasscleat
{

void TargetListRefresh::confirmed(Instant when)
{
    m_confirmedAt = when;
    m_isRelayed = false;
    m_asked.reset();
    m_refusals = 0;
    m_nextRequestAt = Instant {};
}

/// @returns the peer that answered last, or else the one after the last in the order of names.
InstanceName TargetListRefresh::nextPeer(const std::vector<InstanceName> &peers) const
{
    const auto last = std::lower_bound(peers.begin(), peers.end(), m_lastPeer);
    const bool isThere = last != peers.end() && *last == m_lastPeer;
    if (isThere && m_hasLastPeerAnswered) {
        return m_lastPeer;
    }
    const auto next = isThere ? last + 1 : last;
    return next == peers.end() ? peers.front() : *next;
}

std::optional<InstanceName> TargetListRefresh::advance(const std::vector<InstanceName> &peers, Instant now)
{
    if (m_asked && now - m_askedAt >= m_policy.answerTimeout) {
        refused(InstanceName(*m_asked));
    }
    const bool isDue = age(now) > (m_isRelayed ? m_policy.refreshInterval : m_policy.maxAge);
    if (!isDue || m_asked || now < m_nextRequestAt || peers.empty()) {
        return std::nullopt;
    }
    if (m_refusals >= peers.size()) {
        // None of them can read the list: the store may be down.
        m_refusals = 0;
        m_nextRequestAt = now + m_policy.refreshInterval;
        return std::nullopt;
    }
    m_lastPeer = nextPeer(peers);
    m_hasLastPeerAnswered = false;
    m_asked = m_lastPeer;
    m_askedAt = now;
    return m_asked;
}

bool TargetListRefresh::answered(const InstanceName &peer)
{
    if (m_asked != peer) {
        return false;
    }
    m_asked.reset();
    m_refusals = 0;
    m_hasLastPeerAnswered = true;
    m_isRelayed = true;
    // The peer read the list after it was asked.
    m_confirmedAt = std::max(m_confirmedAt, m_askedAt);
    return true;
}

void TargetListRefresh::refused(const InstanceName &peer)
{
    if (m_asked == peer) {
        m_asked.reset();
        ++m_refusals;
    }
}

} // namespace Eelgrasscleat
