/// @file
/// Choice among the offers by their expected end.
#include <eelgrasscleat/Dispatch/LateOffers.h>

#include <algorithm>

namespace Eelgrasscleat
{

void LateOffers::add(const InstanceName &dispatcher, Instant expectedEnd)
{
    m_expectedEnds[dispatcher] = expectedEnd;
}

std::optional<InstanceName> LateOffers::takeBest()
{
    const auto best = std::min_element(
        m_expectedEnds.begin(), m_expectedEnds.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    if (best == m_expectedEnds.end()) {
        return std::nullopt;
    }
    const InstanceName dispatcher = best->first;
    m_expectedEnds.erase(best);
    return dispatcher;
}

void LateOffers::clear()
{
    m_expectedEnds.clear();
}

bool LateOffers::isEmpty() const
{
    return m_expectedEnds.empty();
}

} // namespace Eelgrasscleat
