/// @file
/// Admission, scheduling order and termination of jobs.
#include <eelgrasscleat/Dispatch/Dispatcher.h>

#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Run numbers of a job are kept for this long after its last run, so that a resubmission continues the sequence.
constexpr Duration kRecentJobRetention = std::chrono::seconds(20);
/// Maximum number of jobs that can't be placed before a placement pass ends; bounds its time.
constexpr std::uint32_t kMaxSkippedJobs = 64;

} // namespace

Instant Dispatcher::Impl::lastContact(const InstanceName &home) const
{
    const auto it = m_homes.find(home);
    return it == m_homes.end() ? Instant {} : it->second;
}

bool Dispatcher::Impl::hasSuitableTargets(const JobRequest &request) const
{
    return std::all_of(request.steps.begin(), request.steps.end(), [&](const JobStep &it) {
        return m_selector.hasSuitableTarget(request.service, it);
    });
}

void Dispatcher::Impl::submit(const JobOrigin &origin, JobRequest request, Instant now)
{
    if (ActiveJob *earlier = m_jobTable.findById(request.id)) {
        terminateJob(*earlier, JobOutcome::Abandoned, JobEndReason::Superseded, now);
    }
    const JobId id = request.id;
    if (m_lastStartAt) {
        refuse(origin, id, JobEndReason::ZoneEvacuated, kMaxRetryDelay);
        return;
    }
    if (isGivenUp(request, now)) {
        m_observer.jobEnded(origin.home, { id, origin.ticket, JobOutcome::Failed, JobEndReason::TargetsCrashed, {} });
        return;
    }
    m_jobTable.recordArrival(request, now);
    if (!hasSuitableTargets(request)) {
        refuse(origin, id, JobEndReason::NoSuitableTarget, kMaxRetryDelay);
        return;
    }
    const bool isFull = m_jobTable.queuedWork(request.priority).tasks >= m_policy.maxQueuedTasks
        || m_jobTable.heldBytes() + heldBytes(request) > m_policy.maxJobBytes;
    if (isFull) {
        refuse(origin, id, JobEndReason::QueueFull, expectedWait(request, now));
        return;
    }
    ActiveJob &job = m_jobTable.add(origin, std::move(request), m_policy);
    if (!admit(job, now)) {
        return;
    }
    if (m_draining) {
        refuseUndrainable(now);
    }
    placeWaiting(now);
}

void Dispatcher::Impl::cancel(const JobOrigin &origin, Instant now)
{
    if (ActiveJob *job = m_jobTable.findByOrigin(origin)) {
        terminateJob(*job, JobOutcome::Canceled, JobEndReason::CallerGone, now);
        placeWaiting(now);
    }
}

void Dispatcher::Impl::homeContacted(const InstanceName &home, Instant when)
{
    Instant &latest = m_homes[home];
    latest = std::max(latest, when);
}

void Dispatcher::Impl::homeLost(const InstanceName &home, Instant now)
{
    std::vector<ActiveJob *> lost;
    for (const auto &it : m_jobTable.jobs()) {
        if (it.second->origin.home == home) {
            lost.push_back(it.second.get());
        }
    }
    for (ActiveJob *it : lost) {
        terminateJob(*it, JobOutcome::Abandoned, JobEndReason::CallerGone, now);
    }
    m_homes.erase(home);
    placeWaiting(now);
}

void Dispatcher::Impl::terminateJob(ActiveJob &job, JobOutcome outcome, JobEndReason reason, Instant now)
{
    if (outcome == JobOutcome::Refused && job.possibleRuns > 0) {
        outcome = JobOutcome::Abandoned;
    }
    for (const auto &target : m_targets) {
        for (auto &it : target.second->tracker.runs()) {
            if (it.second.job == job.number && it.second.state != RunState::Stopping) {
                stopRun(*target.second, it.first, it.second, now);
            }
        }
    }
    endJob(job, outcome, reason, now);
}

void Dispatcher::Impl::endJob(ActiveJob &job, JobOutcome outcome, JobEndReason reason, Instant now)
{
    std::uint32_t stoppingRuns = 0;
    for (const auto &target : m_targets) {
        for (auto &it : target.second->tracker.runs()) {
            if (it.second.job == job.number) {
                it.second.leasedSince = std::min(now, lastContact(job.origin.home));
                ++stoppingRuns;
            }
        }
    }
    if (stoppingRuns > 0) {
        m_recentJobs[job.request.id].stoppingRuns += stoppingRuns;
    }
    Duration retryAfter {};
    if (outcome == JobOutcome::Refused) {
        retryAfter = std::clamp(expectedWait(job.request, now), kMinRetryDelay, kMaxRetryDelay);
    }
    const InstanceName home = job.origin.home;
    const JobEnd end { job.request.id, job.origin.ticket, outcome, reason, retryAfter, job.lateEnd };
    m_jobTable.remove(job.number);
    m_observer.jobEnded(home, end);
}

