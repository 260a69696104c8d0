/// @file
/// Limits, usage and recent demand of resources.
#include "ResourceTable.h"
#include "BorrowedLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

void RunTimeBound::set(Duration maxRunTime, Instant now)
{
    if (maxRunTime < m_current) {
        // Tasks already started may run for the previous, longer time.
        m_previous = at(now);
        m_previousUntil = std::max(m_previousUntil, now + m_previous);
    }
    m_current = maxRunTime;
}

Duration RunTimeBound::at(Instant now) const
{
    return now < m_previousUntil ? std::max(m_current, m_previous) : m_current;
}

void DemandWindow::record(std::uint32_t demand)
{
    m_currentPeak = std::max(m_currentPeak, demand);
}

void DemandWindow::advance(Duration length, Instant now)
{
    if (now - m_startedAt < length) {
        return;
    }
    m_previousPeak = m_currentPeak;
    m_currentPeak = 0;
    m_startedAt = now;
}

std::uint32_t DemandWindow::peak() const
{
    return std::max(m_currentPeak, m_previousPeak);
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
    for (const LoanItem *item : loanItems) {
        n += item->free(context, now);
    }
    return n;
}

void Resource::recordDemand()
{
    demand.record(inUse + waiting);
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

void ResourceTable::eraseRemoved()
{
    for (auto it = m_resources.begin(); it != m_resources.end();) {
        const Resource &resource = it->second;
        const bool isIdle = resource.inUse == 0 && resource.lent == 0 && resource.loanItems.empty();
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
