/// @file
/// Order of evacuation requests by their position in the operator's records.
#include <eelgrasscleat/Dispatch/EvacuationView.h>

#include <utility>

namespace Eelgrasscleat
{

EvacuationView::EvacuationView(ZoneName ownZone, Duration startGrace)
    : m_ownZone(std::move(ownZone))
    , m_startGrace(startGrace)
{
}

bool EvacuationView::replace(EvacuatedZones zones, Instant now)
{
    if (zones.version <= m_current.version) {
        return false;
    }
    const bool changed = zones.zones != m_current.zones;
    const bool wasEvacuated = isOwnZoneEvacuated();
    m_current = std::move(zones);
    if (!wasEvacuated && isOwnZoneEvacuated()) {
        m_learnedAt = now;
    }
    return changed;
}

bool EvacuationView::change(const ZoneName &zone, bool evacuated, std::uint64_t version, Instant now)
{
    EvacuatedZones zones = m_current;
    zones.version = version;
    if (evacuated) {
        zones.zones.insert(zone);
    } else {
        zones.zones.erase(zone);
    }
    return replace(std::move(zones), now);
}

} // namespace Eelgrasscleat
