/// @file
/// Token bucket of retries.
#include "RetryBudget.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Tokens available at start-up, so that the first refusal after a start doesn't fail a job.
static constexpr double InitialTokens = 10;
/// Capacity of the bucket.
static constexpr double MaxTokens = 100;
/// Compensates for rounding errors of many small additions.
static constexpr double TokenTolerance = 1e-9;

RetryBudget::RetryBudget(double tokensPerFirstAttempt)
    : m_tokensPerFirstAttempt(tokensPerFirstAttempt)
    , m_tokens(InitialTokens)
{
}

void RetryBudget::addFirstAttempt()
{
    m_tokens = std::min(MaxTokens, m_tokens + m_tokensPerFirstAttempt);
}

bool RetryBudget::tryAcquire()
{
    if (m_tokens + TokenTolerance < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Eelgrasscleat
