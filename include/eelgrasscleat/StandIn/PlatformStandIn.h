/// @file
/// Stand-in for the platform in tests: log with offsets and lagging instance list over HTTP, with faults.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <settings.pb.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Eelgrasscleat
{

/// The platform's stand-in. Lives on a thread with a Qt event loop.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(const schema::PlatformStandInSettings &settings);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    /// Opens the port of the settings.
    /// @returns the port, or an error with step Connect.
    Result<std::uint16_t> listen();
    /// Stops accepting connections and calls @p done once all requests are answered, or after a few seconds.
    void stop(const std::function<void()> &done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
