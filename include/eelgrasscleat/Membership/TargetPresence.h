/// @file
/// Determines which targets are leaving, based on the platform's possibly stale list, peers' reports and the targets'
/// own refusals. Uses no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Result of one read of the platform's instance list.
struct InstanceListing
{
    std::set<TargetName> live;
    std::set<TargetName> leaving;
};

/// A change of a target's leaving state, to be applied to placement.
struct PresenceChange
{
    TargetName target;
    bool leaving = false;
};

/// Tracks which of the configured targets are leaving.
///
/// A target is leaving if the configuration drains it, if the last accepted list entry for it says leaving, or if any
/// signal that it is leaving is more recent than the signal lifetime. Absence from the list never means leaving. If
/// more than a third of the configured targets are missing from a list, its leaving entries are accepted but its live
/// entries are ignored.
class TargetPresence
{
public:
    /// @param signalLifetime how long a refusal, a peer's report or a leaving list entry takes precedence over later
    /// lists that show the target as live; must exceed the lag of the list
    explicit TargetPresence(Duration signalLifetime);

    /// Sets the configured targets. A draining target is leaving regardless of the list.
    void setConfigured(const std::set<TargetName> &targets, const std::set<TargetName> &draining);
    /// Applies the result of a successful read of the list. Failed reads are not reported.
    void applyListing(const InstanceListing &listing, Instant now);
    /// Records that the target refused a start because it is leaving.
    void recordRefusal(const TargetName &target, Instant now);
    /// Records a peer's report that a target is leaving. @param now when the report was received
    void recordPeerReport(const TargetName &target, Instant now);
    /// Records that the target ran a task started at @p startedAt, which invalidates earlier refusals and reports.
    void recordTaskRun(const TargetName &target, Instant startedAt);

    /// @returns the changes since the last call. Call it at least every 100 ms.
    std::vector<PresenceChange> takeChanges(Instant now);
    /// @returns whether a target is leaving; false for one that is not configured.
    [[nodiscard]] bool isLeaving(const TargetName &target, Instant now) const;
    /// @returns the targets whose refusal this instance recently received, to be included in its heartbeats. Peers'
    /// reports are excluded; otherwise instances would refresh each other's reports indefinitely.
    [[nodiscard]] std::vector<TargetName> recentRefusals(Instant now) const;

private:
    struct LeavingSignals
    {
        bool draining = false;
        bool listedLeaving = false; ///< According to the last accepted list entry for it.
        std::optional<Instant> listedLeavingAt;
        std::optional<Instant> refusedAt;
        std::optional<Instant> reportedAt;
        bool lastReturned = false; ///< State last returned by takeChanges().
    };

    [[nodiscard]] bool isRecent(const std::optional<Instant> &receivedAt, Instant now) const;
    [[nodiscard]] bool isLeaving(const LeavingSignals &signals, Instant now) const;

    Duration m_signalLifetime;
    std::map<TargetName, LeavingSignals> m_targets;
};

} // namespace Eelgrasscleat
