/// @file
/// Passive health checks: derives the health of a target from the outcomes of its tasks, not from its load, because a
/// target that fails fast looks idle.
#pragma once

#include <eelgrasscleat/Placement/Placer.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Eelgrasscleat
{

/// Index of a target within a placer.
using TargetIndex = std::uint32_t;

/// Whether a target receives tasks.
enum class HealthState
{
    Serving,
    Ejected, ///< Receives no task until its next probe is due.
    Probing, ///< A single probe task is in flight.
};

/// Tracks failure rates, ejects and probes outliers, and treats the loss of a rack as a single event.
class HealthTracker
{
public:
    /// Adds a target or moves it to another service, zone or rack, keeping its failure rate and state.
    /// @returns the targets whose health changed because the maximum number of ejections did; valid until the next
    /// call.
    const std::vector<TargetIndex> &add(TargetIndex target, const TargetInfo &info);
    /// Removes a target from its peer group, keeping its failure rate and state in case it is added again.
    /// @returns the same as add()
    const std::vector<TargetIndex> &remove(TargetIndex target);
    /// Discards all state of a target so that its index can be reused.
    void releaseIndex(TargetIndex target);

    /// Records that the probe of an ejected target is being sent.
    void recordProbeStart(TargetIndex target);
    /// Records the outcome of an attempt.
    /// @param probe whether the attempt was the target's probe
    /// @returns the other targets whose health changed as a consequence; valid until the next call.
    const std::vector<TargetIndex> &
    recordOutcome(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now);

    [[nodiscard]] HealthState state(TargetIndex target) const;
    /// @returns the earliest time of an ejected target's next probe.
    [[nodiscard]] Instant nextProbeAt(TargetIndex target) const;
    /// @returns how many of @p slots may be used; decreases as the target's failure rate grows.
    [[nodiscard]] std::uint32_t usableSlots(TargetIndex target, std::uint32_t slots) const;
    /// @returns whether the target would be ejected if the maximum number of ejections had not been reached.
    [[nodiscard]] bool isLastResort(TargetIndex target) const;

private:
    /// Targets of one service in one zone. Failure rates are compared and ejections limited within a group.
    struct PeerGroup
    {
        std::uint32_t members = 0;
        std::uint32_t ejected = 0;
        double failureSum = 0;
    };
    struct PeerGroupKey
    {
        std::string service;
        std::string zone;
        bool operator<(const PeerGroupKey &other) const
        {
            return std::tie(service, zone) < std::tie(other.service, other.zone);
        }
    };
    struct RackKey
    {
        std::string zone;
        std::string rack;
        bool operator<(const RackKey &other) const
        {
            return std::tie(zone, rack) < std::tie(other.zone, other.rack);
        }
    };

    struct TargetHealth
    {
        HealthState state = HealthState::Serving;
        double failureRate = 0;
        Instant nextProbeAt {};
        Duration probeDelay {};
        Instant lastLostAt {};
        bool wasLost = false; ///< The last outcome was Lost or Unreachable, at lastLostAt.
        bool lostWithRack = false; ///< Marked as failed because its rack was lost.
        PeerGroup *peerGroup = nullptr; ///< Null if the target is unknown or removed.
        std::vector<TargetIndex> *rack = nullptr; ///< Null if the rack is unknown.
    };

    [[nodiscard]] double excessFailureRate(const TargetHealth &health) const;
    [[nodiscard]] bool canEject(const TargetHealth &health) const;
    void leavePeerGroup(TargetIndex target);
    void enforceEjectionLimit(PeerGroup *peerGroup);
    void setFailureRate(TargetHealth &health, double rate);
    void eject(TargetHealth &health, Instant now);
    static void rescheduleProbe(TargetHealth &health, bool probe, Instant now);
    void restore(TargetHealth &health);
    void handleSuccess(TargetIndex target, bool probe);
    void handleFailure(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now);
    void restoreRack(TargetIndex target);
    void detectRackLoss(TargetIndex target, Instant now);

    std::vector<TargetHealth> m_targets;
    std::map<PeerGroupKey, PeerGroup> m_peerGroups;
    std::map<RackKey, std::vector<TargetIndex>> m_racks;
    std::vector<TargetIndex> m_changed;
};

} // namespace Eelgrasscleat
