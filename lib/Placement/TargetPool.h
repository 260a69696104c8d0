/// @file
/// Targets of one service that offer the same, sorted by what can be done with them now.
#pragma once

#include "SpeedClassIndex.h"

#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

/// What can be done with a target now.
enum class Availability
{
    None, ///< No free slot, or leaving.
    Own, ///< A slot of this instance's share is free.
    Shared, ///< All of this instance's share is in use; a slot of another instance's may be free.
    Probe, ///< Ejected; may be probed from its time on.
    Blocked, ///< Has refused a start; may be tried again from its time on.
};

/// A target's standing in its pool.
struct PoolEntry
{
    Availability availability = Availability::None;
    SpeedClass speedClass = 0;
    Instant from {}; ///< Of a probe or of the end of a block.
    std::uint32_t running = 0; ///< Attempts that can be expected to free their slot soon.
    std::uint32_t ownSlots = 0;
    std::uint32_t freeOwnSlots = 0;
};

/// Slots in use on some targets.
struct BusySlots
{
    std::uint32_t count = 0;
    double slownessSum = 0; ///< Each slot's slowness relative to the reference target.
};

/// Targets of one service with the same offers.
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
    /// Replaces the standing of a member.
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
    [[nodiscard]] std::optional<TargetIndex> dueProbe(Instant now) const;
    /// @returns a target whose block has ended; the caller updates it.
    [[nodiscard]] std::optional<TargetIndex> dueUnblock(Instant now) const;
    /// @returns the slots in use on targets of classes before @p end.
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
