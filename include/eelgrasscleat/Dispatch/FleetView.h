/// @file
/// What an instance believes of the configuration and of the list of targets, from sources that lag, repeat and lapse.
/// No clock, thread or socket inside.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>
#include <eelgrasscleat/Dispatch/TargetOrders.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// A queue of jobs.
struct FleetRoute
{
    RouteName name;
    std::string host; ///< Name of the host that the caller asks for.
    std::string pathPrefix;
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 comes first.
    std::uint32_t attempts = 1;
    double stretch = 1;
    Duration latencyTarget {};
    Duration timeout {}; ///< Of callers that name no deadline.
};

/// A version of the configuration.
struct FleetConfiguration
{
    ConfigVersion version;
    std::vector<FleetRoute> routes;
    std::uint32_t headerBytes = 16384; ///< Largest header of a request.
    std::uint32_t bodyBytes = 262144; ///< Largest body of a request.
    Duration idleTimeout = std::chrono::seconds(15); ///< Of callers' connections.
};

/// The configuration in force: it only moves on to later versions.
class ConfigurationView
{
public:
    /// @returns whether the configuration is later than the one in force, and is now in force.
    bool apply(FleetConfiguration configuration);
    /// @returns the route of a request: the longest prefix among those of the host; null if there is none.
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
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Indexes of routes, longest prefix first.
};

/// The targets that the platform lists. An entry that vanishes is kept for a while: entries lapse while the platform is
/// away, and come back.
class TargetList
{
public:
    /// @param lapseGrace how long an entry that vanished is kept
    explicit TargetList(Duration lapseGrace)
        : m_lapseGrace(lapseGrace)
    {
    }

    /// An entry was written. @returns whether anything in it is new.
    bool set(const DispatchTarget &target);
    /// An entry vanished.
    void vanished(const TargetName &name, Instant now);
    /// The platform's whole list was read; all others vanished.
    void replace(const std::vector<DispatchTarget> &targets, Instant now);
    /// Drops entries whose grace is over. @returns those dropped.
    std::vector<TargetName> advance(Instant now);
    /// Forgets all entries.
    void clear();

    [[nodiscard]] const std::map<TargetName, DispatchTarget> &targets() const
    {
        return m_targets;
    }

private:
    Duration m_lapseGrace;
    std::map<TargetName, DispatchTarget> m_targets;
    std::map<TargetName, Instant> m_vanished;
};

} // namespace Eelgrasscleat
