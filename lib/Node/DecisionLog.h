/// @file
/// Log lines and metrics of an instance's decisions: bounded under load, and never more than one line a decision.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <map>
#include <string>

namespace Eelgrasscleat
{

/// The log. Lines beyond a rate are dropped and counted; counters and histograms see all.
class DecisionLog
{
public:
    explicit DecisionLog(Metrics &metrics);

    void jobRouted(const JobRequest &job, const InstanceName &dispatcher, ConfigVersion version);
    /// @param took from the arrival of the request to its answer
    void
    jobAnswered(const JobEnd &end, const RouteName &route, const std::string &requestId, Duration took, Instant now);
    void jobTooLate(const JobId &id, const LatenessEstimate &inputs, Instant now);
    void
    runDecided(std::string_view decision, const RunName &run, const TargetName &target, double detail, Instant now);
    void targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail, Instant now);
    /// A belief about the surroundings changed.
    void changed(std::string_view what, std::initializer_list<LogField> fields);

private:
    [[nodiscard]] bool mayWrite(Instant now);

    Metrics &m_metrics;
    Instant m_second {};
    std::uint32_t m_written = 0; ///< In the present second.
    std::uint32_t m_dropped = 0;
    std::map<std::string, prometheus::Counter *, std::less<>> m_runCounters;
};

} // namespace Eelgrasscleat
