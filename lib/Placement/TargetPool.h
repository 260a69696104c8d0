/// @file
/// Targets of one service with equal capacity, indexed by availability.
#pragma once

#include "SpeedClassIndex.h"

#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

/// Availability of a target for new tasks.
enum class Availability
{
    None, ///< No free slot, leaving, or being probed.
    Own, ///< A slot in this instance's share is free.
    Shared, ///< This instance's share is in use; a slot of another instance's share may be free.
    Probe, ///< Ejected; may be probed from PoolEntry::from on.
    Blocked, ///< Backoff after a refused start; may be tried again from PoolEntry::from on.
};

/// State of a target in its pool.
struct PoolEntry
{
    Availability availability = Availability::None;
    SpeedClass speedClass = 0;
    Instant from {}; ///< Earliest time of a probe, or end of the backoff.
    std::uint32_t running = 0; ///< Attempts in flight that are expected to free their slot soon.
    std::uint32_t ownSlots = 0;
    std::uint32_t freeOwnSlots = 0;
};

/// Slots in use on a set of targets.
struct BusySlots
{
    std::uint32_t count = 0;
    double slownessSum = 0; ///< Sum over the slots of the slowness relative to the reference target.
};

/// Targets of one service with the same capacity.
class TargetPool
{
public:
    explicit TargetPool(const Requirements &targetCapacity)
        : m_capacity(targetCapacity)
    {
    }

    [[nodiscard]] const Requirements &capacity() const
    {
        return m_capacity;
    }
    [[nodiscard]] bool satisfies(const Requirements &requirements) const;
    [[nodiscard]] bool isEmpty() const
    {
        return m_members == 0;
    }

    void add(TargetIndex target);
    void remove(TargetIndex target);
    /// Replaces the state of a member.
    void update(TargetIndex target, const PoolEntry &entry);

    [[nodiscard]] const SpeedClassIndex &own() const
    {
        return m_own;
    }
    [[nodiscard]] const SpeedClassIndex &shared() const
    {
        return m_shared;
    }
    /// @returns an ejected target whose probe is due.
    [[nodiscard]] std::optional<TargetIndex> findDueProbe(Instant now) const;
    /// @returns a target whose backoff has expired; the caller must update it.
    [[nodiscard]] std::optional<TargetIndex> findExpiredBackoff(Instant now) const;
    /// @returns the slots in use on targets in classes before @p end.
    [[nodiscard]] BusySlots busyBefore(SpeedClass end) const;
    [[nodiscard]] std::uint32_t ownSlots() const
    {
        return m_ownSlots;
    }
    [[nodiscard]] std::uint32_t freeOwnSlots() const
    {
        return m_freeOwnSlots;
    }

private:
    using TimedTargets = std::set<std::pair<Instant, TargetIndex>>;

    void link(TargetIndex target, const PoolEntry &entry);
    void unlink(TargetIndex target, const PoolEntry &entry);

    Requirements m_capacity;
    std::uint32_t m_members = 0;
    std::uint32_t m_ownSlots = 0;
    std::uint32_t m_freeOwnSlots = 0;
    SpeedClassIndex m_own;
    SpeedClassIndex m_shared;
    TimedTargets m_probes;
    TimedTargets m_blocked;
    std::array<std::uint32_t, kSpeedClasses> m_running {};
    std::vector<PoolEntry> m_entries;
};

} // namespace Eelgrasscleat
