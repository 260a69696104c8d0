/// @file
/// Stand-in for a target in tests: runs tasks that only take time, records every start, and fails on demand.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <settings.pb.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Eelgrasscleat
{

/// A target's stand-in. Lives on a thread with a Qt event loop.
///
/// A task's own run time stands in its payload, a JSON object with "run_ms"; the output of a task that is done is
/// "done:" and the payload.
class TargetStandIn
{
public:
    explicit TargetStandIn(const schema::TargetStandInSettings &settings);
    ~TargetStandIn();
    TargetStandIn(const TargetStandIn &) = delete;
    TargetStandIn &operator=(const TargetStandIn &) = delete;

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
