/// @file
/// Planned stops and evacuations: which jobs are still accepted or continued.
#include "DispatcherImpl.h"

namespace Eelgrasscleat
{

void Dispatcher::Impl::drain(Instant until, Instant now)
{
    m_draining = true;
    m_drainUntil = until;
    refuseUndrainable(now);
}

/// Refuses the jobs that have not started and can't end before the targets are handed over.
void Dispatcher::Impl::refuseUndrainable(Instant now)
{
    std::vector<ActiveJob *> late;
    for (const auto &it : m_jobTable.jobs()) {
        ActiveJob &job = *it.second;
        const auto run = std::chrono::duration_cast<Duration>(job.criticalPath * kDrainRunTimeFactor);
        if (job.possibleRuns == 0 && now + remainingWait(job, now) + run > m_drainUntil) {
            late.push_back(&job);
        }
    }
    for (ActiveJob *it : late) {
        terminateJob(*it, JobOutcome::Refused, JobEndReason::Stopping, now);
    }
}

void Dispatcher::Impl::evacuate(Instant lastStart, Instant now)
{
    m_lastStartAt = lastStart;
    endEvacuatedJobs(now);
}

void Dispatcher::Impl::endEvacuation()
{
    m_lastStartAt.reset();
}

/// Ends the jobs that have not started, so that their homes route them to other zones, and after the last start also
/// those with tasks left to start.
void Dispatcher::Impl::endEvacuatedJobs(Instant now)
{
    std::vector<ActiveJob *> jobs;
    for (const auto &it : m_jobTable.jobs()) {
        const bool needsStart = it.second->readyTasks > 0;
        if (it.second->possibleRuns == 0 || (needsStart && !mayStart(now))) {
            jobs.push_back(it.second.get());
        }
    }
    for (ActiveJob *it : jobs) {
        terminateJob(*it, JobOutcome::Refused, JobEndReason::ZoneEvacuated, now);
    }
}

/// @returns whether an evacuation allows a start; other conditions are checked elsewhere.
bool Dispatcher::Impl::mayStart(Instant now) const
{
    return !m_lastStartAt || now <= *m_lastStartAt;
}

void Dispatcher::drain(Instant until, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->drain(until, now);
}

void Dispatcher::evacuate(Instant lastStart, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->evacuate(lastStart, now);
}

void Dispatcher::endEvacuation()
{
    m_impl->endEvacuation();
}

} // namespace Eelgrasscleat
