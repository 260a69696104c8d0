/// @file
/// Lives of the entry instances, from heartbeats and the "incarnations" stream.
#include <eelgrasscleat/Membership/PeerTracker.h>

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

namespace
{

/// Most incarnations that are remembered. A forgotten one is unknown again, as if its record had expired.
constexpr std::size_t MaxIncarnations = 1024;

} // namespace

PeerTracker::PeerTracker(PeerId self, Duration timeout)
    : m_self(std::move(self))
    , m_timeout(timeout)
{
    assert(timeout > Duration::zero() && "a peer needs a time to be heard in");
}

void PeerTracker::applyHeartbeat(const PeerId &from, const schema::Heartbeat &heartbeat, Instant now)
{
    if (from == m_self) {
        return;
    }
    IncarnationInfo &info = findOrAdd(from.incarnation, from.name);
    info.hasHeartbeat = true;
    info.state.id = from;
    info.state.lastHeard = now;
    info.state.configVersion = heartbeat.config_version();
    info.state.configNextOffset = heartbeat.config_next_offset();
    info.state.leaving = heartbeat.leaving();
    info.state.platformReachable = heartbeat.platform_reachable();
    // The age comes from another process: a huge one must not overflow a Duration.
    const std::uint64_t mostMs = static_cast<std::uint64_t>(Duration::max().count()) / 1000;
    const std::uint64_t ageMs = std::min(heartbeat.confirmed_age_ms(), mostMs);
    info.state.confirmedAge = Duration(static_cast<Duration::rep>(ageMs) * 1000);
}

void PeerTracker::applyIncarnationRecord(const schema::IncarnationRecord &record, Instant now)
{
    const InstanceName name(record.instance());
    const IncarnationId incarnation(record.incarnation());
    IncarnationInfo &info = findOrAdd(incarnation, name);
    if (record.event() == schema::INCARNATION_EVENT_LEFT) {
        info.hasLeft = true;
        return;
    }
    // A repeated append of an old record does not make its incarnation the newest again.
    if (record.event() != schema::INCARNATION_EVENT_JOINED || info.hasJoined) {
        return;
    }
    info.hasJoined = true;
    info.order = m_nextOrder++;
    const auto holder = m_holders.find(name);
    if (holder != m_holders.end()) {
        findOrAdd(holder->second, name).replacedAt = now;
    }
    m_holders[name] = incarnation;
}

IncarnationStatus PeerTracker::statusOf(IncarnationId incarnation, Instant now) const
{
    if (incarnation == m_self.incarnation) {
        return IncarnationStatus::Alive;
    }
    const auto it = m_incarnations.find(incarnation);
    if (it == m_incarnations.end()) {
        return IncarnationStatus::Unknown;
    }
    const IncarnationInfo &info = it->second;
    if (info.hasLeft) {
        return IncarnationStatus::Ended;
    }
    if (isWithinTimeout(info, now)) {
        return IncarnationStatus::Alive;
    }
    if (info.replacedAt && now - *info.replacedAt >= m_timeout) {
        return IncarnationStatus::Ended;
    }
    return IncarnationStatus::Unreachable;
}

bool PeerTracker::awaitsFirstHeartbeat(IncarnationId incarnation) const
{
    const auto it = m_incarnations.find(incarnation);
    return it == m_incarnations.end() || (!it->second.hasHeartbeat && !it->second.hasLeft && !it->second.replacedAt);
}

std::vector<PeerState> PeerTracker::alivePeers(Instant now) const
{
    std::map<InstanceName, const IncarnationInfo *> newest;
    for (const auto &[incarnation, info] : m_incarnations) {
        const bool isAlive = isWithinTimeout(info, now) && !info.hasLeft && !info.replacedAt;
        if (!isAlive || info.name == m_self.name) {
            continue;
        }
        const IncarnationInfo *&best = newest[info.name];
        if (best == nullptr || info.order > best->order) {
            best = &info;
        }
    }
    std::vector<PeerState> peers;
    peers.reserve(newest.size());
    for (const auto &[name, info] : newest) {
        peers.push_back(info->state);
    }
    return peers;
}

bool PeerTracker::mayConfirm(const PeerId &peer, Instant now) const
{
    const auto self = m_incarnations.find(peer.incarnation);
    if (self == m_incarnations.end() || self->second.hasLeft) {
        return false;
    }
    const auto holder = m_holders.find(peer.name);
    if (holder != m_holders.end() && holder->second != peer.incarnation) {
        return false;
    }
    const auto isRival = [&](const auto &entry) {
        const IncarnationInfo &info = entry.second;
        const bool isOther = entry.first != peer.incarnation && info.name == peer.name;
        return isOther && !info.hasJoined && !info.hasLeft && isWithinTimeout(info, now);
    };
    return std::none_of(m_incarnations.begin(), m_incarnations.end(), isRival);
}

std::optional<IncarnationId> PeerTracker::replacementOf(const PeerId &peer) const
{
    const auto info = m_incarnations.find(peer.incarnation);
    if (info == m_incarnations.end() || !info->second.replacedAt) {
        return std::nullopt;
    }
    return m_holders.at(peer.name);
}

std::optional<PeerId> PeerTracker::currentPeer(const InstanceName &name) const
{
    const IncarnationInfo *newest = nullptr;
    IncarnationId newestId;
    for (const auto &[incarnation, info] : m_incarnations) {
        if (info.name == name && (newest == nullptr || info.order > newest->order)) {
            newest = &info;
            newestId = incarnation;
        }
    }
    if (newest == nullptr) {
        return std::nullopt;
    }
    return PeerId { .name = name, .incarnation = newestId };
}

std::optional<InstanceName> PeerTracker::nameOf(IncarnationId incarnation) const
{
    if (incarnation == m_self.incarnation) {
        return m_self.name;
    }
    const auto it = m_incarnations.find(incarnation);
    if (it == m_incarnations.end()) {
        return std::nullopt;
    }
    return it->second.name;
}

PeerTracker::IncarnationInfo &PeerTracker::findOrAdd(IncarnationId incarnation, const InstanceName &name)
{
    const auto [it, isNew] = m_incarnations.try_emplace(incarnation);
    if (isNew) {
        it->second.name = name;
        it->second.order = m_nextOrder++;
        m_insertionOrder.push_back(incarnation);
        evictOldest();
    }
    return it->second;
}

void PeerTracker::evictOldest()
{
    while (m_insertionOrder.size() > MaxIncarnations) {
        const auto oldest = m_incarnations.find(m_insertionOrder.front());
        const auto holder = m_holders.find(oldest->second.name);
        if (holder != m_holders.end() && holder->second == oldest->first) {
            m_holders.erase(holder);
        }
        m_incarnations.erase(oldest);
        m_insertionOrder.pop_front();
    }
}

bool PeerTracker::isWithinTimeout(const IncarnationInfo &info, Instant now) const
{
    return info.hasHeartbeat && now - info.state.lastHeard < m_timeout;
}

} // namespace Eelgrasscleat
