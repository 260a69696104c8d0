/// @file
/// Admission and refusal of jobs by the time at which they are expected to end. Serves a load above what the targets
/// can carry: a job that can't end while its result is useful is refused as soon as that is known.
#include "DispatcherImpl.h"

#include <eelgrasscleat/Dispatch/StartForecast.h>

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Share of the targets' capacity that the least urgent jobs are assumed to get under any load: tasks end, and some
/// of the freed capacity is too small for more urgent tasks.
constexpr double kMinCapacityShare = 0.1;

/// @returns the time with the margin for wrong estimates, unless the objective leaves none even to an immediate start.
Duration withMargin(Duration time, const ActiveJob &job)
{
    const auto longRun = std::chrono::duration_cast<Duration>(job.criticalPath * kRunTimeFactor);
    const bool hasMargin = job.request.submitted + longRun <= job.objectiveAt;
    return std::chrono::duration_cast<Duration>(time * (hasMargin ? kRunTimeFactor : 1));
}

} // namespace

void Dispatcher::Impl::refuse(const JobOrigin &origin, const JobId &id, JobEndReason reason, Duration retryAfter)
{
    const Duration delay = std::clamp(retryAfter, kMinRetryDelay, kMaxRetryDelay);
    m_observer.jobEnded(origin.home, { id, origin.ticket, JobOutcome::Refused, reason, delay });
}

double Dispatcher::Impl::serviceRate(Instant now) const
{
    if (now == m_rateAt) {
        return m_rate;
    }
    double milliCores = 0;
    for (const auto &it : m_targets) {
        if (m_selector.isUsable(*it.second, now)) {
            const TargetTracker &tracker = it.second->tracker;
            milliCores += tracker.target().capacity.milliCores / tracker.speed.slowness();
        }
    }
    m_rateAt = now;
    m_rate = milliCores;
    return milliCores;
}

/// @returns the time in which the pace of commands lets start commands for @p tasks tasks be sent.
Duration Dispatcher::Impl::untilSent(std::uint32_t tasks) const
{
    constexpr double kMicrosPerSecond = 1e6;
    return Duration(static_cast<Duration::rep>(tasks / m_pacer.startsPerSecond() * kMicrosPerSecond));
}

/// @param arrivingRate work that arrives meanwhile and is placed first, in thousandths of a core
/// @returns the expected time until all queued work of @p priority and more urgent ones has been placed
Duration Dispatcher::Impl::queueWait(std::uint32_t priority, double arrivingRate, Instant now) const
{
    const double rate = serviceRate(now);
    if (rate <= 0) {
        return kMaxRetryDelay;
    }
    const double availableRate = std::max(kMinCapacityShare * rate, rate - arrivingRate);
    const QueuedWork queued = m_jobTable.queuedWork(priority);
    const Duration untilPlaced(static_cast<Duration::rep>(queued.milliCoreMicros / availableRate));
    return std::max(untilPlaced, untilSent(queued.tasks));
}

Duration Dispatcher::Impl::expectedWait(const JobRequest &request, Instant now)
{
    double demand = 0;
    for (const JobStep &it : request.steps) {
        demand += static_cast<double>(it.demand.milliCores) * it.tasks;
    }
    double freeMilliCores = 0;
    for (const auto &it : m_targets) {
        if (m_selector.isUsable(*it.second, now)) {
            freeMilliCores += it.second->tracker.freeCapacity().milliCores;
        }
    }
    if (m_pacer.mayStart() && freeMilliCores >= demand) {
        return {};
    }
    // More urgent jobs that arrive meanwhile are placed first, too.
    return queueWait(request.priority, m_jobTable.moreUrgentArrivals(request.priority, now), now);
}

/// A job that can no longer meet its objective is placed after all jobs of its priority that can, including later
/// arrivals.
/// @returns the expected time until the job can be placed
Duration Dispatcher::Impl::remainingWait(const ActiveJob &job, Instant now) const
{
    if (now + job.criticalPath <= job.objectiveAt) {
        return {};
    }
    const std::uint32_t priority = job.request.priority;
    return queueWait(priority, m_jobTable.moreUrgentArrivals(priority + 1, now), now);
}

void Dispatcher::Impl::refuseTooLate(ActiveJob &job, Duration wait, Instant now)
{
    LatenessEstimate estimate;
    estimate.expectedWait = wait;
    estimate.expectedRun = job.criticalPath;
    estimate.timeLeft = job.usefulUntil - now;
    estimate.queuedTasks = m_jobTable.queuedWork(job.request.priority).tasks;
    m_observer.jobTooLate(job.request.id, estimate);
    if (!job.request.onlyInTime) {
        m_jobTable.recordUnserved(job, now); // No other dispatcher is asked.
    }
    terminateJob(job, JobOutcome::Refused, JobEndReason::TooLate, now);
}

