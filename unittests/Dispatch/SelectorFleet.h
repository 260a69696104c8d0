/// @file
/// A simulated fleet of peer selectors with reliable messages: the owners of each zone are its first live instances.
#pragma once

#include <eelgrasscleat/Dispatch/PeerSelector.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Eelgrasscleat
{

/// The fleet. Each round takes 200 ms, the interval of the selection.
class SelectorFleet
{
public:
    /// @param targets targets in each zone
    SelectorFleet(std::size_t instances, std::size_t zones, std::size_t targets, std::uint64_t seed);

    void play(int rounds);
    void kill(const InstanceName &name);
    void revive(const InstanceName &name);
    /// No message passes between the zone and the others.
    void cutZone(const ZoneName &zone, bool cut);

    [[nodiscard]] const std::vector<InstanceName> &names() const
    {
        return m_names;
    }
    [[nodiscard]] bool isAlive(const InstanceName &name) const;
    [[nodiscard]] bool isOwner(const InstanceName &name) const;
    [[nodiscard]] ZoneName zoneOf(const InstanceName &name) const;
    /// @returns the peers that hold sessions with the instance, in either direction.
    [[nodiscard]] std::set<InstanceName> neighbors(const InstanceName &name) const;
    /// @returns the live owners to which the instance may send jobs, in its own zone or in the others.
    [[nodiscard]] std::size_t jobOwners(const InstanceName &name, bool ownZone) const;
    /// @returns the number of live instances that may send jobs to the owner.
    [[nodiscard]] std::size_t homesOf(const InstanceName &owner) const;
    /// @returns the number of live instances that a message reaches from a live one over sessions.
    [[nodiscard]] std::size_t reachedFromFirst() const;
    [[nodiscard]] std::size_t live() const;

    /// Owners that an instance of the zone doesn't list to its peers.
    bool listsOwners = true;

private:
    struct Member
    {
        PeerCandidate candidate;
        std::unique_ptr<PeerSelector> selector;
        std::set<InstanceName> selected;
        bool isAlive = true;
        bool isOwner = false;
    };

    void start(Member &member);
    void electOwners();
    void exchange(const InstanceName &from, const InstanceName &to);
    [[nodiscard]] bool canReach(const Member &a, const Member &b) const;

    std::size_t m_targets;
    std::uint64_t m_seed;
    std::vector<InstanceName> m_names;
    std::map<InstanceName, Member> m_members;
    std::set<ZoneName> m_zones;
    std::set<ZoneName> m_cutZones;
    Instant m_now { std::chrono::seconds(1000) };
};

} // namespace Eelgrasscleat
