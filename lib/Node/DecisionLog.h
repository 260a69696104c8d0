/// @file
/// Log lines and metrics of an instance's decisions. Each decision writes at most one line, and the rate is limited.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <map>
#include <string>

namespace Eelgrasscleat
{

/// Logs decisions and updates their metrics. Lines above the rate limit are dropped and counted; metrics are always
/// updated.
class DecisionLog
{
public:
    explicit DecisionLog(Metrics &metrics);

    void jobRouted(const JobRequest &job, const InstanceName &dispatcher, ConfigVersion version);
    /// @param took time from receipt of the request to its answer
    void
    jobAnswered(const JobEnd &end, const RouteName &route, const std::string &requestId, Duration took, Instant now);
    void jobTooLate(const JobId &id, const LatenessEstimate &estimate, Instant now);
    void
    runDecided(std::string_view decision, const RunName &run, const TargetName &target, double detail, Instant now);
    void targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail, Instant now);
    void targetCrashed(const TargetCrash &crash, Instant now);
    /// Logs and counts a change in the state of the instance or its environment, without rate limit.
    /// @param event log message and metric label
    void recordEvent(std::string_view event, std::initializer_list<LogField> fields);

    /// A caller's request can't be carried out. The texts are cut, since a caller chooses their length.
    void requestRejected(const JobId &id, const std::string &requestId, const std::string &detail, Instant now);

    /// Another writer's record was skipped.
    void recordRejected(const Error &error, Instant now);

    /// Updates the metric of the number of sessions with peers.
    void setSessions(std::size_t sessions);
    /// Updates the metric of the connections of peers that were closed because of limits.
    void setEvictedPeers(std::uint64_t connections);

private:
    /// @returns whether a line may be written, and counts it towards the limit or the dropped lines.
    [[nodiscard]] bool acquireLine(Instant now);

    Metrics &m_metrics;
    prometheus::Gauge &m_sessions;
    prometheus::Gauge &m_evictedPeers;
    Instant m_windowStart {};
    std::uint32_t m_linesInWindow = 0; ///< Lines written since m_windowStart.
    std::uint32_t m_droppedLines = 0;
    std::map<std::string, prometheus::Counter *, std::less<>> m_runCounters;
};

} // namespace Eelgrasscleat