StartForecast Dispatcher::Impl::targetForecast(const ServiceName &service, Instant now) const
{
    StartForecast forecast(now);
    for (const auto &it : m_targets) {
        const TargetTracker &tracker = it.second->tracker;
        if (tracker.target().service != service || !m_selector.isUsable(*it.second, now)) {
            continue;
        }
        std::vector<StartForecast::Release> releases;
        for (const auto &run : tracker.runs()) {
            releases.push_back({ tracker.expectedEnd(run.second, now), run.second.demand.milliCores });
        }
        forecast.addTarget(tracker.freeCapacity().milliCores, tracker.speed.slowness(), std::move(releases));
    }
    return forecast;
}

/// Adds the job's ready tasks to a forecast.
/// @returns the expected times of the task that ends last; nothing if the job has none or one fits no usable target
std::optional<StartForecast::Booking> Dispatcher::Impl::book(StartForecast &forecast, const ActiveJob &job)
{
    std::optional<StartForecast::Booking> last;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const JobStep &description = job.request.steps[step];
        const auto ready = std::count_if(job.steps[step].begin(), job.steps[step].end(), [](const TaskEntry &it) {
            return it.state == TaskState::Ready;
        });
        if (ready == 0) {
            continue;
        }
        const Duration run = m_jobTable.expectedRun(job.request.route, description);
        const auto booking = forecast.book({ static_cast<std::uint32_t>(ready), description.demand.milliCores, run });
        if (!booking) {
            return std::nullopt;
        }
        if (!last || booking->end > last->end) {
            last = booking;
        }
    }
    return last;
}

/// @returns when a job that has just been added is expected to start and end behind the jobs that precede it
Dispatcher::Impl::ExpectedTimes Dispatcher::Impl::expectedTimes(const ActiveJob &job, Instant now)
{
    StartForecast forecast = targetForecast(job.request.service, now);
    std::optional<StartForecast::Booking> booking;
    for (const ActiveJob *it : m_jobTable.readyJobs(now)) {
        if (it->request.service == job.request.service) {
            booking = book(forecast, *it);
        }
        if (it == &job) {
            break;
        }
    }
    if (!booking) {
        return { expectedWait(job.request, now), job.criticalPath };
    }
    // More urgent jobs that arrive meanwhile are placed first.
    const bool isBehind = m_jobTable.isBehind(job.request.priority, now);
    const double arriving = isBehind ? 0 : m_jobTable.moreUrgentArrivals(job.request.priority, now) / serviceRate(now);
    const double stretch = 1 / std::max(kMinCapacityShare, 1 - arriving);
    const auto wait = std::chrono::duration_cast<Duration>((booking->start - now) * stretch);
    return { std::max(wait, untilSent(m_jobTable.queuedWork(job.request.priority).tasks)),
             std::max(booking->end - booking->start, job.criticalPath) };
}

/// Refuses a job that has just been added if it is expected to end too late.
/// @returns whether it was let in
bool Dispatcher::Impl::admit(ActiveJob &job, Instant now)
{
    if (job.request.othersAccepted) {
        return true;
    }
    const ExpectedTimes times = expectedTimes(job, now);
    const bool isUseful = now + times.wait + times.run <= job.usefulUntil;
    if (!job.request.onlyInTime) {
        if (!isUseful) {
            refuseTooLate(job, times.wait, now);
        }
        return isUseful;
    }
    if (now + withMargin(times.wait + times.run, job) <= job.objectiveAt) {
        return true;
    }
    if (isUseful) {
        job.lateEnd = times.wait + times.run;
    }
    refuseTooLate(job, times.wait, now);
    return false;
}

void Dispatcher::Impl::expireJobs(Instant now)
{
    std::vector<ActiveJob *> late;
    std::vector<ActiveJob *> unachievable;
    std::vector<ActiveJob *> unsuitable;
    for (const auto &it : m_jobTable.jobs()) {
        ActiveJob &job = *it.second;
        if (now >= job.request.deadline) {
            late.push_back(&job);
        } else if (job.possibleRuns == 0 && !hasSuitableTargets(job.request)) {
            unsuitable.push_back(&job);
        } else if (!job.hasBegun() && now + remainingWait(job, now) + job.criticalPath > job.usefulUntil) {
            unachievable.push_back(&job);
        }
    }
    for (ActiveJob *it : late) {
        const JobOutcome outcome = it->possibleRuns > 0 ? JobOutcome::Expired : JobOutcome::Refused;
        terminateJob(*it, outcome, JobEndReason::DeadlinePassed, now);
    }
    for (ActiveJob *it : unsuitable) {
        terminateJob(*it, JobOutcome::Refused, JobEndReason::NoSuitableTarget, now);
    }
    for (ActiveJob *it : unachievable) {
        refuseTooLate(*it, remainingWait(*it, now), now);
    }
}

} // namespace Eelgrasscleat
