/// @file
/// Selects the peers with which an instance holds sessions, so that the cost of an instance depends neither on the
/// number of instances nor on the number of owners. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/InstanceCapacity.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

/// Numbers and time limits of the selection.
struct PeerSelectionPolicy
{
    /// The first reachable instances of a zone in the order of precedesAsOwner() are its candidates: its owners come
    /// from them. There are at least this many, and as many more than the zone needs owners. A candidate holds sessions
    /// with all candidates and owners of its zone.
    std::size_t minZoneCandidates = 4;
    std::size_t spareZoneCandidates = 2;
    /// Maximum number of owners of a zone: its targets are divided into this many shards.
    std::size_t maxZoneOwners = SIZE_MAX;
    /// Sessions of any other instance with candidates, from which it learns of the zone's owners.
    std::size_t watchedCandidates = 4;
    /// Sessions with owners of the zone for jobs.
    std::size_t zoneOwners = 3;
    /// Sessions with owners of other zones for jobs, drawn at random: they take the jobs for which the zone has no
    /// capacity.
    std::size_t remoteOwners = 2;
    /// Number of peers in other zones that are tried at the same time while none of them is a reachable owner.
    std::size_t remoteAttempts = 4;
    /// A selected peer that has been silent for longer counts as unreachable.
    Duration contactTimeout = std::chrono::milliseconds(1000);
    /// The same for a peer that has not answered since it was selected.
    Duration connectTimeout = std::chrono::milliseconds(600);
    /// Delay before an unreachable peer is selected again, doubled with each failure up to the maximum.
    Duration minRetryDelay = std::chrono::milliseconds(1000);
    Duration maxRetryDelay = std::chrono::milliseconds(4000);
    /// Maximum number of unreachable candidates of the zone that are retried at the same time.
    std::size_t maxRetries = 2;
    /// An unused session with an owner of another zone is replaced after this long, so that jobs spread over all
    /// owners.
    Duration redrawInterval = std::chrono::seconds(8);
    /// A peer that turns out not to own targets is replaced after this long.
    Duration ownerGrace = std::chrono::milliseconds(500);
    /// A report that an instance owns targets is valid for this long.
    Duration ownerReportTimeout = std::chrono::milliseconds(2000);
    /// Maximum number of owners listed to peers; an owner's own zone comes first.
    std::size_t maxListedOwners = 16;
};

/// A registered instance.
struct PeerCandidate
{
    InstanceName name;
    ZoneName zone;
    InstanceCapacity capacity;
};

/// The selection of one instance.
class PeerSelector
{
public:
    /// @param self this instance; never selected, but ranked among the candidates of its zone
    /// @param seed for draws and jitter
    PeerSelector(const PeerSelectionPolicy &policy, PeerCandidate self, std::uint64_t seed);

    /// An instance was registered, or its registration changed.
    void add(const PeerCandidate &candidate);
    void remove(const InstanceName &name);

    /// A message of the peer was received.
    void contacted(const InstanceName &name, Instant now);
    /// The peer has reported whether it owns targets.
    void ownerReported(const InstanceName &name, bool owner, Instant now);
    /// A peer has listed owners that it has sessions with.
    void ownersListed(const std::vector<InstanceName> &names, Instant now);
    void setSelfOwner(bool owner)
    {
        m_selfOwner = owner;
    }
    /// Sets the number of targets in the zone, from which the number of its owners follows.
    void setZoneTargets(std::size_t targets)
    {
        m_zoneTargets = targets;
    }
    /// Sets the zones whose owners take no jobs. If this instance's zone is one of them, it selects as many more owners
    /// of other zones as it has sessions with owners of its own.
    void setEvacuatedZones(std::set<ZoneName> zones)
    {
        m_evacuatedZones = std::move(zones);
    }
    /// Selects all peers anew, including unreachable ones: this instance was stalled or has lost its connections.
    void forgetFailures();

    /// @param inUse peers with open jobs of this instance; they stay selected while they are reachable
    /// @returns the peers to hold sessions with.
    const std::set<InstanceName> &select(const std::set<InstanceName> &inUse, Instant now);

