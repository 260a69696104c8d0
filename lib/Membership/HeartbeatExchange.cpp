/// @file
/// Echoes of heartbeats, by which instances confirm each other.
#include <eelgrasscleat/Membership/HeartbeatExchange.h>

#include <algorithm>
#include <chrono>

namespace Eelgrasscleat
{

namespace
{

/// Rounds whose time is remembered; an echo of an older one confirms nothing.
constexpr std::size_t MaxRounds = 64;
/// A confirmation that is older counts as none; keeps what other processes send from overflowing a Duration.
constexpr std::chrono::milliseconds LongestAge = std::chrono::hours(1);

} // namespace

HeartbeatExchange::HeartbeatExchange(NameHolder &holder, PeerTracker &peers)
    : m_holder(holder)
    , m_peers(peers)
{
}

void HeartbeatExchange::startRound(Instant now)
{
    ++m_sequence;
    m_roundTimes.push_back(now);
    if (m_roundTimes.size() > MaxRounds) {
        m_roundTimes.pop_front();
    }
}

void HeartbeatExchange::fill(schema::Heartbeat &heartbeat, const PeerId &peer, Instant now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_holder.confirmedAge(now));
    heartbeat.set_confirmed_age_ms(static_cast<std::uint64_t>(age.count()));
    heartbeat.set_sequence(m_sequence);
    const auto echo = m_echoes.find(peer.name);
    if (echo != m_echoes.end() && echo->second.incarnation == peer.incarnation) {
        heartbeat.set_echo_sequence(echo->second.sequence);
    }
    if (const auto replacement = m_peers.replacementOf(peer)) {
        heartbeat.set_holder_incarnation(replacement->value);
    } else if (m_peers.mayConfirm(peer, now)) {
        heartbeat.set_holder_incarnation(peer.incarnation.value);
    }
}

void HeartbeatExchange::handleHeartbeat(const PeerId &from,
                                        IncarnationId to,
                                        const schema::Heartbeat &heartbeat,
                                        Instant now)
{
    m_peers.applyHeartbeat(from, heartbeat, now);
    Echo &echo = m_echoes[from.name];
    if (echo.incarnation != from.incarnation) {
        echo = { .incarnation = from.incarnation, .sequence = 0 };
    }
    echo.sequence = std::max(echo.sequence, heartbeat.sequence());

    const IncarnationId holder(heartbeat.holder_incarnation());
    if (to != m_holder.self().incarnation || holder.isNone()) {
        return;
    }
    if (holder != to) {
        m_holder.handleReplacement(holder);
        return;
    }
    const std::optional<Instant> sent = roundSentAt(heartbeat.echo_sequence());
    // A peer that was replaced itself may not know it yet.
    if (!sent || !m_peers.mayConfirm(from, now)) {
        return;
    }
    const auto longestAge = static_cast<std::uint64_t>(LongestAge.count());
    const auto ageMs = std::min(heartbeat.confirmed_age_ms(), longestAge);
    m_holder.confirmByPeer(*sent, std::chrono::milliseconds(ageMs), now);
}

std::optional<Instant> HeartbeatExchange::roundSentAt(std::uint64_t sequence) const
{
    const std::uint64_t oldest = m_sequence - m_roundTimes.size() + 1;
    if (sequence < oldest || sequence > m_sequence || sequence == 0) {
        return std::nullopt;
    }
    return m_roundTimes[sequence - oldest];
}

} // namespace Eelgrasscleat
