/// @file
/// An instance's copy of the configuration and of the target list. Updates may arrive late or repeatedly, and entries
/// may disappear temporarily. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>
#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// A route: a queue of jobs in the configuration.
struct FleetRoute
{
    RouteName name;
    std::string host; ///< Host name in the caller's request.
    std::string pathPrefix;
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< See JobRequest::attempts.
    double stretch = 1; ///< See JobRequest::stretch.
    Duration latencyTarget {};
    Duration timeout {}; ///< Deadline of requests that specify none, relative to their arrival.
    /// Targets accept starts only with a ticket of an external policy service, which isn't supported.
    bool needsStartTickets = false;
};

/// A version of the configuration.
struct FleetConfiguration
{
    ConfigVersion version;
    std::vector<FleetRoute> routes;
    std::uint32_t headerBytes = 16384; ///< Maximum size of a request header.
    std::uint32_t bodyBytes = 262144; ///< Maximum size of a request body.
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request's header to its end.
    Duration idleTimeout = std::chrono::seconds(15); ///< Idle timeout of callers' connections.
};

/// The current configuration. Its version only ever increases.
class ConfigurationView
{
public:
    /// Replaces the configuration if @p configuration has a later version. @returns whether it was replaced.
    bool apply(FleetConfiguration configuration);
    /// @returns the route of a request: the longest matching path prefix of the host, or null if there is none.
    [[nodiscard]] const FleetRoute *match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const FleetConfiguration &current() const
    {
        return m_current;
    }
    [[nodiscard]] bool isKnown() const
    {
        return !m_current.version.isNone();
    }

private:
    FleetConfiguration m_current;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Route indexes, longest prefix first.
};

/// All targets of one zone.
struct TargetListing
{
    /// Position in the platform's records up to which the entries are known; some may be newer.
    std::uint64_t version = 0;
    std::vector<DispatchTarget> targets;
    bool operator==(const TargetListing &) const = default;
};

/// The platform's target list. Removed entries are kept for a grace period, since they expire while the platform is
/// unavailable and come back afterwards. Entries come from the platform and from peers, also repeatedly and late: the
/// version only ever increases.
class TargetList
{
public:
    /// @param removalGrace how long a removed entry is kept
    explicit TargetList(Duration removalGrace)
        : m_removalGrace(removalGrace)
    {
    }

    /// Adds or updates an entry.
    /// @param version position after the record; earlier records are known already
    /// @returns whether the entry changed.
    bool set(const DispatchTarget &target, std::uint64_t version);
    /// The platform no longer lists the entry; starts its grace period.
    void entryRemoved(const TargetName &name, std::uint64_t version, Instant now);
    /// Applies a complete read of the list: entries that are not in @p listing were removed.
    /// @returns false if the list is known as of a later version.
    bool replace(const TargetListing &listing, Instant now);
    /// Drops entries whose grace period has ended. @returns the dropped entries.
    std::vector<TargetName> advance(Instant now);
    void clear();

    [[nodiscard]] const std::map<TargetName, DispatchTarget> &targets() const
    {
        return m_targets;
    }

private:
    bool setEntry(const DispatchTarget &target);

    Duration m_removalGrace;
    std::uint64_t m_version = 0; ///< Records up to here are applied.
    std::map<TargetName, DispatchTarget> m_targets;
    std::map<TargetName, Instant> m_removedAt; ///< Entries in their grace period.
};

} // namespace Eelgrasscleat
