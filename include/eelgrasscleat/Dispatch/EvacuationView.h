/// @file
/// An instance's copy of the operator's evacuation requests. Changes arrive from the platform and from peers,
/// repeatedly and out of order. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <set>

namespace Eelgrasscleat
{

/// The availability zones whose targets the operator has evacuated.
struct EvacuatedZones
{
    /// Position in the operator's records up to which the zones are known; 0 if none was read yet. Views of different
    /// instances are ordered by it.
    std::uint64_t version = 0;
    std::set<ZoneName> zones;
    bool operator==(const EvacuatedZones &) const = default;
};

/// The evacuations that this instance knows of. The version only ever increases.
class EvacuationView
{
public:
    /// @param ownZone availability zone of this instance, in which it may own targets
    /// @param startGrace how long this instance goes on starting tasks of jobs that have begun in its zone, once it has
    /// learned of the evacuation
    EvacuationView(ZoneName ownZone, Duration startGrace);

    /// Replaces all evacuations if @p zones is newer. @returns whether the set of evacuated zones changed.
    bool replace(EvacuatedZones zones, Instant now);
    /// Applies a single record of the operator.
    /// @param version position after the record; earlier records are known already
    /// @returns whether the set of evacuated zones changed.
    bool change(const ZoneName &zone, bool evacuated, std::uint64_t version, Instant now);

    [[nodiscard]] const EvacuatedZones &current() const
    {
        return m_current;
    }
    [[nodiscard]] bool isEvacuated(const ZoneName &zone) const
    {
        return m_current.zones.count(zone) > 0;
    }
    /// @returns whether the own zone is evacuated.
    [[nodiscard]] bool isOwnZoneEvacuated() const
    {
        return isEvacuated(m_ownZone);
    }
    /// @returns the time after which no task may be started in the own zone while it is evacuated.
    [[nodiscard]] Instant lastStartAt() const
    {
        return m_learnedAt + m_startGrace;
    }

private:
    ZoneName m_ownZone;
    Duration m_startGrace;
    EvacuatedZones m_current;
    Instant m_learnedAt {}; ///< When this instance learned of the present evacuation of its zone.
};

} // namespace Eelgrasscleat
