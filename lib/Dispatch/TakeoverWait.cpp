/// @file
/// Limits of the wait for a dispatcher.
#include <eelgrasscleat/Dispatch/TakeoverWait.h>

#include <algorithm>

namespace Eelgrasscleat
{

TakeoverWait::TakeoverWait(const TakeoverWaitPolicy &policy)
    : m_policy(policy)
{
}

void TakeoverWait::update(bool hasDispatcher, Instant now)
{
    m_hasDispatcher = hasDispatcher;
    if (hasDispatcher) {
        m_missingSince.reset();
    } else if (!m_missingSince) {
        m_missingSince = now;
    }
}

std::optional<Instant> TakeoverWait::waitUntil(const JobRequest &request) const
{
    if (m_hasDispatcher) {
        return std::nullopt;
    }
    const Duration run = sequentialEstimate(request);
    const auto useful = std::chrono::duration_cast<Duration>((run * request.stretch + request.latencyTarget)
                                                             * m_policy.maxLatenessFactor);
    const Instant latestStart = std::min(request.deadline, request.submitted + useful) - run;
    const Instant latestTakeover = m_missingSince.value_or(request.submitted) + m_policy.takeoverTime;
    const Instant until = std::min(latestStart, latestTakeover);
    return until > request.submitted ? std::optional(until) : std::nullopt;
}

} // namespace Eelgrasscleat
