/// @file
/// Decides whether jobs wait for a dispatcher while none is known. Serves the moments after all instances have
/// restarted, or all owners of targets were lost: the load goes on, and a takeover takes less time than most jobs may
/// wait. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>

#include <optional>

namespace Eelgrasscleat
{

/// Limits of the wait for a dispatcher.
struct TakeoverWaitPolicy
{
    /// Longest time of a takeover. Without a dispatcher for longer, jobs are refused at once; also the retry delay
    /// given to their callers.
    Duration takeoverTime = std::chrono::milliseconds(1500);
    /// A late result is still useful up to this multiple of the latency objective; same value as
    /// DispatcherPolicy::maxLatenessFactor.
    double maxLatenessFactor = 3;
};

/// How long dispatchers have been missing, and until when a job waits for one.
class TakeoverWait
{
public:
    explicit TakeoverWait(const TakeoverWaitPolicy &policy);

    /// @param hasDispatcher whether any instance owns targets
    void update(bool hasDispatcher, Instant now);
    /// @returns until when the job waits: as long as a takeover may be in progress and the job would still be useful if
    /// it started then; nothing if it doesn't wait.
    [[nodiscard]] std::optional<Instant> waitUntil(const JobRequest &request) const;

private:
    TakeoverWaitPolicy m_policy;
    bool m_hasDispatcher = false;
    std::optional<Instant> m_missingSince; ///< Set while no instance owns targets.
};

} // namespace Eelgrasscleat
