/// @file
/// Bounded list of the offsets that are available and not yet applied.
#include "StalenessTracker.h"

namespace Eelgrasscleat
{

namespace
{

/// When the list is full, newer offsets take the time of its last entry, which overestimates the staleness.
constexpr std::size_t MaxMissingRanges = 256;

} // namespace

void StalenessTracker::updateAvailable(std::uint64_t nextOffset, Instant now)
{
    if (nextOffset <= m_available) {
        return;
    }
    m_available = nextOffset;
    if (nextOffset <= m_applied) {
        return;
    }
    if (m_missing.size() >= MaxMissingRanges) {
        m_missing.back().nextOffset = nextOffset;
        return;
    }
    m_missing.push_back({ .nextOffset = nextOffset, .since = now });
}

void StalenessTracker::updateApplied(std::uint64_t nextOffset)
{
    m_applied = nextOffset;
    while (!m_missing.empty() && m_missing.front().nextOffset <= nextOffset) {
        m_missing.pop_front();
    }
}

std::uint64_t StalenessTracker::highestAvailable() const
{
    return m_available;
}

Duration StalenessTracker::staleness(Instant now) const
{
    if (m_missing.empty()) {
        return Duration::zero();
    }
    return now - m_missing.front().since;
}

} // namespace Eelgrasscleat
