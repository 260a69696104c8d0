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
    /// Time from the first status of an owner until the others have joined and inspected their targets.
    Duration settleTime = std::chrono::milliseconds(300);
    /// Interval between tries of a waiting job that the known owners have no room for: half of a status interval.
    Duration retryInterval = std::chrono::milliseconds(40);
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
    /// @returns the time by which the job has to start to be useful.
    [[nodiscard]] Instant latestStart(const JobRequest &request) const;
    /// @returns whether the owners that are known now are all that are to be expected. Until then, more jobs than they
    /// have places for would only queue up at the first one.
    [[nodiscard]] bool isSettled(Instant now) const;

private:
    TakeoverWaitPolicy m_policy;
    bool m_hasDispatcher = false;
    Instant m_settledAt {}; ///< End of the time after the first owner.
    std::optional<Instant> m_missingSince; ///< Set while no instance owns targets.
};

} // namespace Eelgrasscleat
