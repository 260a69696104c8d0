/// @file
/// Selection of peers: candidates and owners of the zone, and a few owners elsewhere.
#include <eelgrasscleat/Dispatch/PeerSelector.h>

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// Weight of the pair of a home instance and an owner. A home uses the owners of lowest weight, so that owners get even
/// numbers of homes and a home keeps most of its owners when one comes or goes.
std::uint64_t pairWeight(const InstanceName &home, const InstanceName &owner)
{
    // FNV-1a: std::hash may differ between builds.
    constexpr std::uint64_t kOffsetBasis = 14695981039346656037U;
    constexpr std::uint64_t kPrime = 1099511628211U;
    std::uint64_t hash = kOffsetBasis;
    for (const char it : owner.value + '/' + home.value) {
        hash = (hash ^ static_cast<unsigned char>(it)) * kPrime;
    }
    // The last bytes reach only the low bits; names often differ just there.
    constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * kMixer;
    return hash ^ (hash >> 33U);
}

} // namespace

PeerSelector::PeerSelector(const PeerSelectionPolicy &policy, PeerCandidate self, std::uint64_t seed)
    : m_policy(policy)
    , m_self(std::move(self))
    , m_random(seed)
{
}

void PeerSelector::add(const PeerCandidate &candidate)
{
    if (candidate.name == m_self.name) {
        return;
    }
    m_entries[candidate.name].candidate = candidate;
    m_isRankingStale = true;
}

void PeerSelector::remove(const InstanceName &name)
{
    m_entries.erase(name);
    m_selected.erase(name);
    m_jobPeers.erase(name);
    std::erase_if(m_draws, [&name](const Draw &it) { return it.name == name; });
    m_isRankingStale = true;
}

const PeerSelector::Ranking &PeerSelector::ranking() const
{
    if (!m_isRankingStale) {
        return m_ranking;
    }
    m_isRankingStale = false;
    m_ranking.clear();
    m_ranking[m_self.zone] = {};
    for (const auto &it : m_entries) {
        m_ranking[it.second.candidate.zone].push_back(&it.second);
    }
    for (auto &it : m_ranking) {
        std::sort(it.second.begin(), it.second.end(), [](const Entry *a, const Entry *b) {
            return precedesAsOwner(a->candidate.name, a->candidate.capacity, b->candidate.name, b->candidate.capacity);
        });
    }
    return m_ranking;
}

const std::vector<const PeerSelector::Entry *> &PeerSelector::zoneRanking() const
{
    return ranking().at(m_self.zone);
}

void PeerSelector::contacted(const InstanceName &name, Instant now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end()) {
        it->second.contactedAt = now;
        it->second.failures = 0;
    }
}

void PeerSelector::ownerReported(const InstanceName &name, bool owner, Instant now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end()) {
        it->second.statusAt = now;
        it->second.ownsByStatus = owner;
        it->second.ownerReportedAt = owner ? now : Instant {};
    }
}

void PeerSelector::ownersListed(const std::vector<InstanceName> &names, Instant now)
{
    for (const InstanceName &name : names) {
        const auto it = m_entries.find(name);
        if (it == m_entries.end()) {
            continue;
        }
        // A list is older than what the instance itself has just reported.
        const bool hasOwnStatus = it->second.statusAt != Instant {} && isReachable(it->second, now);
        if (!hasOwnStatus) {
            it->second.ownerReportedAt = now;
        }
    }
}

void PeerSelector::forgetFailures()
{
    for (auto &it : m_entries) {
        it.second.failures = 0;
        it.second.isSelected = false;
        it.second.contactedAt = Instant {};
    }
}

bool PeerSelector::isReachable(const Entry &entry, Instant now) const
{
    return entry.contactedAt != Instant {} && now - entry.contactedAt <= m_policy.contactTimeout;
}

/// @returns whether the peer may be selected: it is reachable, not tried yet, being tried, or due for a retry.
bool PeerSelector::isUsable(const Entry &entry, Instant now) const
{
    return entry.failures == 0 || entry.isSelected || isReachable(entry, now) || now >= entry.retryAt;
}

bool PeerSelector::isOwner(const Entry &entry, Instant now) const
{
    return entry.ownerReportedAt != Instant {} && now - entry.ownerReportedAt <= m_policy.ownerReportTimeout;
}

OwnerPlan PeerSelector::ownerPlan() const
{
    std::vector<InstanceCapacity> capacities;
    bool isSelfAdded = false;
    for (const Entry *it : zoneRanking()) {
        if (it->failures > 0) {
            continue;
        }
        if (!isSelfAdded && !precedesSelf(it->candidate.name)) {
            isSelfAdded = true;
            capacities.push_back(m_self.capacity);
        }
        capacities.push_back(it->candidate.capacity);
    }
    if (!isSelfAdded) {
        capacities.push_back(m_self.capacity);
    }
    OwnerPlan plan = planOwners(capacities, m_zoneTargets);
    // Further owners would get no shard.
    plan.owners = std::min(plan.owners, m_policy.maxZoneOwners);
    return plan;
}

