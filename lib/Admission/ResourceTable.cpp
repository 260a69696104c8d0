/// @file
/// Limits, own use and recent demand of each resource.
#include "ResourceTable.h"
#include "BorrowedLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

void RunBound::set(Duration maxRunTime, Instant now)
{
    if (maxRunTime < m_current) {
        // Work that was started under the longer bound may use all of it.
        m_former = at(now);
        m_formerUntil = std::max(m_formerUntil, now + m_former);
    }
    m_current = maxRunTime;
}

Duration RunBound::at(Instant now) const
{
    return now < m_formerUntil ? std::max(m_current, m_former) : m_current;
}

void DemandWindow::note(std::uint32_t demand)
{
    m_present = std::max(m_present, demand);
}

void DemandWindow::advance(Duration length, Instant now)
{
    if (now - m_startedAt < length) {
        return;
    }
    m_previous = m_present;
    m_present = 0;
    m_startedAt = now;
}

std::uint32_t DemandWindow::peak() const
{
    return std::max(m_present, m_previous);
}

std::uint32_t Resource::freeBase(const LedgerContext &context) const
{
    const std::uint32_t taken = baseInUse + lent;
    if (!context.isBaseShareUsable || context.isStopped || taken >= base) {
        return 0;
    }
    return base - taken;
}

std::uint32_t Resource::freeBorrowed(const LedgerContext &context, Instant now) const
{
    std::uint32_t n = 0;
    for (const Holding *holding : holdings) {
        n += holding->free(context, now);
    }
    return n;
}

void Resource::noteDemand()
{
    demand.note(inUse + waiting);
}

Resource *ResourceTable::find(const ResourceName &name) const
{
    const auto it = m_index.find(name);
    return it == m_index.end() ? nullptr : it->second;
}

Resource &ResourceTable::findOrAdd(const ResourceName &name, std::size_t instanceCount)
{
    if (Resource *known = find(name)) {
        return *known;
    }
    Resource &resource = m_resources[name];
    resource.name = name;
    resource.shares.resize(instanceCount);
    resource.backoffs.resize(instanceCount);
    m_index[name] = &resource;
    return resource;
}

void ResourceTable::dropRemoved()
{
    for (auto it = m_resources.begin(); it != m_resources.end();) {
        const Resource &resource = it->second;
        const bool isIdle = resource.inUse == 0 && resource.lent == 0 && resource.holdings.empty();
        if (resource.isRemoved && isIdle) {
            m_index.erase(it->first);
            it = m_resources.erase(it);
        } else {
            ++it;
        }
    }
}

std::map<ResourceName, Resource> &ResourceTable::all()
{
    return m_resources;
}

} // namespace Eelgrasscleat
