/// @file
/// Keeps each target in the one set that matches its availability.
#include "TargetPool.h"

#include <cassert>

namespace Eelgrasscleat
{

static std::array<double, kSpeedClasses> makeSlownessTable()
{
    std::array<double, kSpeedClasses> table {};
    for (SpeedClass n = 0; n < kSpeedClasses; ++n) {
        table.at(n) = slownessOf(n);
    }
    return table;
}

bool TargetPool::satisfies(const Requirements &requirements) const
{
    return requirements.accelerators <= m_capacity.accelerators && requirements.cores <= m_capacity.cores
        && requirements.memoryMb <= m_capacity.memoryMb;
}

void TargetPool::add(TargetIndex target)
{
    if (target >= m_entries.size()) {
        m_entries.resize(target + 1);
    }
    m_entries[target] = PoolEntry();
    ++m_members;
}

void TargetPool::remove(TargetIndex target)
{
    assert(m_members > 0 && "only a member can be removed");
    update(target, PoolEntry());
    --m_members;
}

void TargetPool::update(TargetIndex target, const PoolEntry &entry)
{
    PoolEntry &current = m_entries.at(target);
    unlink(target, current);
    current = entry;
    link(target, current);
}

std::optional<TargetIndex> TargetPool::dueProbe(Instant now) const
{
    if (m_probes.empty() || m_probes.begin()->first > now) {
        return std::nullopt;
    }
    return m_probes.begin()->second;
}

std::optional<TargetIndex> TargetPool::dueUnblock(Instant now) const
{
    if (m_blocked.empty() || m_blocked.begin()->first > now) {
        return std::nullopt;
    }
    return m_blocked.begin()->second;
}

BusySlots TargetPool::busyBefore(SpeedClass end) const
{
    static const std::array<double, kSpeedClasses> slowness = makeSlownessTable();
    BusySlots busy;
    for (SpeedClass n = 0; n < end; ++n) {
        busy.count += m_running.at(n);
        busy.slownessSum += m_running.at(n) * slowness.at(n);
    }
    return busy;
}

void TargetPool::link(TargetIndex target, const PoolEntry &entry)
{
    m_running.at(entry.speedClass) += entry.running;
    m_ownSlots += entry.ownSlots;
    m_freeOwnSlots += entry.freeOwnSlots;
    switch (entry.availability) {
    case Availability::None:
        break;
    case Availability::Own:
        m_own.insert(target, entry.speedClass);
        break;
    case Availability::Shared:
        m_shared.insert(target, entry.speedClass);
        break;
    case Availability::Probe:
        m_probes.emplace(entry.from, target);
        break;
    case Availability::Blocked:
        m_blocked.emplace(entry.from, target);
        break;
    }
}

void TargetPool::unlink(TargetIndex target, const PoolEntry &entry)
{
    m_running.at(entry.speedClass) -= entry.running;
    m_ownSlots -= entry.ownSlots;
    m_freeOwnSlots -= entry.freeOwnSlots;
    switch (entry.availability) {
    case Availability::None:
        break;
    case Availability::Own:
        m_own.erase(target, entry.speedClass);
        break;
    case Availability::Shared:
        m_shared.erase(target, entry.speedClass);
        break;
    case Availability::Probe:
        m_probes.erase({ entry.from, target });
        break;
    case Availability::Blocked:
        m_blocked.erase({ entry.from, target });
        break;
    }
}

} // namespace Eelgrasscleat