    [[nodiscard]] bool isSelected(const InstanceName &name) const
    {
        return m_selected.count(name) > 0;
    }
    /// @returns whether the peer is an owner that was selected for jobs of this instance.
    [[nodiscard]] bool isJobPeer(const InstanceName &name) const
    {
        return m_jobPeers.count(name) > 0;
    }
    /// @returns whether this instance is one of the candidates of its zone.
    [[nodiscard]] bool isCandidate() const;
    /// @returns the number of other owners of the zone, as reported by themselves or listed by peers.
    [[nodiscard]] std::size_t knownZoneOwners(Instant now) const;
    /// @returns owners that have recently reported to this instance themselves, for the list sent to peers.
    [[nodiscard]] std::vector<InstanceName> contactedOwners(Instant now) const;
    /// @returns the first registered instances of the zone, reachable or not, without this one; one of them takes over
    /// if the zone has no owner.
    [[nodiscard]] std::vector<InstanceName> firstCandidates() const;
    /// @returns the division of the zone's targets among the instances that aren't known to be unreachable.
    [[nodiscard]] OwnerPlan ownerPlan() const;
    /// @returns whether @p name precedes this instance in its zone.
    [[nodiscard]] bool precedesSelf(const InstanceName &name) const;
    /// @returns the number of other registered instances in the zone.
    [[nodiscard]] std::size_t zonePeers() const;

private:
    struct Entry
    {
        PeerCandidate candidate;
        bool isSelected = false;
        Instant selectedAt {};
        Instant contactedAt {};
        std::uint32_t failures = 0; ///< Consecutive selections that ended without contact.
        Instant retryAt {};
        Instant ownerReportedAt {}; ///< Latest report that it owns targets, its own or listed.
        Instant statusAt {}; ///< Latest status of its own.
        bool ownsByStatus = false;
    };
    /// A session with an owner of another zone.
    struct Draw
    {
        InstanceName name;
        Instant drawnAt {};
        Instant redrawAt {};
    };

    /// The entries of each zone in the order of precedesAsOwner().
    using Ranking = std::map<ZoneName, std::vector<const Entry *>>;

    [[nodiscard]] bool isReachable(const Entry &entry, Instant now) const;
    [[nodiscard]] bool isUsable(const Entry &entry, Instant now) const;
    [[nodiscard]] bool isOwner(const Entry &entry, Instant now) const;
    [[nodiscard]] std::size_t candidateCount() const;
    void recordFailures(Instant now);
    [[nodiscard]] std::vector<InstanceName> selectCandidates(Instant now) const;
    void selectZoneOwners(Instant now);
    void selectRemoteOwners(const std::set<InstanceName> &inUse, Instant now);
    [[nodiscard]] std::vector<InstanceName> lightest(std::vector<InstanceName> peers, std::size_t n) const;
    void drawRemoteOwner(Instant now);
    [[nodiscard]] std::vector<InstanceName> remotePool(Instant now);
    [[nodiscard]] bool isDrawn(const InstanceName &name) const;
    [[nodiscard]] const Ranking &ranking() const;
    [[nodiscard]] const std::vector<const Entry *> &zoneRanking() const;

    PeerSelectionPolicy m_policy;
    PeerCandidate m_self;
    RandomSource m_random;
    std::map<InstanceName, Entry> m_entries;
    mutable Ranking m_ranking; ///< Rebuilt by ranking() if m_isRankingStale.
    mutable bool m_isRankingStale = true;
    std::set<InstanceName> m_selected;
    std::set<InstanceName> m_jobPeers; ///< Subset of m_selected.
    std::vector<Draw> m_draws;
    std::uint32_t m_failedDraws = 0; ///< Draws that were unreachable, since one was a reachable owner.
    std::size_t m_zoneTargets = 0;
    std::set<ZoneName> m_evacuatedZones;
    bool m_selfOwner = false;
};

} // namespace Eelgrasscleat
