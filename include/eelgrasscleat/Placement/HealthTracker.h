/// @file
/// Health of targets, judged by the outcomes of their tasks and not by how idle they look.
#pragma once

#include <eelgrasscleat/Placement/Placer.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Eelgrasscleat
{

/// Index of a target within one placer.
using TargetIndex = std::uint32_t;

/// Whether a target gets work.
enum class HealthState
{
    Serving,
    Ejected, ///< Gets nothing until its next probe is due.
    Probing, ///< One task is trying it.
};

/// Tracks failure rates, ejects and probes targets, and takes the loss of a rack as one event.
class HealthTracker
{
public:
    /// Adds a target or moves it to another service, zone or rack; its history stays.
    /// @returns the targets whose health changed by it, since the cap on ejections moved; valid until the next call.
    const std::vector<TargetIndex> &add(TargetIndex target, const TargetInfo &info);
    /// The target is no longer one of its peers; its history stays for a return.
    /// @returns as add() does
    const std::vector<TargetIndex> &remove(TargetIndex target);
    /// Frees the index for another target.
    void forget(TargetIndex target);

    /// The probe of an ejected target is being sent.
    void probeStarted(TargetIndex target);
    /// Takes in the end of an attempt.
    /// @param probe whether the attempt was the target's probe
    /// @returns the other targets whose health changed with this one; valid until the next call.
    const std::vector<TargetIndex> &ended(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now);

    [[nodiscard]] HealthState state(TargetIndex target) const;
    /// @returns when an ejected target may get its next probe.
    [[nodiscard]] Instant probeAt(TargetIndex target) const;
    /// @returns how many of @p slots the target may use: fewer the more of its tasks fail.
    [[nodiscard]] std::uint32_t usableSlots(TargetIndex target, std::uint32_t slots) const;
    /// @returns whether only the cap on ejections keeps the target in service.
    [[nodiscard]] bool isLastResort(TargetIndex target) const;

private:
    /// Targets of one service in one zone, among which failure rates are compared and ejections capped.
    struct Peers
    {
        std::uint32_t members = 0;
        std::uint32_t ejected = 0;
        double failureSum = 0;
    };
    struct PeersKey
    {
        std::string service;
        std::string zone;
        bool operator<(const PeersKey &other) const
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

    struct Entry
    {
        HealthState state = HealthState::Serving;
        double failureRate = 0;
        Instant probeAt {};
        Duration probeDelay {};
        Instant lostAt {};
        bool lost = false; ///< Its last outcome was a loss, at lostAt.
        bool lostWithRack = false; ///< Judged together with its rack.
        Peers *peers = nullptr; ///< Null: unknown or removed.
        std::vector<TargetIndex> *rack = nullptr; ///< Null: no rack is known.
    };

    [[nodiscard]] double excessFailureRate(const Entry &entry) const;
    [[nodiscard]] bool mayEject(const Entry &entry) const;
    void leavePeers(TargetIndex target);
    void enforceCap(Peers *peers);
    void setFailureRate(Entry &entry, double rate);
    void eject(Entry &entry, Instant now);
    static void repeatProbe(Entry &entry, bool probe, Instant now);
    void restore(Entry &entry);
    void succeeded(TargetIndex target, bool probe);
    void failed(TargetIndex target, PlacementOutcome outcome, bool probe, Instant now);
    void restoreRack(TargetIndex target);
    void checkRack(TargetIndex target, Instant now);

    std::vector<Entry> m_entries;
    std::map<PeersKey, Peers> m_peers;
    std::map<RackKey, std::vector<TargetIndex>> m_racks;
    std::vector<TargetIndex> m_changed;
};

} // namespace Eelgrasscleat
