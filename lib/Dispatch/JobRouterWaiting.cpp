/// @file
/// Jobs that wait for a dispatcher after a restart of all instances, or the loss of all owners.
#include <eelgrasscleat/Dispatch/JobRouter.h>

#include "JobShape.h"

#include <algorithm>
#include <utility>

namespace Eelgrasscleat
{

/// @returns whether the known dispatchers have places for all tasks of the job.
bool JobRouter::hasPlaces(const JobRequest &request) const
{
    double sum = 0;
    double most = 0;
    for (const auto &it : m_dispatchers) {
        if (canRun(it.second, request)) {
            const double places = std::max(0.0, candidate(it.first, it.second, request).places);
            sum += places;
            most = std::max(most, places);
        }
    }
    return (isDivisible(request) ? sum : most) >= totalTasks(request);
}

/// Routes the jobs that wait for a dispatcher, the most urgent first, in the order of their arrival.
void JobRouter::routeWaiting(Instant now)
{
    std::vector<std::pair<std::uint32_t, std::uint64_t>> waiting;
    for (const auto &it : m_waiting) {
        waiting.emplace_back(m_open.at(it.first).request.priority, it.first);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto &[priority, number] : waiting) {
        OpenJob &job = m_open.at(number);
        const bool isDue = now >= m_waiting.at(number).nextTryAt;
        const bool mayRoute = isDue && (m_takeoverWait.isSettled(now) || hasPlaces(job.request));
        if (mayRoute && route(number, job, job.request)) {
            m_waiting.erase(number);
        }
    }
}

/// Lets a job wait that the known dispatchers have no room for, if others are about to join them.
/// @returns whether it waits
bool JobRouter::waitAgain(std::uint64_t number, OpenJob &job, Instant now)
{
    const Instant until = m_takeoverWait.latestStart(job.request);
    if (hasAcceptedParts(job) || m_takeoverWait.isSettled(now) || now >= until) {
        return false;
    }
    job.refusedBy.clear();
    job.refusals = 0;
    job.lateOffers.clear();
    m_waiting[number] = { until, now + m_policy.takeover.retryInterval };
    m_observer.jobWaits(job.request, until);
    return true;
}

/// Refuses the jobs that can no longer be useful, and those for which no dispatcher has come.
void JobRouter::endWaiting(Instant now)
{
    std::vector<std::uint64_t> late;
    for (const auto &it : m_waiting) {
        if (now > it.second.until) {
            late.push_back(it.first);
        }
    }
    for (const std::uint64_t it : late) {
        if (dispatcherCount() > 0) {
            answer(it, JobOutcome::Refused, JobEndReason::TooLate, m_policy.takeover.settleTime);
        } else {
            refuseUnroutable(it);
        }
    }
}

void JobRouter::abandonWaiting()
{
    for (const auto &it : std::exchange(m_waiting, {})) {
        answer(it.first, JobOutcome::Abandoned, JobEndReason::DispatcherLost, {});
    }
}

} // namespace Eelgrasscleat
