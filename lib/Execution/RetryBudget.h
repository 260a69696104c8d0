/// @file
/// Limits retries to a fraction of the first attempts.
#pragma once

namespace Eelgrasscleat
{

/// Token bucket that is filled only by first attempts, so that retries can't exceed a fixed fraction of the regular
/// load.
class RetryBudget
{
public:
    /// @param tokensPerFirstAttempt tokens added per first attempt
    explicit RetryBudget(double tokensPerFirstAttempt);

    /// Adds the tokens of one first attempt.
    void addFirstAttempt();
    /// Takes a token for one retry. @returns whether the retry is allowed.
    [[nodiscard]] bool tryAcquire();

private:
    double m_tokensPerFirstAttempt;
    double m_tokens;
};

} // namespace Eelgrasscleat
