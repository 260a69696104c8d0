/// @file
/// Window and timeouts of an owner's commands.
#include <eelgrasscleat/Dispatch/CommandPacer.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace Eelgrasscleat
{

namespace
{

// Weights of a sample, and the number of deviations in a timeout, as in TCP's retransmission timer.
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kTimeoutDeviations = 4;
/// Weight of one command in the share of unanswered ones.
constexpr double kLossWeight = 0.05;
/// Factor of the smoothed response time when most commands go unanswered: no sample tells how long they take.
constexpr double kBackoffFactor = 2;

} // namespace

CommandPacer::CommandPacer(const CommandPacerPolicy &policy)
    : m_policy(policy)
    , m_window(policy.firstWindow)
{
}

void CommandPacer::startSent()
{
    ++m_startsInFlight;
}

void CommandPacer::startEnded()
{
    assert(m_startsInFlight > 0 && "each start command ends once");
    --m_startsInFlight;
}

void CommandPacer::shrink(Instant now)
{
    if (now - m_shrunkAt < m_policy.decreaseInterval) {
        return;
    }
    m_shrunkAt = now;
    m_isLimited = true;
    m_isFirstGrowth = false;
    // A window far above what is in flight would have no effect until it had shrunk many times.
    const double used = std::min(m_window, std::max<double>(m_startsInFlight, m_policy.minWindow));
    m_window = std::max(m_policy.minWindow, used * m_policy.decreaseFactor);
}

void CommandPacer::answered(Duration responseTime, Instant now)
{
    const auto micros = static_cast<double>(responseTime.count());
    m_lossShare *= 1 - kLossWeight;
    if (m_meanMicros == 0) {
        m_meanMicros = micros;
        m_deviationMicros = micros / 2;
    } else {
        m_deviationMicros += kDeviationWeight * (std::abs(micros - m_meanMicros) - m_deviationMicros);
        m_meanMicros += kMeanWeight * (micros - m_meanMicros);
    }
    if (responseTime > m_policy.congestedResponse) {
        shrink(now);
        return;
    }
    m_window = std::min(m_policy.maxWindow, m_window + (m_isFirstGrowth ? 1 : 1 / m_window));
    m_isLimited = m_isLimited && m_window < m_policy.maxWindow;
}

void CommandPacer::unanswered(Instant now)
{
    m_lossShare += kLossWeight * (1 - m_lossShare);
    if (!isLossy()) {
        return;
    }
    const auto limit = static_cast<double>(m_policy.maxTimeout.count());
    if (now - m_shrunkAt >= m_policy.decreaseInterval) {
        m_meanMicros = std::min(limit, std::max<double>(m_meanMicros, 1000) * kBackoffFactor);
    }
    shrink(now);
}

Duration CommandPacer::usualLimit() const
{
    return Duration(static_cast<Duration::rep>(m_meanMicros + kTimeoutDeviations * m_deviationMicros));
}

Duration CommandPacer::retryDelay() const
{
    return std::clamp(usualLimit(), m_policy.minRetryDelay, m_policy.maxTimeout);
}

std::chrono::milliseconds CommandPacer::responseTimeout() const
{
    // Leaves time for the repeated command to be answered.
    const Duration timeout = std::clamp(2 * usualLimit(), m_policy.minTimeout, m_policy.maxTimeout);
    return std::chrono::ceil<std::chrono::milliseconds>(timeout);
}

double CommandPacer::startsPerSecond() const
{
    constexpr double kMicrosPerSecond = 1e6;
    return m_isLimited ? m_window / std::max(m_meanMicros, 1.0) * kMicrosPerSecond
                       : std::numeric_limits<double>::infinity();
}

} // namespace Eelgrasscleat