/// @returns the time that lost messages add to a run: the start command and the inspection that would have reported the
/// end may have to be repeated.
Duration Dispatcher::Impl::lossDelay(Instant now) const
{
    return now < m_lossyUntil ? 2 * m_pacer.retryDelay() + m_policy.inspectWaitUnderLoss : Duration::zero();
}

/// Places ready tasks in scheduling order as far as capacity allows.
void Dispatcher::Impl::placeWaiting(Instant now)
{
    std::uint32_t skipped = 0;
    std::uint32_t waitingTasks = 0;
    if (!m_pacer.mayStart() || !mayStart(now)) {
        return;
    }
    const std::vector<ActiveJob *> jobs = m_jobTable.readyJobs(now);
    if (jobs.empty()) {
        return;
    }
    m_selector.beginPass(lossDelay(now), now);
    for (ActiveJob *job : jobs) {
        const auto recent = m_recentJobs.find(job->request.id);
        if (recent != m_recentJobs.end() && recent->second.stoppingRuns > 0) {
            continue; // Runs of an earlier submission may still be active.
        }
        if (now - lastContact(job->origin.home) > m_policy.homeStartTimeout) {
            continue;
        }
        if (!placeTasks(*job, waitingTasks, now) && ++skipped >= kMaxSkippedJobs) {
            return;
        }
    }
}

/// @param waitingTasks tasks of preceding jobs that wait for a target; those of the job are added
/// @returns whether all ready tasks of the job were placed that may start.
bool Dispatcher::Impl::placeTasks(ActiveJob &job, std::uint32_t &waitingTasks, Instant now)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const Duration run = m_jobTable.expectedRun(job.request.route, job.request.steps[step]);
        for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
            if (job.steps[step][i].state != TaskState::Ready) {
                continue;
            }
            if (!m_pacer.mayStart()) {
                return false;
            }
            const TaskName task = job.taskName(step, i);
            const StartAdvice advice = m_crashes.advice(task, now);
            if (advice == StartAdvice::Wait || advice == StartAdvice::GiveUp) {
                continue; // Other tasks don't have to wait for it.
            }
            const bool isolate = advice == StartAdvice::Isolate;
            OwnedTarget *target = m_selector.select(job, task, isolate, run, waitingTasks, now);
            if (target == nullptr) {
                waitingTasks += job.readyTasks;
                return false;
            }
            startRun(*target, job, task, isolate, now);
            m_selector.runStarted(*target, now);
        }
    }
    return true;
}

/// Keeps the reference target: the one on which tasks run as long as callers estimate on average, or without estimates
/// the mean target. Runs tell only the product of a size and a slowness; without a fixed reference both would drift
/// apart, and with the sizes the objectives derived from them.
void Dispatcher::Impl::alignSpeeds()
{
    std::vector<TargetSpeed *> speeds;
    speeds.reserve(m_targets.size());
    for (const auto &it : m_targets) {
        speeds.push_back(&it.second->tracker.speed);
    }
    SpeedTable::moveCommonDeviation(speeds);
    const auto bias = m_jobTable.estimateBias();
    const double logSlowness = bias ? -*bias : SpeedTable::meanLogSlowness(speeds);
    m_speeds.changeReference(logSlowness);
    m_jobTable.changeReference(logSlowness);
    for (const auto &target : m_targets) {
        for (auto &run : target.second->tracker.runs()) {
            run.second.expectedLogRun += logSlowness;
        }
    }
}

void Dispatcher::Impl::advance(Instant now)
{
    std::vector<InstanceName> silent;
    for (const auto &it : m_homes) {
        if (now - it.second > m_policy.homeTimeout) {
            silent.push_back(it.first);
        }
    }
    for (const InstanceName &it : silent) {
        homeLost(it, now);
    }
    alignSpeeds();
    expireJobs(now);
    if (m_draining) {
        refuseUndrainable(now);
    }
    if (m_lastStartAt) {
        endEvacuatedJobs(now);
    }
    for (const auto &it : m_targets) {
        advanceTarget(*it.second, now);
    }
    std::erase_if(m_recentJobs, [&](const auto &it) {
        return it.second.stoppingRuns == 0 && now - it.second.lastUsedAt > kRecentJobRetention;
    });
    for (const TargetLife &it : m_crashes.advance(now)) {
        m_observer.crashForgotten(it);
    }
    placeWaiting(now);
}