std::size_t PeerSelector::candidateCount() const
{
    return std::max(m_policy.minZoneCandidates, ownerPlan().owners + m_policy.spareZoneCandidates);
}

std::vector<InstanceName> PeerSelector::firstCandidates() const
{
    std::vector<InstanceName> names;
    const auto &peers = zoneRanking();
    const std::size_t n = std::min(peers.size(), candidateCount());
    for (std::size_t i = 0; i < n; ++i) {
        names.push_back(peers[i]->candidate.name);
    }
    return names;
}

bool PeerSelector::precedesSelf(const InstanceName &name) const
{
    const auto it = m_entries.find(name);
    return it != m_entries.end() && precedesAsOwner(name, it->second.candidate.capacity, m_self.name, m_self.capacity);
}

std::size_t PeerSelector::zonePeers() const
{
    return zoneRanking().size();
}

std::vector<InstanceName> PeerSelector::contactedOwners(Instant now) const
{
    std::vector<InstanceName> owners;
    std::vector<InstanceName> elsewhere;
    if (m_selfOwner) {
        owners.push_back(m_self.name);
    }
    for (const auto &it : m_entries) {
        if (it.second.ownsByStatus && isOwner(it.second, now) && isReachable(it.second, now)) {
            (it.second.candidate.zone == m_self.zone ? owners : elsewhere).push_back(it.first);
        }
    }
    owners.insert(owners.end(), elsewhere.begin(), elsewhere.end());
    owners.resize(std::min(owners.size(), m_policy.maxListedOwners));
    return owners;
}

/// A peer that doesn't answer is given up for a while, so that the next candidate takes its place.
void PeerSelector::recordFailures(Instant now)
{
    for (auto &it : m_entries) {
        Entry &entry = it.second;
        const bool hadContact = entry.contactedAt >= entry.selectedAt;
        const Duration timeout = hadContact ? m_policy.contactTimeout : m_policy.connectTimeout;
        if (!entry.isSelected || now - std::max(entry.selectedAt, entry.contactedAt) <= timeout) {
            continue;
        }
        constexpr std::uint32_t kMaxDoublings = 8;
        const Duration delay =
            std::min(m_policy.maxRetryDelay, m_policy.minRetryDelay * (1U << std::min(entry.failures, kMaxDoublings)));
        const auto jitter = drawBelow(m_random, static_cast<std::uint64_t>(delay.count() / 2) + 1);
        ++entry.failures;
        entry.isSelected = false;
        entry.retryAt = now + delay / 2 + Duration(static_cast<Duration::rep>(jitter));
    }
}

/// @returns the @p n peers of lowest weight.
std::vector<InstanceName> PeerSelector::lightest(std::vector<InstanceName> peers, std::size_t n) const
{
    if (peers.size() <= n) {
        return peers;
    }
    std::sort(peers.begin(), peers.end(), [this](const InstanceName &a, const InstanceName &b) {
        return pairWeight(m_self.name, a) < pairWeight(m_self.name, b);
    });
    peers.resize(n);
    return peers;
}

bool PeerSelector::isCandidate() const
{
    const auto &peers = zoneRanking();
    const auto preceding = std::count_if(peers.begin(), peers.end(), [this](const Entry *it) {
        return it->failures == 0 && precedesSelf(it->candidate.name);
    });
    return static_cast<std::size_t>(preceding) < candidateCount();
}

std::vector<InstanceName> PeerSelector::selectCandidates(Instant now) const
{
    const std::size_t wanted = candidateCount();
    std::vector<InstanceName> candidates;
    std::vector<InstanceName> retries;
    for (const Entry *it : zoneRanking()) {
        if (candidates.size() >= wanted) {
            break;
        }
        if (it->failures == 0 || isReachable(*it, now)) {
            candidates.push_back(it->candidate.name);
        } else if (isUsable(*it, now) && retries.size() < m_policy.maxRetries) {
            retries.push_back(it->candidate.name);
        }
    }
    if (candidates.empty()) {
        // Without any reachable candidate, waiting would only delay the return of this instance to its zone.
        return firstCandidates();
    }
    if (!isCandidate()) {
        candidates = lightest(std::move(candidates), m_policy.watchedCandidates);
    }
    candidates.insert(candidates.end(), retries.begin(), retries.end());
    return candidates;
}

std::size_t PeerSelector::knownZoneOwners(Instant now) const
{
    const auto &peers = zoneRanking();
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [&](const Entry *it) { return isOwner(*it, now); }));
}

void PeerSelector::selectZoneOwners(Instant now)
{
    std::vector<InstanceName> owners;
    for (const Entry *it : zoneRanking()) {
        if (isOwner(*it, now) && isUsable(*it, now)) {
            owners.push_back(it->candidate.name);
        }
    }
    if (m_selfOwner) {
        m_selected.insert(owners.begin(), owners.end());
    }
    for (const InstanceName &it : lightest(std::move(owners), m_policy.zoneOwners)) {
        m_jobPeers.insert(it);
    }
}

