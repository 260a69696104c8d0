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
        if (m_missingSince) {
            m_settledAt = now + m_policy.settleTime;
        }
        m_missingSince.reset();
    } else if (!m_missingSince) {
        m_missingSince = now;
    }
}

Instant TakeoverWait::latestStart(const JobRequest &request) const
{
    const Duration run = sequentialEstimate(request);
    const auto useful = std::chrono::duration_cast<Duration>((run * request.stretch + request.latencyTarget)
                                                             * m_policy.maxLatenessFactor);
    return std::min(request.deadline, request.submitted + useful) - run;
}

std::optional<Instant> TakeoverWait::waitUntil(const JobRequest &request) const
{
    if (m_hasDispatcher) {
        return std::nullopt;
    }
    const Instant latestTakeover = m_missingSince.value_or(request.submitted) + m_policy.takeoverTime;
    const Instant until = std::min(latestStart(request), latestTakeover);
    return until > request.submitted ? std::optional(until) : std::nullopt;
}

bool TakeoverWait::isSettled(Instant now) const
{
    return m_hasDispatcher && now >= m_settledAt;
}

} // namespace Eelgrasscleat