DispatcherLoad Dispatcher::Impl::load(Instant now) const
{
    DispatcherLoad load;
    load.draining = m_draining;
    load.drainLeft = m_draining ? std::max(Duration::zero(), m_drainUntil - now) : Duration::zero();
    if (m_lastStartAt) {
        return load;
    }
    std::vector<std::uint32_t> freeCapacities;
    freeCapacities.reserve(m_targets.size());
    for (const auto &it : m_targets) {
        if (!m_selector.isUsable(*it.second, now)) {
            continue;
        }
        const std::uint32_t capacity = it.second->tracker.target().capacity.milliCores;
        ++load.targets;
        load.totalMilliCores += capacity;
        const bool isBlocked = m_selector.isBlocked(*it.second, now);
        freeCapacities.push_back(isBlocked ? 0 : it.second->tracker.freeCapacity().milliCores);
        load.freeMilliCores += freeCapacities.back();
        load.largestMilliCores = std::max(load.largestMilliCores, capacity);
    }
    load.places = PlaceTable(load.largestMilliCores);
    for (const std::uint32_t it : freeCapacities) {
        load.places.add(it);
    }
    const auto queuedCoreMillis = [this](std::uint32_t priority) {
        constexpr double kMilliCoreMicrosPerCoreMilli = 1e6;
        return static_cast<std::uint64_t>(m_jobTable.queuedWork(priority).milliCoreMicros
                                          / kMilliCoreMicrosPerCoreMilli);
    };
    load.queuedCoreMillis = queuedCoreMillis(UINT32_MAX);
    for (std::uint32_t i = 0; i < load.urgentCoreMillis.size(); ++i) {
        load.urgentCoreMillis[i] = queuedCoreMillis(i);
    }
    return load;
}

Dispatcher::Dispatcher(const DispatcherPolicy &policy, TargetCommands &commands, DispatcherObserver &observer)
    : m_impl(std::make_unique<Impl>(policy, commands, observer))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::targetOwned(const DispatchTarget &target, FencingToken token, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->targetOwned(target, token, now);
}

void Dispatcher::targetReleased(const TargetName &target, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->targetReleased(target, now);
}

void Dispatcher::setAccepting(const TargetName &target, bool accepting)
{
    const auto it = m_impl->m_targets.find(target);
    if (it != m_impl->m_targets.end()) {
        it->second->accepting = accepting;
    }
}

bool Dispatcher::isIdle(const TargetName &target) const
{
    const auto it = m_impl->m_targets.find(target);
    return it == m_impl->m_targets.end() || it->second->tracker.runs().empty();
}

std::vector<TargetName> Dispatcher::targets() const
{
    std::vector<TargetName> names;
    for (const auto &it : m_impl->m_targets) {
        names.push_back(it.first);
    }
    return names;
}

void Dispatcher::submit(const JobOrigin &origin, JobRequest request, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->submit(origin, std::move(request), now);
}

void Dispatcher::cancel(const JobOrigin &origin, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->cancel(origin, now);
}

void Dispatcher::homeContacted(const InstanceName &home, Instant when)
{
    m_impl->homeContacted(home, when);
}

void Dispatcher::homeLost(const InstanceName &home, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->homeLost(home, now);
}

bool Dispatcher::isDrained() const
{
    return m_impl->m_jobTable.jobs().empty()
        && std::all_of(m_impl->m_targets.begin(), m_impl->m_targets.end(), [](const auto &it) {
               return it.second->tracker.runs().empty();
           });
}

void Dispatcher::startAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->startAnswered(target, run, result, now);
}

void Dispatcher::stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->stopAnswered(target, run, result, now);
}

void Dispatcher::inspected(const TargetName &target,
                           std::uint64_t number,
                           const TargetReport &report,
                           const CommandResult &result,
                           Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->inspected(target, number, report, result, now);
}

void Dispatcher::inspectionFailed(const TargetName &target,
                                  std::uint64_t number,
                                  const CommandResult &result,
                                  Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->inspectionFailed(target, number, result, now);
}

void Dispatcher::advance(Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->advance(now);
}

DispatcherLoad Dispatcher::load() const
{
    return m_impl->load(m_impl->m_lastNow);
}

} // namespace Eelgrasscleat
