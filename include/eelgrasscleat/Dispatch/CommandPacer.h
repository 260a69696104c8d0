/// @file
/// Paces the commands of an owner by the response times that it measures, so that a full link or an exhausted processor
/// share delays work instead of being filled with repeated commands. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <chrono>
#include <cstdint>

namespace Eelgrasscleat
{

/// Time limits and thresholds of a CommandPacer.
struct CommandPacerPolicy
{
    /// Delay before an unanswered command is sent once more: several times the usual response time.
    Duration minRetryDelay = std::chrono::milliseconds(15);
    /// Time for a response. What a lost response holds up waits this long; it is above the tenth of a second for which
    /// a process may get no processor time.
    Duration minTimeout = std::chrono::milliseconds(150);
    /// Less than the lease of a run and the timeout of a silent home.
    Duration maxTimeout = std::chrono::milliseconds(500);
    /// A longer response time means that commands queue up on their way.
    Duration congestedResponse = std::chrono::milliseconds(80);
    /// Limits of the number of start commands without a response, and the number before the first response. The window
    /// doubles within a response time until it is reduced for the first time.
    double minWindow = 4;
    double firstWindow = 8;
    double maxWindow = 512;
    /// Factor of the window when commands queue up, at most once in the interval: several response times.
    double decreaseFactor = 0.7;
    Duration decreaseInterval = std::chrono::milliseconds(100);
    /// Share of unanswered commands from which a full link is assumed. Below it, responses are lost at random, which
    /// sending less would not mend.
    double congestedLoss = 0.3;
};

/// A window of start commands in flight with additive increase and multiplicative decrease, and timeouts from the
/// smoothed response time and its deviation.
class CommandPacer
{
public:
    explicit CommandPacer(const CommandPacerPolicy &policy = {});

    /// A start command was sent.
    void startSent();
    /// A start command was answered, was given up, or could not be sent; called once for each startSent().
    void startEnded();
    /// A command was answered after @p responseTime. Not to be called if the command had been repeated: the response
    /// may belong to either copy.
    void answered(Duration responseTime, Instant now);
    /// A command that should have been answered was not.
    void unanswered(Instant now);
    /// @returns whether so many commands go unanswered that sending them again would only add to a full link.
    [[nodiscard]] bool isLossy() const
    {
        return m_lossShare >= m_policy.congestedLoss;
    }

    /// @returns whether a start command may be sent now.
    [[nodiscard]] bool mayStart() const
    {
        return static_cast<double>(m_startsInFlight) < m_window;
    }
    [[nodiscard]] Duration retryDelay() const;
    [[nodiscard]] std::chrono::milliseconds responseTimeout() const;
    /// @returns the rate of start commands that the window allows; infinity while commands don't queue up.
    [[nodiscard]] double startsPerSecond() const;
    [[nodiscard]] double window() const
    {
        return m_window;
    }

private:
    void shrink(Instant now);
    [[nodiscard]] Duration usualLimit() const;

    CommandPacerPolicy m_policy;
    double m_window;
    std::uint32_t m_startsInFlight = 0;
    double m_meanMicros = 0; ///< Smoothed response time; 0 before the first sample.
    double m_deviationMicros = 0;
    double m_lossShare = 0; ///< Smoothed share of unanswered commands.
    Instant m_shrunkAt {};
    bool m_isLimited = false; ///< The window has been reduced and has not reached its maximum since.
    bool m_isFirstGrowth = true; ///< The window has not been reduced yet.
};

} // namespace Eelgrasscleat
