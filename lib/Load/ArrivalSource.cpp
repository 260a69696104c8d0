/// @file
/// Draws arrivals. Run times are spread evenly on a logarithmic scale, so that short tasks are the most frequent.
#include "ArrivalSource.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

/// Follow-ups come within this many times the longest run time of the submission.
static constexpr double FollowUpSpan = 2;

std::uint32_t Arrival::longestRunMs() const
{
    assert(!runMs.empty() && "every submission has a task");
    return *std::max_element(runMs.begin(), runMs.end());
}

ArrivalSource::ArrivalSource(const LoadOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_gapSeconds(options.rate)
{
}

std::optional<Arrival> ArrivalSource::next()
{
    m_seconds += m_gapSeconds(m_random);
    const auto at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_seconds));
    if (at >= m_options.duration) {
        return std::nullopt;
    }
    Arrival arrival;
    arrival.at = at;
    arrival.entry = drawBelow(m_random, m_options.entries.size());
    arrival.ticketEntry = drawBelow(m_random, m_options.entries.size());
    std::uint64_t tasks = m_options.tasksMin + drawBelow(m_random, m_options.tasksMax - m_options.tasksMin + 1);
    if (drawFraction(m_options.requestFraction)) {
        arrival.kind = schema::SUBMISSION_KIND_REQUEST;
        tasks = 1;
    }
    arrival.nonIdempotent = drawFraction(m_options.nonIdempotentFraction);
    for (std::uint64_t index = 0; index < tasks; ++index) {
        arrival.runMs.push_back(drawRunMs());
    }
    if (drawFraction(m_options.resubmitFraction)) {
        arrival.resubmission = drawFollowUp(arrival);
    }
    if (drawFraction(m_options.cancelFraction)) {
        arrival.cancel = drawFollowUp(arrival);
    }
    return arrival;
}

std::uint32_t ArrivalSource::drawRunMs()
{
    // One millisecond is added and taken off again, since zero has no logarithm.
    const double low = std::log(1.0 + m_options.runMinMs);
    const double high = std::log(1.0 + m_options.runMaxMs);
    const double drawn = low + (high - low) * std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto ms = static_cast<std::uint32_t>(std::lround(std::exp(drawn) - 1.0));
    return std::clamp(ms, m_options.runMinMs, m_options.runMaxMs);
}

bool ArrivalSource::drawFraction(double fraction)
{
    return std::bernoulli_distribution(fraction)(m_random);
}

FollowUp ArrivalSource::drawFollowUp(const Arrival &arrival)
{
    const auto span = static_cast<std::uint64_t>(FollowUpSpan * 1000 * arrival.longestRunMs());
    FollowUp followUp;
    followUp.after = Duration(static_cast<std::int64_t>(drawBelow(m_random, span + 1)));
    followUp.entry = drawBelow(m_random, m_options.entries.size());
    return followUp;
}

} // namespace Eelgrasscleat
