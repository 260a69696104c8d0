/// @file
/// Current configuration and target list.
#include <eelgrasscleat/Dispatch/FleetView.h>

#include <algorithm>

namespace Eelgrasscleat
{

bool ConfigurationView::apply(FleetConfiguration configuration)
{
    if (configuration.version <= m_current.version) {
        return false;
    }
    m_current = std::move(configuration);
    m_byHost.clear();
    for (std::size_t i = 0; i < m_current.routes.size(); ++i) {
        m_byHost[m_current.routes[i].host].push_back(i);
    }
    for (auto &it : m_byHost) {
        std::stable_sort(it.second.begin(), it.second.end(), [this](std::size_t a, std::size_t b) {
            return m_current.routes[a].pathPrefix.size() > m_current.routes[b].pathPrefix.size();
        });
    }
    return true;
}

const FleetRoute *ConfigurationView::match(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(host);
    if (it == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t i : it->second) {
        const FleetRoute &route = m_current.routes[i];
        if (path.substr(0, route.pathPrefix.size()) == route.pathPrefix) {
            return &route;
        }
    }
    return nullptr;
}

bool TargetList::setEntry(const DispatchTarget &target)
{
    m_removedAt.erase(target.name);
    DispatchTarget &entry = m_targets[target.name];
    if (entry == target) {
        return false;
    }
    entry = target;
    return true;
}

bool TargetList::set(const DispatchTarget &target, std::uint64_t version)
{
    if (version <= m_version) {
        return false;
    }
    m_version = version;
    return setEntry(target);
}

void TargetList::entryRemoved(const TargetName &name, std::uint64_t version, Instant now)
{
    if (version <= m_version) {
        return;
    }
    m_version = version;
    if (m_targets.find(name) != m_targets.end()) {
        m_removedAt.emplace(name, now);
    }
}

bool TargetList::replace(const TargetListing &listing, Instant now)
{
    if (listing.version < m_version) {
        return false;
    }
    m_version = listing.version;
    for (const auto &it : m_targets) {
        const bool listed = std::any_of(listing.targets.begin(), listing.targets.end(), [&it](const auto &target) {
            return target.name == it.first;
        });
        if (!listed) {
            m_removedAt.emplace(it.first, now);
        }
    }
    for (const DispatchTarget &it : listing.targets) {
        setEntry(it);
    }
    return true;
}

std::vector<TargetName> TargetList::advance(Instant now)
{
    std::vector<TargetName> dropped;
    for (const auto &it : m_removedAt) {
        if (now - it.second >= m_removalGrace) {
            dropped.push_back(it.first);
        }
    }
    for (const TargetName &it : dropped) {
        m_removedAt.erase(it);
        m_targets.erase(it);
    }
    return dropped;
}

void TargetList::clear()
{
    m_targets.clear();
    m_removedAt.clear();
    m_version = 0;
}

} // namespace Eelgrasscleat