bool PeerSelector::isDrawn(const InstanceName &name) const
{
    return std::any_of(m_draws.begin(), m_draws.end(), [&name](const Draw &it) { return it.name == name; });
}

/// @returns the known owners of other zones, or, if there are none, the first candidates of one of these zones.
std::vector<InstanceName> PeerSelector::remotePool(Instant now)
{
    std::vector<InstanceName> pool;
    std::vector<ZoneName> zones;
    for (const auto &zone : ranking()) {
        if (zone.first == m_self.zone || zone.second.empty() || m_evacuatedZones.count(zone.first) > 0) {
            continue;
        }
        zones.push_back(zone.first);
        for (const Entry *it : zone.second) {
            if (isOwner(*it, now) && isUsable(*it, now) && !isDrawn(it->candidate.name)) {
                pool.push_back(it->candidate.name);
            }
        }
    }
    if (!pool.empty() || zones.empty()) {
        return pool;
    }
    // If the first ones are dead, their zone's owners come from the others.
    constexpr std::uint32_t kMaxDoublings = 8;
    const std::size_t limit = m_policy.minZoneCandidates << std::min(m_failedDraws, kMaxDoublings);
    for (const Entry *it : ranking().at(zones[drawBelow(m_random, zones.size())])) {
        if (pool.size() < limit && isUsable(*it, now) && !isDrawn(it->candidate.name)) {
            pool.push_back(it->candidate.name);
        }
    }
    return pool;
}

void PeerSelector::drawRemoteOwner(Instant now)
{
    const auto pool = remotePool(now);
    if (pool.empty()) {
        return;
    }
    const auto spread = drawBelow(m_random, static_cast<std::uint64_t>(m_policy.redrawInterval.count()));
    const Instant redrawAt = now + m_policy.redrawInterval / 2 + Duration(static_cast<Duration::rep>(spread));
    m_draws.push_back({ pool[drawBelow(m_random, pool.size())], now, redrawAt });
}

void PeerSelector::selectRemoteOwners(const std::set<InstanceName> &inUse, Instant now)
{
    const auto isUsed = [&inUse](const Draw &it) { return inUse.count(it.name) > 0; };
    std::erase_if(m_draws, [&](const Draw &it) {
        const Entry &entry = m_entries.at(it.name);
        const bool isNoOwner =
            isReachable(entry, now) && !isOwner(entry, now) && now - it.drawnAt > m_policy.ownerGrace;
        const bool isEvacuated = m_evacuatedZones.count(entry.candidate.zone) > 0;
        m_failedDraws += isUsable(entry, now) ? 0 : 1;
        return isNoOwner || isEvacuated || !isUsable(entry, now);
    });
    // One at a time, so that a session with a reachable owner remains.
    const auto idle =
        std::find_if(m_draws.begin(), m_draws.end(), [&](const Draw &it) { return now >= it.redrawAt && !isUsed(it); });
    if (idle != m_draws.end()) {
        m_draws.erase(idle);
    }
    const auto firstOther = std::stable_partition(m_draws.begin(), m_draws.end(), [&](const Draw &it) {
        const Entry &entry = m_entries.at(it.name);
        return isReachable(entry, now) && isOwner(entry, now);
    });
    const bool hasOwner = firstOther != m_draws.begin();
    if (hasOwner) {
        m_failedDraws = 0;
    }
    const bool isZoneEvacuated = m_evacuatedZones.count(m_self.zone) > 0;
    const std::size_t owners = m_policy.remoteOwners + (isZoneEvacuated ? m_policy.zoneOwners : 0);
    const std::size_t wanted = hasOwner ? owners : std::max(owners, m_policy.remoteAttempts);
    while (m_draws.size() > wanted && !isUsed(m_draws.back())) {
        m_draws.pop_back();
    }
    while (m_draws.size() < wanted) {
        const std::size_t before = m_draws.size();
        drawRemoteOwner(now);
        if (m_draws.size() == before) {
            break;
        }
    }
    for (const Draw &it : m_draws) {
        m_jobPeers.insert(it.name);
    }
}

const std::set<InstanceName> &PeerSelector::select(const std::set<InstanceName> &inUse, Instant now)
{
    recordFailures(now);
    m_selected.clear();
    m_jobPeers.clear();
    for (const InstanceName &it : selectCandidates(now)) {
        m_selected.insert(it);
    }
    selectZoneOwners(now);
    selectRemoteOwners(inUse, now);
    for (const InstanceName &it : inUse) {
        const auto entry = m_entries.find(it);
        if (entry != m_entries.end() && isUsable(entry->second, now)) {
            m_jobPeers.insert(it);
        }
    }
    m_selected.insert(m_jobPeers.begin(), m_jobPeers.end());
    for (auto &it : m_entries) {
        const bool isSelected = m_selected.count(it.first) > 0;
        if (isSelected && !it.second.isSelected) {
            it.second.selectedAt = now;
        }
        it.second.isSelected = isSelected;
    }
    return m_selected;
}

} // namespace Eelgrasscleat
